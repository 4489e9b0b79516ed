/// \file
/// Test utilities: an event loop with its own thread, blocking client sockets, and polling for a condition.
#ifndef RAGWORTCART_UNITTESTS_WIRE_LOOPTHREAD_H
#define RAGWORTCART_UNITTESTS_WIRE_LOOPTHREAD_H

#include "ragwortcart/Wire/EventLoop.h"

#include <arpa/inet.h>
#include <chrono>
#include <future>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace ragwort {

/// Runs an event loop on its own thread until it is destroyed.
class LoopThread
{
public:
    LoopThread() : thread([this] { this->loop.run(); })
    {
    }
    ~LoopThread()
    {
        this->loop.stop();
        this->thread.join();
    }

    /// Runs \p task on the loop's thread and waits for its result.
    template <typename Task>
    auto call(Task task)
    {
        using Value = decltype(task());
        std::promise<Value> promise;
        this->loop.post([&promise, &task] {
            if constexpr (std::is_void_v<Value>) {
                task();
                promise.set_value();
            } else {
                promise.set_value(task());
            }
        });
        return promise.get_future().get();
    }

    EventLoop loop;

private:
    std::thread thread;
};

/// A blocking client socket on loopback.
class RawSocket
{
public:
    explicit RawSocket(std::uint16_t port) : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        timeval receiveTimeout{.tv_sec = 10, .tv_usec = 0};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
        this->connected = ::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    }
    ~RawSocket()
    {
        this->close();
    }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    void send(const std::string &text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = ::send(this->descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return;
            }
            sent += static_cast<std::size_t>(count);
        }
    }

    /// Reads until the peer closes the connection or no data arrives for 10 s.
    std::string readAll() const
    {
        std::string text;
        char buffer[4096];
        for (ssize_t count = ::recv(this->descriptor, buffer, sizeof buffer, 0); count > 0; count = ::recv(this->descriptor, buffer, sizeof buffer, 0)) {
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text;
    }

    /// Reads until the data contains \p expected as often as \p times, or until the connection ends or no data arrives for 10 s.
    std::string readUntil(const std::string &expected, int times = 1) const
    {
        std::string text;
        char byte = 0;
        int occurrences = 0;
        while (occurrences < times && ::recv(this->descriptor, &byte, 1, 0) == 1) {
            text += byte;
            if (text.size() >= expected.size() && text.compare(text.size() - expected.size(), expected.size(), expected) == 0) {
                ++occurrences;
            }
        }
        return text;
    }

    void close()
    {
        if (this->descriptor >= 0) {
            ::close(this->descriptor);
            this->descriptor = -1;
        }
    }

    /// Whether the connection was established.
    bool connected = false;

private:
    int descriptor;
};

/// A server on loopback that sends the same bytes on each connection over and over, whatever it receives, until it is destroyed.
class EndlessServer
{
public:
    /// Sends \p first once and then \p repeated without end.
    EndlessServer(std::string first, std::string repeated) : head(std::move(first)), tail(std::move(repeated)), descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        ::bind(this->descriptor, reinterpret_cast<const sockaddr *>(&address), size);
        ::listen(this->descriptor, 128);
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        this->port = ntohs(address.sin_port);
        this->acceptor = std::thread([this] { this->acceptAll(); });
    }
    ~EndlessServer()
    {
        ::shutdown(this->descriptor, SHUT_RDWR);
        this->acceptor.join();
        for (std::thread &sender : this->senders) {
            sender.join();
        }
        ::close(this->descriptor);
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    std::uint16_t port = 0;

private:
    void acceptAll()
    {
        for (int client = ::accept(this->descriptor, nullptr, nullptr); client >= 0; client = ::accept(this->descriptor, nullptr, nullptr)) {
            this->senders.emplace_back([this, client] { this->sendAll(client); });
        }
    }

    void sendAll(int client) const
    {
        char request[4096];
        ::recv(client, request, sizeof request, 0);
        bool open = ::send(client, this->head.data(), this->head.size(), MSG_NOSIGNAL) >= 0;
        while (open) {
            open = ::send(client, this->tail.data(), this->tail.size(), MSG_NOSIGNAL) >= 0;
        }
        ::close(client);
    }

    std::string head;
    std::string tail;
    int descriptor;
    std::thread acceptor;
    std::vector<std::thread> senders;
};

/// Polls \p condition until it holds. Returns false if it does not hold within \p timeout.
template <typename Condition>
bool eventually(Condition condition, std::chrono::seconds timeout = std::chrono::seconds(20))
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace ragwort

#endif
