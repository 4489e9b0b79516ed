/// \file
/// Implements peer links on websocketpp.
///
/// Each side sends its instance name in the HTTP header `Ragwort-Instance` of the handshake, so the peer of a link is known
/// as soon as the link opens. If both sides open a link simultaneously, both keep the link opened by the side whose name
/// sorts first.
#include "ragwortcart/Wire/PeerLinks.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>
#include <thread>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace ragwort {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

/// Interval between checks for timed-out and missing links.
static constexpr std::chrono::milliseconds LINK_CHECK_INTERVAL{300};
/// A link on which no message has arrived for this time is closed.
static constexpr std::chrono::milliseconds RECEIVE_TIMEOUT{3000};
/// Time for which a link is kept that is no longer desired, in case the peer uses it.
static constexpr std::chrono::milliseconds UNDESIRED_LINK_TIME{5000};
static constexpr long HANDSHAKE_TIMEOUT_MS = 1000;
static constexpr std::size_t MAXIMUM_MESSAGE_BYTES = 8U * 1024U * 1024U;
/// A link whose unsent data exceeds this size is closed, because its peer does not read fast enough.
static constexpr std::size_t MAXIMUM_BACKLOG_BYTES = 16U * 1024U * 1024U;
static const char *const INSTANCE_HEADER = "Ragwort-Instance";

/// Limits the message size and disables websocketpp's logging, which writes to standard output by default.
template <typename Endpoint>
static void configureEndpoint(Endpoint &endpoint)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.set_max_message_size(MAXIMUM_MESSAGE_BYTES);
}

/// Lets the kernel send each message at once. Otherwise a small message waits until the peer has acknowledged the previous one.
template <typename WebSocket>
static void sendAtOnce(WebSocket &connection)
{
    // The option can only be refused if the socket is closed, which ends the link.
    boost::system::error_code ignored;
    connection.get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

class PeerLinks::Core : public std::enable_shared_from_this<PeerLinks::Core>
{
public:
    Core(Options linkOptions, Handlers linkHandlers) : options(std::move(linkOptions)), handlers(std::move(linkHandlers)), timer(context)
    {
    }

    std::string start()
    {
        configureEndpoint(this->server);
        configureEndpoint(this->client);
        this->server.init_asio(&this->context);
        this->client.init_asio(&this->context);
        this->server.set_reuse_addr(true);
        this->client.set_open_handshake_timeout(HANDSHAKE_TIMEOUT_MS);
        this->server.set_validate_handler([this](const Handle &handle) {
            const auto connection = this->server.get_con_from_hdl(handle);
            connection->append_header(INSTANCE_HEADER, this->options.instance);
            return !connection->get_request_header(INSTANCE_HEADER).empty();
        });
        this->server.set_open_handler([this](const Handle &handle) {
            const auto connection = this->server.get_con_from_hdl(handle);
            sendAtOnce(*connection);
            this->onLinkOpened(connection->get_request_header(INSTANCE_HEADER), handle, true);
        });
        this->client.set_open_handler([this](const Handle &handle) {
            const auto connection = this->client.get_con_from_hdl(handle);
            sendAtOnce(*connection);
            this->onLinkOpened(connection->get_response_header(INSTANCE_HEADER), handle, false);
        });
        this->server.set_close_handler([this](const Handle &handle) { this->onLinkClosed(handle); });
        this->client.set_close_handler([this](const Handle &handle) { this->onLinkClosed(handle); });
        this->client.set_fail_handler([this](const Handle &handle) { this->connecting.erase(handle); });
        this->server.set_message_handler(
            [this](const Handle &handle, const Server::message_ptr &message) { this->onMessageReceived(handle, message->get_payload()); });
        this->client.set_message_handler(
            [this](const Handle &handle, const Client::message_ptr &message) { this->onMessageReceived(handle, message->get_payload()); });
        const std::string listenError = this->listen();
        if (listenError.empty()) {
            this->checkLinks();
            this->thread = std::thread([this] { this->context.run(); });
        }
        return listenError;
    }

    void stop()
    {
        this->context.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    /// Runs \p task on the links' thread. Tasks still queued when the thread ends are destroyed with this object, so they must
    /// not own it.
    void post(std::function<void()> task)
    {
        boost::asio::post(this->context, std::move(task));
    }

    void send(const std::string &peer, const std::string &bytes)
    {
        const auto found = this->links.find(peer);
        if (found == this->links.end()) {
            return;
        }
        const Link &link = found->second;
        websocketpp::lib::error_code error;
        if (this->backlogOf(link) > MAXIMUM_BACKLOG_BYTES) {
            this->close(link);
            return;
        }
        if (link.accepted) {
            this->server.send(link.handle, bytes, websocketpp::frame::opcode::binary, error);
        } else {
            this->client.send(link.handle, bytes, websocketpp::frame::opcode::binary, error);
        }
        if (!error) {
            this->counts.bytesSent += bytes.size();
            ++this->counts.messagesSent;
        }
    }

    void setDesiredPeers(const std::map<std::string, std::string> &addresses)
    {
        for (const auto &[peer, address] : this->desiredPeers) {
            if (addresses.find(peer) == addresses.end()) {
                this->keepOpen(peer);
            }
        }
        this->desiredPeers = addresses;
    }

    void keepOpen(const std::string &peer)
    {
        const auto found = this->links.find(peer);
        if (found != this->links.end()) {
            found->second.keptUntil = Clock::now() + UNDESIRED_LINK_TIME;
        }
    }

    Options options;
    PeerLinkCounts counts;

private:
    using Clock = std::chrono::steady_clock;

    struct Link
    {
        Handle handle;
        /// Whether the peer opened the link.
        bool accepted = false;
        Clock::time_point lastReceived;
        /// Until then, the link is not closed although it may not be desired.
        Clock::time_point keptUntil{};
    };

    std::string listen()
    {
        const std::size_t colon = this->options.address.rfind(':');
        websocketpp::lib::error_code error;
        boost::system::error_code addressError;
        const auto ipAddress = boost::asio::ip::make_address(this->options.address.substr(0, colon), addressError);
        if (addressError) {
            return "not a numeric IP address: " + this->options.address;
        }
        const auto port = static_cast<std::uint16_t>(std::atoi(this->options.address.c_str() + colon + 1));
        this->server.listen(boost::asio::ip::tcp::endpoint(ipAddress, port), error);
        if (!error) {
            this->server.start_accept(error);
        }
        return error ? error.message() : std::string();
    }

    std::size_t backlogOf(const Link &link)
    {
        websocketpp::lib::error_code error;
        if (link.accepted) {
            const auto connection = this->server.get_con_from_hdl(link.handle, error);
            return connection ? connection->buffered_amount() : 0;
        }
        const auto connection = this->client.get_con_from_hdl(link.handle, error);
        return connection ? connection->buffered_amount() : 0;
    }

    void close(const Link &link)
    {
        websocketpp::lib::error_code error;
        if (link.accepted) {
            if (const auto connection = this->server.get_con_from_hdl(link.handle, error)) {
                connection->terminate(websocketpp::lib::error_code());
            }
            return;
        }
        if (const auto connection = this->client.get_con_from_hdl(link.handle, error)) {
            connection->terminate(websocketpp::lib::error_code());
        }
    }

    /// Registers a new link and resolves conflicts with an existing link to the same peer.
    void onLinkOpened(const std::string &peer, const Handle &handle, bool accepted)
    {
        this->connecting.erase(handle);
        const auto existing = this->links.find(peer);
        if (existing != this->links.end()) {
            const bool openedByPreferredSide = accepted == (peer < this->options.instance);
            if (existing->second.accepted != accepted && !openedByPreferredSide) {
                this->close({handle, accepted, Clock::now()});
                return;
            }
            const Link old = existing->second;
            this->peers.erase(old.handle);
            this->links.erase(existing);
            this->handlers.onPeerDisconnected(peer);
            this->close(old);
        }
        this->links[peer] = {handle, accepted, Clock::now()};
        this->peers[handle] = peer;
        this->handlers.onPeerConnected(peer);
    }

    void onLinkClosed(const Handle &handle)
    {
        this->connecting.erase(handle);
        const auto found = this->peers.find(handle);
        if (found == this->peers.end()) {
            return;
        }
        const std::string peer = found->second;
        this->peers.erase(found);
        this->links.erase(peer);
        this->handlers.onPeerDisconnected(peer);
    }

    void onMessageReceived(const Handle &handle, const std::string &bytes)
    {
        const auto found = this->peers.find(handle);
        if (found == this->peers.end()) {
            return;
        }
        this->counts.bytesReceived += bytes.size();
        ++this->counts.messagesReceived;
        this->links[found->second].lastReceived = Clock::now();
        this->handlers.onMessage(found->second, bytes);
    }

    void connect(const std::string &peer, const std::string &address)
    {
        for (const auto &[handle, name] : this->connecting) {
            if (name == peer) {
                return;
            }
        }
        websocketpp::lib::error_code error;
        const auto connection = this->client.get_connection("ws://" + address + "/", error);
        if (error) {
            return;
        }
        connection->append_header(INSTANCE_HEADER, this->options.instance);
        this->connecting[connection->get_handle()] = peer;
        this->client.connect(connection);
    }

    /// Returns whether a link is to be closed. Links opened by a peer are closed by that peer.
    bool isObsolete(const std::string &peer, const Link &link, Clock::time_point now) const
    {
        return !link.accepted && this->desiredPeers.find(peer) == this->desiredPeers.end() && now >= link.keptUntil;
    }

    /// Closes timed-out and obsolete links, opens missing ones and schedules the next check.
    void checkLinks()
    {
        const Clock::time_point now = Clock::now();
        std::vector<Link> ending;
        for (const auto &[peer, link] : this->links) {
            if (now - link.lastReceived > RECEIVE_TIMEOUT || this->isObsolete(peer, link, now)) {
                ending.push_back(link);
            }
        }
        for (const Link &link : ending) {
            this->close(link);
        }
        for (const auto &[peer, address] : this->desiredPeers) {
            if (this->links.find(peer) == this->links.end()) {
                this->connect(peer, address);
            }
        }
        this->timer.expires_after(LINK_CHECK_INTERVAL);
        this->timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                this->checkLinks();
            }
        });
    }

    Handlers handlers;
    /// Addresses by instance.
    std::map<std::string, std::string> desiredPeers;
    boost::asio::io_context context;
    boost::asio::steady_timer timer;
    Server server;
    Client client;
    /// Open links by the peer's instance.
    std::map<std::string, Link> links;
    /// Instances by the handle of their open link. Invariant: the inverse of `links`.
    std::map<Handle, std::string, std::owner_less<Handle>> peers;
    /// Instances by the handle of the link that is being opened to them.
    std::map<Handle, std::string, std::owner_less<Handle>> connecting;
    std::thread thread;
};

PeerLinks::PeerLinks(Options linkOptions, Handlers linkHandlers) : core(std::make_shared<Core>(std::move(linkOptions), std::move(linkHandlers)))
{
}

PeerLinks::~PeerLinks()
{
    this->stop();
}

std::string PeerLinks::start()
{
    return this->core->start();
}

void PeerLinks::stop()
{
    this->core->stop();
}

void PeerLinks::setDesiredPeers(const std::map<std::string, std::string> &desired)
{
    this->core->post([owner = this->core.get(), desired] { owner->setDesiredPeers(desired); });
}

void PeerLinks::send(const std::string &peer, const std::string &bytes)
{
    this->core->post([owner = this->core.get(), peer, bytes] { owner->send(peer, bytes); });
}

void PeerLinks::keepOpen(const std::string &peer)
{
    this->core->post([owner = this->core.get(), peer] { owner->keepOpen(peer); });
}

const PeerLinkCounts &PeerLinks::counts() const
{
    return this->core->counts;
}

} // namespace ragwort
