/// \file
/// WebSocket links between entry instances. Hides websocketpp, whose users must be compiled as C++17.
#ifndef RAGWORTCART_WIRE_PEERLINKS_H
#define RAGWORTCART_WIRE_PEERLINKS_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ragwort {

/// Counts over all links since the object was created; the bytes are those of messages, without framing.
struct PeerLinkCounts
{
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> messagesSent{0};
    std::atomic<std::uint64_t> messagesReceived{0};
};

/// Maintains links to a set of peers and accepts links from other peers, on a dedicated thread. Closes links on which no
/// message has arrived for too long, and reopens closed links to the desired peers.
class PeerLinks
{
public:
    struct Options
    {
        /// Name of this instance.
        std::string instance;
        /// Numeric IP address and port to listen on.
        std::string address;
    };
    /// Event handlers; all run on the links' thread.
    struct Handlers
    {
        std::function<void(const std::string &peer)> onPeerConnected;
        std::function<void(const std::string &peer)> onPeerDisconnected;
        std::function<void(const std::string &peer, const std::string &bytes)> onMessage;
    };

    PeerLinks(Options options, Handlers handlers);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Starts listening and starts the thread. Returns an error message, or an empty string on success.
    std::string start();
    /// Ends the thread without closing the links; no handler runs afterwards.
    void stop();

    /// Sets the peers to maintain links to, as addresses by instance. Outgoing links to other peers are closed some seconds after they were last
    /// desired or kept open. Thread-safe.
    void setDesiredPeers(const std::map<std::string, std::string> &desired);

    /// Sends a message over the link to \p peer. Drops it if there is no link, and also closes the link if the peer does not
    /// read fast enough. Thread-safe.
    void send(const std::string &peer, const std::string &bytes);

    /// Keeps the link to \p peer open for some seconds although it may not be desired: the peer uses it. Thread-safe.
    void keepOpen(const std::string &peer);

    const PeerLinkCounts &counts() const;

private:
    class Core;
    std::shared_ptr<Core> core;
};

} // namespace ragwort

#endif
