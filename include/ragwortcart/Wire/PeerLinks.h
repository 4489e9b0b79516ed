/// \file
/// WebSocket links between entry instances. Compiled as C++17, as websocketpp needs; no type of it appears here.
#ifndef RAGWORTCART_WIRE_PEERLINKS_H
#define RAGWORTCART_WIRE_PEERLINKS_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ragwort {

struct PeerLinkCounts
{
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> messagesSent{0};
    std::atomic<std::uint64_t> messagesReceived{0};
};

/// Keeps links to a wanted set of peers and accepts those of others; runs in a thread of its own. A link that has been
/// silent for too long is closed and opened anew.
class PeerLinks
{
public:
    struct Options
    {
        std::string instance;
        /// IP number and port to listen on.
        std::string address;
    };
    /// All are called on the links' thread.
    struct Handlers
    {
        std::function<void(const std::string &peer)> onUp;
        std::function<void(const std::string &peer)> onDown;
        std::function<void(const std::string &peer, const std::string &bytes)> onMessage;
    };

    PeerLinks(Options options, Handlers handlers);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Listens and starts the thread; returns a message on failure, else an empty text.
    std::string start();
    void stop();

    /// The peers to keep links to: addresses by instance. Links that were opened to others are closed. Any thread.
    void setWanted(const std::map<std::string, std::string> &wanted);

    /// Sends on the link to \p peer, if there is one. Any thread.
    void send(const std::string &peer, const std::string &bytes);

    const PeerLinkCounts &counts() const;

private:
    class Core;
    std::shared_ptr<Core> core;
};

} // namespace ragwort

#endif
