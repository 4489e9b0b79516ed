/// \file
/// A server for tests that answers with given bytes, whether they are a valid response or not.
#ifndef RAGWORTCART_UNITTESTS_WIRE_RAWRESPONSESERVER_H
#define RAGWORTCART_UNITTESTS_WIRE_RAWRESPONSESERVER_H

#include <arpa/inet.h>
#include <atomic>
#include <cstdint>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace ragwort {

/// Listens on loopback until it is destroyed. On each connection, it sends the same response to the first bytes that it reads and closes the
/// connection. Serves one connection at a time.
class RawResponseServer
{
public:
    enum class Delivery {
        whole,
        /// With one call of the operating system for each octet, so that the client reads the response in pieces.
        byOctet
    };

    explicit RawResponseServer(std::string bytes, Delivery howToSend = Delivery::whole)
        : response(std::move(bytes)), delivery(howToSend), listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in endpoint{};
        endpoint.sin_family = AF_INET;
        endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof endpoint;
        ::bind(this->listener, reinterpret_cast<const sockaddr *>(&endpoint), size);
        ::listen(this->listener, 128);
        ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&endpoint), &size);
        this->port = ntohs(endpoint.sin_port);
        this->thread = std::thread([this] { this->serve(); });
    }
    ~RawResponseServer()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        ::close(this->listener);
    }
    RawResponseServer(const RawResponseServer &) = delete;
    RawResponseServer &operator=(const RawResponseServer &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }

    std::uint16_t port = 0;
    /// Number of requests read so far. A request is counted before its response is sent.
    std::atomic<int> requests{0};

private:
    void serve()
    {
        for (int connection = ::accept(this->listener, nullptr, nullptr); connection >= 0; connection = ::accept(this->listener, nullptr, nullptr)) {
            // A client may connect and send nothing.
            const timeval receiveTimeout{.tv_sec = 2, .tv_usec = 0};
            ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
            char request[4096];
            if (::recv(connection, request, sizeof request, 0) > 0) {
                ++this->requests;
                this->sendResponse(connection);
            }
            ::close(connection);
        }
    }

    void sendResponse(int connection) const
    {
        const int noDelay = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
        const std::size_t step = this->delivery == Delivery::whole ? this->response.size() : 1;
        for (std::size_t sent = 0; sent < this->response.size(); sent += step) {
            ::send(connection, this->response.data() + sent, step, MSG_NOSIGNAL);
        }
    }

    const std::string response;
    const Delivery delivery;
    const int listener;
    std::thread thread;
};

} // namespace ragwort

#endif
