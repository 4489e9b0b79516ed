/// \file
/// Implements the HTTP server on Boost.Beast, with one session per connection and one request at a time per session.
#include "ragwortcart/Wire/HttpServer.h"

#include "AsioLoop.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <set>
#include <strings.h>
#include <sys/socket.h>

namespace ragwort {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

using ReusePortOption = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

std::string_view HttpRequest::header(std::string_view name) const
{
    for (const HttpHeader &candidate : this->headers) {
        if (candidate.name.size() == name.size() && strncasecmp(candidate.name.data(), name.data(), name.size()) == 0) {
            return candidate.value;
        }
    }
    return {};
}

namespace {

class Session;

} // namespace

class HttpServer::Core : public std::enable_shared_from_this<HttpServer::Core>
{
public:
    Core(EventLoop &eventLoop, Options serverOptions, HttpHandler requestHandler)
        : loop(eventLoop)
        , options(std::move(serverOptions))
        , requestLimits(this->options.requestLimits)
        , handler(std::move(requestHandler))
        , acceptor(eventLoop.implementation().context)
    {
    }

    Result<std::uint16_t> listen();
    void accept();
    void drain();
    void abort();
    void removeSession(const std::shared_ptr<Session> &session, const std::string &address);
    std::size_t openSessionCount() const
    {
        return this->sessions.size();
    }

    EventLoop &loop;
    const Options options;
    RequestLimits requestLimits;
    HttpHandler handler;
    HttpServerCounts counts;
    /// Number of sessions whose `answering` is set.
    std::atomic<std::size_t> unansweredRequests{0};
    bool draining = false;
    /// Whether every response carries `Connection: close`.
    bool closing = false;

private:
    bool withinConnectionLimits(const std::string &address) const;

    Tcp::acceptor acceptor;
    /// The open sessions.
    std::set<std::shared_ptr<Session>> sessions;
    /// Number of open sessions by remote address. Invariant: the values sum to the size of `sessions`.
    std::map<std::string, std::size_t> sessionsByAddress;
};

namespace {

/// Why a request is rejected before it is handled.
struct Rejection
{
    int status = 0;
    const char *detail = nullptr;
};

/// Checks the transfer coding of a request (RFC 9112, 6.1 and 6.3). The parser treats a request whose coding it does not know as one without a
/// body, so that its body would be read as the next request.
std::optional<Rejection> transferCodingFault(const http::request<http::string_body> &message)
{
    const std::size_t fields = message.count(http::field::transfer_encoding);
    if (fields == 0) {
        return std::nullopt;
    }
    if (message.version() < 11) {
        return Rejection{.status = 400, .detail = "HTTP/1.0 has no transfer codings"};
    }
    const auto coding = message[http::field::transfer_encoding];
    if (fields == 1 && boost::beast::iequals(coding, "chunked")) {
        return std::nullopt;
    }
    const bool isList = coding.find(',') != std::string_view::npos;
    const bool endsInChunked = isList && boost::beast::iequals(coding.substr(coding.find_last_of(", ") + 1), "chunked");
    const bool repeatsChunked = endsInChunked && boost::beast::iequals(coding.substr(0, std::string_view("chunked").size()), "chunked");
    if (fields == 1 && endsInChunked && !repeatsChunked) {
        return Rejection{.status = 501, .detail = "the only transfer coding that is supported is chunked"};
    }
    return Rejection{.status = 400, .detail = "the transfer coding leaves the length of the body unknown"};
}

/// A connection. Cycles through waiting for a request, reading it and waiting for its response. Reads nothing further while
/// a response is pending.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<HttpServer::Core> owner, Tcp::socket acceptedSocket, std::string peerAddress)
        : core(std::move(owner))
        , socket(std::move(acceptedSocket))
        , timer(this->socket.get_executor())
        , address(std::move(peerAddress))
        , connectionNumber(this->core->counts.connections)
    {
    }

    void start()
    {
        this->waitForRequest();
    }

    void closeIfIdle()
    {
        if (!this->busy) {
            this->close();
        }
    }

    void close()
    {
        if (this->closed) {
            return;
        }
        this->closed = true;
        this->setAnswering(false);
        this->timer.cancel();
        ErrorCode ignored;
        this->socket.shutdown(Tcp::socket::shutdown_both, ignored);
        this->socket.close(ignored);
        this->notifyCallerDisconnect();
        this->core->removeSession(this->shared_from_this(), this->address);
    }

    void respond(std::uint64_t exchange, const HttpResponse &response)
    {
        if (this->closed || exchange != this->exchangeNumber || this->responded) {
            return;
        }
        this->responded = true;
        this->disconnectCallback = nullptr;
        this->write(response);
    }

    void onCallerDisconnect(std::uint64_t exchange, std::function<void()> callback)
    {
        if (exchange == this->exchangeNumber && !this->responded && !this->closed) {
            this->disconnectCallback = std::move(callback);
        }
    }

    void drop(std::uint64_t exchange)
    {
        if (exchange == this->exchangeNumber) {
            this->disconnectCallback = nullptr;
            this->close();
        }
    }

private:
    using Parser = http::request_parser<http::string_body>;

    /// Replaces the pending timeout, if there is one. A replaced or cancelled timeout does nothing, also if it has just expired and its
    /// handler is queued already.
    void armTimer(Duration delay, void (Session::*onTimeout)())
    {
        this->timer.expires_after(delay);
        this->timer.async_wait([self = this->shared_from_this(), onTimeout, generation = ++this->timerGeneration](const ErrorCode &error) {
            if (!error && !self->closed && generation == self->timerGeneration) {
                (self.get()->*onTimeout)();
            }
        });
    }

    void setAnswering(bool isAnswering)
    {
        if (std::exchange(this->answering, isAnswering) == isAnswering) {
            return;
        }
        if (isAnswering) {
            this->core->unansweredRequests.fetch_add(1, std::memory_order_acq_rel);
        } else {
            this->core->unansweredRequests.fetch_sub(1, std::memory_order_acq_rel);
        }
    }

    void cancelTimer()
    {
        ++this->timerGeneration;
        this->timer.cancel();
    }

    void waitForRequest()
    {
        this->busy = false;
        this->parser.emplace();
        this->parser->header_limit(static_cast<std::uint32_t>(this->core->requestLimits.maximumHeaderBytes));
        this->parser->body_limit(this->core->requestLimits.maximumBodyBytes);
        if (this->buffer.size() > 0) {
            this->readHeader();
            return;
        }
        if (this->core->draining) {
            this->close();
            return;
        }
        this->armTimer(this->core->requestLimits.idleTimeout, &Session::close);
        this->socket.async_wait(Tcp::socket::wait_read, [self = this->shared_from_this()](const ErrorCode &error) {
            if (self->closed) {
                return;
            }
            if (error) {
                self->close();
                return;
            }
            self->readHeader();
        });
    }

    void readHeader()
    {
        this->busy = true;
        this->armTimer(this->core->requestLimits.requestTimeout, &Session::onRequestTimeout);
        http::async_read_header(this->socket, this->buffer, *this->parser, [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
            if (!self->closed && !self->rejected) {
                self->onHeader(error);
            }
        });
    }

    void onHeader(const ErrorCode &error)
    {
        if (error) {
            this->onReadError(error);
            return;
        }
        const auto &message = this->parser->get();
        if (message.version() >= 11 && message.count(http::field::host) != 1) {
            this->rejectAndClose(400, "a request must carry exactly one Host");
            return;
        }
        if (message.method() == http::verb::unknown) {
            this->rejectAndClose(405, "unknown method");
            return;
        }
        const bool hasBody = this->parser->chunked() || this->parser->content_length().value_or(0) > 0;
        if (message.method() == http::verb::trace && hasBody) {
            this->rejectAndClose(400, "TRACE has no body");
            return;
        }
        if (const std::optional<Rejection> fault = transferCodingFault(message)) {
            this->rejectAndClose(fault->status, fault->detail);
            return;
        }
        if (boost::beast::iequals(message[http::field::expect], "100-continue") && !this->parser->is_done()) {
            this->sendContinue();
            return;
        }
        this->readBody();
    }

    void sendContinue()
    {
        auto response = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
        http::async_write(this->socket, *response, [self = this->shared_from_this(), response](const ErrorCode &error, std::size_t) {
            if (self->closed || self->rejected) {
                return;
            }
            if (error) {
                self->close();
                return;
            }
            self->readBody();
        });
    }

    void readBody()
    {
        http::async_read(this->socket, this->buffer, *this->parser, [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
            if (self->closed || self->rejected) {
                return;
            }
            if (error) {
                self->onReadError(error);
                return;
            }
            self->dispatchRequest();
        });
    }

    /// Rejects a request that the parser reports as malformed or too large. Any other error means that the connection has ended.
    void onReadError(const ErrorCode &error)
    {
        if (error == http::error::header_limit) {
            this->rejectAndClose(431, "header too large");
        } else if (error == http::error::body_limit) {
            this->rejectAndClose(413, "body too large");
        } else if (error.category() == http::make_error_code(http::error::bad_value).category() && error != http::error::end_of_stream
                   && error != http::error::partial_message) {
            this->rejectAndClose(400, error.message());
        } else {
            this->close();
        }
    }

    void onRequestTimeout()
    {
        this->rejectAndClose(408, "request not complete in time");
    }

    void rejectAndClose(int status, const std::string &detail)
    {
        ++this->core->counts.badRequests;
        this->responded = true;
        this->rejected = true;
        // Pending reads must not complete while the response is being written.
        ErrorCode ignored;
        this->socket.cancel(ignored);
        this->write(
            {.status = status,
             .contentType = "application/problem+json",
             .headers = {},
             .body = R"({"type":"about:blank","status":)" + std::to_string(status) + R"(,"title":"bad request","run":"not-run","detail":")" + detail + "\"}",
             .close = true});
    }

    void dispatchRequest();

    /// Detects a disconnect of the caller while its response is pending. Stops watching once further data arrives, because the
    /// unread data would end each further wait immediately.
    void watchForDisconnect()
    {
        this->socket.async_wait(Tcp::socket::wait_read, [self = this->shared_from_this(), number = this->exchangeNumber](const ErrorCode &error) {
            if (self->closed || self->responded || number != self->exchangeNumber) {
                return;
            }
            if (error) {
                self->abandon();
                return;
            }
            char byte = 0;
            const ssize_t received = ::recv(self->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
                self->abandon();
            }
        });
    }

    void abandon()
    {
        ++this->core->counts.abandoned;
        this->close();
    }

    void notifyCallerDisconnect()
    {
        if (auto callback = std::exchange(this->disconnectCallback, nullptr)) {
            callback();
        }
    }

    void write(const HttpResponse &response)
    {
        this->response.emplace();
        this->response->version(11);
        this->response->result(static_cast<unsigned>(response.status));
        if (!response.contentType.empty()) {
            this->response->set(http::field::content_type, response.contentType);
        }
        for (const HttpHeader &header : response.headers) {
            this->response->insert(header.name, header.value);
        }
        const bool keepAlive
            = !response.close && !this->core->draining && !this->core->closing && (!this->parser->is_header_done() || this->parser->get().keep_alive());
        this->response->keep_alive(keepAlive);
        this->setBody(response);
        this->serializer.emplace(*this->response);
        this->writeMore(keepAlive);
    }

    /// Writes the rest of the response. A caller that reads slowly gets all of it; one that does not read is cut off.
    void writeMore(bool keepAlive)
    {
        this->armTimer(this->core->requestLimits.stallTimeout, &Session::close);
        http::async_write_some(this->socket, *this->serializer, [self = this->shared_from_this(), keepAlive](const ErrorCode &error, std::size_t) {
            if (self->closed) {
                return;
            }
            if (!error && !self->serializer->is_done()) {
                self->writeMore(keepAlive);
                return;
            }
            self->setAnswering(false);
            if (error || !keepAlive) {
                self->finishAndClose();
                return;
            }
            self->waitForRequest();
        });
    }

    /// Sets the body and its length. An answer to HEAD and one whose status forbids a body have none, whatever the handler gives.
    void setBody(const HttpResponse &response)
    {
        const bool isHead = this->parser->is_header_done() && this->parser->get().method() == http::verb::head;
        const bool statusForbidsBody = response.status < 200 || response.status == 204 || response.status == 304;
        if (!isHead && !statusForbidsBody) {
            this->response->body() = response.body;
            this->response->prepare_payload();
        } else if (isHead && !statusForbidsBody && !response.body.empty()) {
            // The length that the body would have in an answer to GET.
            this->response->content_length(response.body.size());
        }
    }

    /// Half-closes the connection and discards incoming data for `LINGER_TIME`: closing with unread data would reset the
    /// connection, and the caller could lose the response.
    void finishAndClose()
    {
        static constexpr Duration LINGER_TIME = std::chrono::milliseconds(200);
        ErrorCode ignored;
        this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
        this->armTimer(LINGER_TIME, &Session::close);
        this->discard();
    }

    /// Reads and ignores data until the connection ends.
    void discard()
    {
        this->socket.async_read_some(asio::buffer(this->discarded), [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
            if (self->closed) {
                return;
            }
            if (error) {
                self->close();
                return;
            }
            self->discard();
        });
    }

    std::shared_ptr<HttpServer::Core> core;
    Tcp::socket socket;
    asio::steady_timer timer;
    /// Identifies the pending timeout.
    std::uint64_t timerGeneration = 0;
    /// The connection ends with the rejection of a request. Reads that were complete before are ignored.
    bool rejected = false;
    std::string address;
    const std::uint64_t connectionNumber;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::optional<http::response<http::string_body>> response;
    /// The part of `response` that has not been written.
    std::optional<http::response_serializer<http::string_body>> serializer;
    /// Buffer for incoming data that `discard()` ignores.
    std::array<char, 4096> discarded{};
    /// Empty if no response is pending or no callback is registered.
    std::function<void()> disconnectCallback;
    /// Sequence number of the current request, so that a late response cannot be sent for a later request.
    std::uint64_t exchangeNumber = 0;
    /// Whether the current request has been answered; also true before the first request.
    bool responded = true;
    /// Whether a request is being read or answered.
    bool busy = false;
    /// Whether a request has been read whose response has not been written to its end.
    bool answering = false;
    bool closed = false;
};

/// The pending response to one request of a session.
class SessionExchange final : public HttpExchange
{
public:
    SessionExchange(std::shared_ptr<Session> owner, std::uint64_t exchangeNumber) : session(std::move(owner)), number(exchangeNumber)
    {
    }

    void respond(HttpResponse response) override
    {
        this->session->respond(this->number, response);
    }

    void onCallerDisconnect(std::function<void()> callback) override
    {
        this->session->onCallerDisconnect(this->number, std::move(callback));
    }

    void drop() override
    {
        this->session->drop(this->number);
    }

private:
    std::shared_ptr<Session> session;
    std::uint64_t number;
};

void Session::dispatchRequest()
{
    this->cancelTimer();
    ++this->core->counts.requests;
    ++this->exchangeNumber;
    this->responded = false;
    this->setAnswering(true);
    const auto &message = this->parser->get();
    HttpRequest request{.method = std::string(message.method_string()),
                        .target = std::string(message.target()),
                        .headers = {},
                        .body = std::move(this->parser->get().body()),
                        .peer = this->address,
                        .connection = this->connectionNumber,
                        .numberOnConnection = this->exchangeNumber};
    for (const auto &field : message) {
        request.headers.push_back({.name = std::string(field.name_string()), .value = std::string(field.value())});
    }
    this->watchForDisconnect();
    this->core->handler(std::move(request), std::make_shared<SessionExchange>(this->shared_from_this(), this->exchangeNumber));
}

} // namespace

static Error listenError(const std::string &address, const ErrorCode &error)
{
    return {.code = std::error_code(error.value(), std::system_category()), .step = "listen", .peer = address, .detail = error.message()};
}

Result<std::uint16_t> HttpServer::Core::listen()
{
    const std::optional<Tcp::endpoint> endpoint = parseEndpoint(this->options.address);
    if (!endpoint) {
        return Error{.code = Errc::malformedInput, .step = "listen", .peer = this->options.address, .detail = "not a numeric IP address and port"};
    }
    ErrorCode error;
    this->acceptor.open(endpoint->protocol(), error);
    if (!error) {
        this->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error && this->options.reusePort) {
        this->acceptor.set_option(ReusePortOption(true), error);
    }
    if (!error) {
        this->acceptor.bind(*endpoint, error);
    }
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return listenError(this->options.address, error);
    }
    const std::uint16_t port = this->acceptor.local_endpoint().port();
    this->accept();
    return port;
}

bool HttpServer::Core::withinConnectionLimits(const std::string &address) const
{
    const auto found = this->sessionsByAddress.find(address);
    const std::size_t fromAddress = found == this->sessionsByAddress.end() ? 0 : found->second;
    return this->sessions.size() < this->options.maximumConnections && fromAddress < this->options.maximumConnectionsPerAddress;
}

void HttpServer::Core::accept()
{
    this->acceptor.async_accept([self = this->shared_from_this()](const ErrorCode &error, Tcp::socket socket) {
        if (self->draining || error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            ErrorCode ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            const Tcp::endpoint remote = socket.remote_endpoint(ignored);
            const std::string address = remote.address().to_string();
            if (self->withinConnectionLimits(address)) {
                ++self->counts.connections;
                auto session = std::make_shared<Session>(self, std::move(socket), address);
                self->sessions.insert(session);
                ++self->sessionsByAddress[address];
                self->counts.peakConnections = std::max(self->counts.peakConnections, self->sessions.size());
                session->start();
            } else {
                ++self->counts.refusedConnections;
            }
        }
        self->accept();
    });
}

void HttpServer::Core::removeSession(const std::shared_ptr<Session> &session, const std::string &address)
{
    if (this->sessions.erase(session) == 0) {
        return;
    }
    const auto found = this->sessionsByAddress.find(address);
    if (found != this->sessionsByAddress.end() && --found->second == 0) {
        this->sessionsByAddress.erase(found);
    }
}

void HttpServer::Core::drain()
{
    this->draining = true;
    ErrorCode ignored;
    this->acceptor.close(ignored);
    const std::set<std::shared_ptr<Session>> open = this->sessions;
    for (const auto &session : open) {
        session->closeIfIdle();
    }
}

void HttpServer::Core::abort()
{
    this->draining = true;
    ErrorCode ignored;
    this->acceptor.close(ignored);
    const std::set<std::shared_ptr<Session>> open = this->sessions;
    for (const auto &session : open) {
        session->close();
    }
}

HttpServer::HttpServer(EventLoop &loop, Options options, HttpHandler handler) : core(std::make_shared<Core>(loop, std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    this->core->abort();
    this->core->handler = nullptr;
}

Result<std::uint16_t> HttpServer::listen()
{
    return this->core->listen();
}

void HttpServer::setRequestLimits(const RequestLimits &requestLimits)
{
    this->core->requestLimits = requestLimits;
}

void HttpServer::announceClose()
{
    this->core->closing = true;
}

void HttpServer::drain()
{
    this->core->drain();
}

void HttpServer::abort()
{
    this->core->abort();
}

std::size_t HttpServer::unansweredRequests() const
{
    return this->core->unansweredRequests.load(std::memory_order_acquire);
}

HttpServerCounts HttpServer::counts() const
{
    HttpServerCounts counts = this->core->counts;
    counts.openConnections = this->core->openSessionCount();
    return counts;
}

} // namespace ragwort
