/// \file
/// Implements the backend client on Boost.Beast with one connection pool per server.
#include "ragwortcart/Wire/BackendClient.h"

#include "AsioLoop.h"
#include "ResponseCheck.h"
#include "StatusFetch.h"
#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Log.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <deque>
#include <map>
#include <sys/socket.h>
#include <unordered_map>
#include <vector>

namespace ragwort {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

static constexpr std::size_t MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;
/// Limit for the bodies of all unfinished responses together, which bounds the memory if many servers send bodies without end.
static constexpr std::size_t MAXIMUM_UNFINISHED_BYTES = 16 * 1024 * 1024;
/// Limit for the bytes of one read.
static constexpr std::size_t MAXIMUM_READ_BYTES = 65536;
/// Initial size of a connection's receive buffer: a response of usual size fits, so that one read suffices.
static constexpr std::size_t RECEIVE_BUFFER_BYTES = 2048;
/// Minimum delay before the next sweep, which closes all expired idle connections together. They are closed at most this late.
static constexpr Duration IDLE_SWEEP_DELAY = std::chrono::milliseconds(250);

namespace {

struct AttemptKey
{
    QueryId query = 0;
    AttemptId attempt = 0;
    bool operator==(const AttemptKey &) const = default;
};

struct AttemptKeyHash
{
    std::size_t operator()(const AttemptKey &key) const
    {
        return std::hash<std::uint64_t>()(key.query * 1'000'003U + key.attempt);
    }
};

/// A request between the call of `send()` and its completion.
struct PendingRequest
{
    AttemptKey key;
    SubRequest request;
    BackendClient::Completion completion;
};

class Connection;
using ConnectionPointer = std::shared_ptr<Connection>;

/// Returns whether the deadline of a request has passed, so that its caller no longer waits for the answer.
bool hasExpired(const PendingRequest &pending)
{
    return steadyNow() >= pending.request.deadline;
}

SubFailureReport expiredReport()
{
    return {.failure = SubFailure::expired, .report = std::nullopt, .answer = std::nullopt};
}

/// Connections and queued requests of one server. Pools are never removed, so references to them stay valid.
struct ServerPool
{
    std::string address;
    /// Incarnation reported with the latest response; 0 if none was reported.
    std::uint64_t incarnation = 0;
    /// The limits of the latest request.
    int maximumConnections = 0;
    Duration idleTimeout{};
    /// Invariant: every connection is in `all`; connections without a request are also in `idle`.
    std::vector<ConnectionPointer> all;
    std::vector<ConnectionPointer> idle;
    /// Requests that wait for a connection, in the order of `send()`.
    std::deque<PendingRequest> queue;
};

} // namespace

class BackendClient::Core : public std::enable_shared_from_this<BackendClient::Core>
{
public:
    Core(EventLoop &eventLoop, const Options &clientOptions) : loop(eventLoop), options(clientOptions), sweepTimer(eventLoop)
    {
    }

    void send(const SubRequest &request, const ConnectionLimits &limits, Completion completion);
    void cancel(const AttemptKey &key);
    /// Assigns connections to queued requests as far as the connection limit allows.
    void dispatchQueued(ServerPool &pool);
    /// Removes a closed connection from its pool.
    void remove(const ConnectionPointer &connection);
    /// Makes a connection available for the next request after a complete response.
    void release(const ConnectionPointer &connection);
    void closeAll();
    void closeIdle(ServerPool &pool);
    /// Completes a request whose connection was lost after sending. Requests the server's status to find out whether its process
    /// is still running.
    void probe(ServerPool &pool, PendingRequest request);
    void fetchStatus(const std::string &address, Duration timeout, StatusCompletion completion);

    EventLoop &loop;
    const Options options;
    BackendClientCounts counts;
    /// The connection of each request that has been assigned one. Cancelled requests are removed at once.
    std::unordered_map<AttemptKey, ConnectionPointer, AttemptKeyHash> running;
    /// Bytes of the bodies of all unfinished responses.
    std::size_t unfinishedBytes = 0;

private:
    ServerPool &poolFor(const std::string &address);
    /// Removes and returns an idle connection that is still open, or null. Moves stale connections that it skips to \p stale,
    /// for the caller to close afterwards: closing a connection dispatches the queue again.
    static ConnectionPointer takeIdle(ServerPool &pool, std::vector<ConnectionPointer> &stale);
    void assignConnections(ServerPool &pool, std::vector<ConnectionPointer> &stale);
    /// Ensures that idle connections are checked for expiry at \p due or soon after.
    void scheduleSweep(Instant due);
    void sweepIdle();

    std::map<std::string, std::unique_ptr<ServerPool>> pools;
    LoopTimer sweepTimer;
    std::optional<Instant> sweepAt;
};

namespace {

/// A connection to a server. Carries one request at a time.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(BackendClient::Core &owner, ServerPool &serverPool)
        : core(owner), pool(serverPool), socket(owner.loop.implementation().context), timer(owner.loop.implementation().context)
    {
        this->buffer.reserve(RECEIVE_BUFFER_BYTES);
    }

    /// Establishes the connection and sends its first request.
    void connect(PendingRequest request)
    {
        this->current = std::move(request);
        ++this->core.counts.connects;
        const std::optional<Tcp::endpoint> endpoint = parseEndpoint(this->pool.address);
        if (!endpoint) {
            this->fail(SubFailure::connectFailed);
            return;
        }
        this->armTimer(this->core.options.connectTimeout, [](Connection &self) {
            // The connection may have been established just before the timer fired, in which case the request has been sent.
            if (!self.established) {
                self.fail(SubFailure::connectFailed);
            }
        });
        this->socket.async_connect(*endpoint, [self = this->shared_from_this()](const ErrorCode &error) {
            if (self->closed) {
                return;
            }
            if (error) {
                self->fail(SubFailure::connectFailed);
                return;
            }
            ErrorCode ignored;
            self->socket.set_option(Tcp::no_delay(true), ignored);
            self->timer.cancel();
            if (hasExpired(self->current)) {
                self->releaseExpired();
                return;
            }
            self->writeRequest();
        });
    }

    /// Sends a request on the established connection.
    void start(PendingRequest request)
    {
        this->current = std::move(request);
        this->writeRequest();
    }

    /// Abandons the current request. Its response is discarded; the connection is kept only if the response arrives within
    /// `Options::cancelGrace`.
    void abandon()
    {
        ++this->core.counts.abandoned;
        this->abandoned = true;
        if (!this->established) {
            this->close();
            return;
        }
        this->armTimer(this->core.options.cancelGrace, [](Connection &self) {
            // The response may have arrived just before the timer fired, in which case the connection may already carry
            // another request.
            if (self.abandoned) {
                self.close();
            }
        });
    }

    bool isAbandoned() const
    {
        return this->abandoned;
    }

    /// Returns whether the idle connection is still open and has no unexpected data to read. Checked only before reuse:
    /// waiting for readability while idle would cost two system calls per request.
    bool isReusable()
    {
        char byte = 0;
        return ::recv(this->socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void close()
    {
        if (this->closed) {
            return;
        }
        this->closed = true;
        this->timer.cancel();
        ErrorCode ignored;
        this->socket.close(ignored);
        this->countUnfinishedBytes(0);
        this->core.remove(this->shared_from_this());
        if (this->abandoned && this->current.completion) {
            std::exchange(this->current.completion, nullptr)(SubCancelled{});
        }
    }

    ServerPool &serverPool()
    {
        return this->pool;
    }

    /// The time at which an idle connection expires.
    Instant idleUntil{};
    PendingRequest current;

private:
    void armTimer(Duration delay, void (*onTimeout)(Connection &))
    {
        this->timer.expires_after(delay);
        this->timer.async_wait([self = this->shared_from_this(), onTimeout](const ErrorCode &error) {
            if (!error && !self->closed) {
                onTimeout(*self);
            }
        });
    }

    void writeRequest()
    {
        this->established = true;
        ++this->core.counts.requests;
        if (!this->encodeRequest()) {
            this->fail(SubFailure::unsendable);
            return;
        }
        http::async_write(this->socket, this->request, [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
            if (self->closed) {
                return;
            }
            if (error) {
                self->failAfterSend();
                return;
            }
            self->readResponse();
        });
    }

    /// Encodes the current request. Returns false if the encoder refuses it, which it does by throwing: a body with a method that has none, or
    /// a field that is too long.
    bool encodeRequest()
    {
        BackendHttpRequest encoded = this->core.options.protocol.encode(this->current.request, steadyNow());
        try {
            this->request = {};
            this->request.method_string(encoded.method);
            this->request.target(encoded.target);
            this->request.version(11);
            for (const HeaderField &field : encoded.headers) {
                this->request.insert(field.name, field.value);
            }
            this->request.body() = std::move(encoded.body);
            this->request.prepare_payload();
        } catch (const std::exception &error) {
            logEvent(LogLevel::warning,
                     "request-unsendable",
                     {{.key = "query", .value = std::to_string(this->current.request.query)},
                      {.key = "server", .value = this->current.request.serverId},
                      {.key = "method", .value = encoded.method},
                      {.key = "error", .value = error.what()}});
            return false;
        }
        return true;
    }

    void readResponse()
    {
        this->parser.emplace();
        this->parser->body_limit(MAXIMUM_RESPONSE_BYTES);
        // A response to HEAD has no body, regardless of its Content-Length.
        this->parser->skip(this->request.method() == http::verb::head);
        // Without it, a read ends after the head of the response.
        this->parser->eager(true);
        this->readMore();
    }

    void readMore()
    {
        const std::size_t size = boost::beast::read_size(this->buffer, MAXIMUM_READ_BYTES);
        this->socket.async_read_some(this->buffer.prepare(size), [self = this->shared_from_this()](const ErrorCode &error, std::size_t bytes) {
            if (self->closed) {
                return;
            }
            self->buffer.commit(bytes);
            self->onRead(error);
        });
    }

    /// Handles the result of a read, whose bytes are in the buffer. Bytes that are not parsed yet stay there.
    void onRead(const ErrorCode &readError)
    {
        if (!this->parser->is_header_done() && hasFoldedLine({static_cast<const char *>(this->buffer.data().data()), this->buffer.size()})) {
            // Parsed, the line could not be told from a part of the field before it (RFC 9112, section 5.2).
            this->finish(this->rejectResponse("line of the head begins with a blank"), false);
            return;
        }
        if (const ErrorCode error = this->parse(readError)) {
            this->failAfterSend();
            return;
        }
        if (this->parser->is_done()) {
            this->countUnfinishedBytes(0);
            this->onResponse();
            return;
        }
        this->countUnfinishedBytes(this->parser->get().body().size());
        if (this->core.unfinishedBytes > MAXIMUM_UNFINISHED_BYTES) {
            this->failAfterSend();
            return;
        }
        this->readMore();
    }

    /// Parses the bytes in the buffer, or the end of the connection. Returns an error if the response is malformed or cannot be completed.
    ErrorCode parse(const ErrorCode &readError)
    {
        ErrorCode error = readError;
        if (readError == asio::error::eof && this->parser->got_some()) {
            error = {};
            this->parser->put_eof(error);
        } else if (!readError) {
            this->buffer.consume(this->parser->put(this->buffer.data(), error));
        }
        return error == http::error::need_more ? ErrorCode() : error;
    }

    /// Updates the total of the client for this connection's unfinished response of \p bytes.
    void countUnfinishedBytes(std::size_t bytes)
    {
        this->core.unfinishedBytes += bytes - this->unfinishedBytes;
        this->unfinishedBytes = bytes;
    }

    void onResponse()
    {
        auto &message = this->parser->get();
        const bool reusable = message.keep_alive() && this->buffer.size() == 0;
        this->finish(this->decodeResponse(message), reusable);
    }

    /// Ends the current request, to which the server has responded. Keeps the connection if it is \p reusable, unless the outcome forbids it.
    void finish(SubOutcome outcome, bool reusable)
    {
        const auto *failure = std::get_if<SubFailureReport>(&outcome);
        const ServerStatement *statement = statementOf(outcome);
        const bool leaving = statement != nullptr && statement->leaving;
        reusable = reusable && !leaving && (failure == nullptr || failure->failure != SubFailure::protocol);
        if (this->abandoned) {
            outcome = SubCancelled{.answered = true, .statement = statement != nullptr ? std::optional(*statement) : std::nullopt};
        }
        const BackendClient::Completion completion = std::exchange(this->current.completion, nullptr);
        this->core.running.erase(this->current.key);
        if (std::exchange(this->abandoned, false)) {
            this->timer.cancel();
        }
        if (reusable) {
            this->core.release(this->shared_from_this());
        } else {
            this->close();
        }
        if (leaving) {
            this->core.closeIdle(this->pool);
        }
        if (completion) {
            completion(std::move(outcome));
        }
    }

    SubOutcome decodeResponse(http::response<http::string_body> &message)
    {
        if (const char *fault = findResponseFault(message)) {
            return this->rejectResponse(fault);
        }
        BackendHttpResponse response{.status = static_cast<int>(message.result_int()), .headers = {}, .body = std::move(message.body())};
        for (const auto &field : message) {
            response.headers.push_back({.name = std::string(field.name_string()), .value = std::string(field.value())});
        }
        SubOutcome outcome = this->core.options.protocol.decode(this->current.request, std::move(response));
        if (const auto *answer = std::get_if<SubAnswer>(&outcome)) {
            this->pool.incarnation = answer->report.incarnation;
        } else if (const auto *failure = std::get_if<SubFailureReport>(&outcome); failure != nullptr && failure->mismatched) {
            ++this->core.counts.mismatched;
        }
        return outcome;
    }

    /// Returns the outcome of a request whose response is invalid.
    SubFailureReport rejectResponse(const char *fault) const
    {
        const SubRequest &sub = this->current.request;
        const std::string status = this->parser->is_header_done() ? std::to_string(this->parser->get().result_int()) : std::string();
        logRequestEvent(LogLevel::info,
                        "response-invalid",
                        {{.key = "request", .value = sub.forwarded ? sub.forwarded->callerRequestId : "-"},
                         {.key = "query", .value = std::to_string(sub.query)},
                         {.key = "server", .value = sub.serverId},
                         {.key = "status", .value = status},
                         {.key = "fault", .value = fault}});
        return {.failure = SubFailure::protocol, .report = std::nullopt, .answer = std::nullopt};
    }

    /// Ends a request whose deadline has passed while the connection was being established, and keeps the connection.
    void releaseExpired()
    {
        this->established = true;
        const BackendClient::Completion completion = std::exchange(this->current.completion, nullptr);
        this->core.running.erase(this->current.key);
        this->core.release(this->shared_from_this());
        completion(expiredReport());
    }

    /// Ends a request of which no byte was sent.
    void fail(SubFailure failure)
    {
        if (failure == SubFailure::connectFailed) {
            ++this->core.counts.connectFailures;
        }
        const BackendClient::Completion completion = std::exchange(this->current.completion, nullptr);
        this->core.running.erase(this->current.key);
        this->close();
        if (completion) {
            completion(this->abandoned ? SubOutcome(SubCancelled{})
                                       : SubOutcome(SubFailureReport{.failure = failure, .report = std::nullopt, .answer = std::nullopt}));
        }
    }

    /// Ends a request that the server may have received.
    void failAfterSend()
    {
        this->core.running.erase(this->current.key);
        PendingRequest failedRequest = std::move(this->current);
        this->current = {};
        ServerPool &serverPool = this->pool;
        BackendClient::Core &owner = this->core;
        this->close();
        if (!failedRequest.completion) {
            return;
        }
        if (this->abandoned) {
            failedRequest.completion(SubCancelled{});
            return;
        }
        owner.probe(serverPool, std::move(failedRequest));
    }

    BackendClient::Core &core;
    ServerPool &pool;
    Tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    /// This connection's share of `Core::unfinishedBytes`.
    std::size_t unfinishedBytes = 0;
    /// Set before the first request is written. Until then, no byte has been sent.
    bool established = false;
    bool abandoned = false;
    bool closed = false;
};

} // namespace

ServerPool &BackendClient::Core::poolFor(const std::string &address)
{
    std::unique_ptr<ServerPool> &pool = this->pools[address];
    if (!pool) {
        pool = std::make_unique<ServerPool>();
        pool->address = address;
    }
    return *pool;
}

void BackendClient::Core::send(const SubRequest &request, const ConnectionLimits &limits, Completion completion)
{
    ServerPool &pool = this->poolFor(request.address);
    pool.maximumConnections = limits.maximumConnections > 0 ? limits.maximumConnections : this->options.defaultConnections;
    pool.idleTimeout = limits.idleTimeout.value_or(this->options.idleTimeout);
    pool.queue.push_back({.key = {.query = request.query, .attempt = request.attempt}, .request = request, .completion = std::move(completion)});
    this->dispatchQueued(pool);
}

void BackendClient::Core::dispatchQueued(ServerPool &pool)
{
    std::vector<ConnectionPointer> stale;
    this->assignConnections(pool, stale);
    for (const ConnectionPointer &connection : stale) {
        connection->close();
    }
}

void BackendClient::Core::assignConnections(ServerPool &pool, std::vector<ConnectionPointer> &stale)
{
    while (!pool.queue.empty()) {
        if (hasExpired(pool.queue.front())) {
            const Completion completion = std::move(pool.queue.front().completion);
            pool.queue.pop_front();
            completion(expiredReport());
            continue;
        }
        if (const ConnectionPointer connection = takeIdle(pool, stale)) {
            PendingRequest request = std::move(pool.queue.front());
            pool.queue.pop_front();
            this->running[request.key] = connection;
            connection->start(std::move(request));
            continue;
        }
        if (static_cast<int>(pool.all.size()) < pool.maximumConnections) {
            auto connection = std::make_shared<Connection>(*this, pool);
            pool.all.push_back(connection);
            PendingRequest request = std::move(pool.queue.front());
            pool.queue.pop_front();
            this->running[request.key] = connection;
            connection->connect(std::move(request));
            continue;
        }
        // Closes a connection that only waits for the response to an abandoned request. This frees its slot and dispatches the
        // queue again.
        const auto abandoned = std::find_if(pool.all.begin(), pool.all.end(), [](const ConnectionPointer &connection) { return connection->isAbandoned(); });
        if (abandoned == pool.all.end()) {
            return;
        }
        const ConnectionPointer victim = *abandoned;
        victim->close();
        return;
    }
}

void BackendClient::Core::remove(const ConnectionPointer &connection)
{
    ServerPool &pool = connection->serverPool();
    std::erase(pool.all, connection);
    std::erase(pool.idle, connection);
    this->dispatchQueued(pool);
}

void BackendClient::Core::release(const ConnectionPointer &connection)
{
    ServerPool &pool = connection->serverPool();
    if (static_cast<int>(pool.all.size()) > pool.maximumConnections) {
        connection->close();
        return;
    }
    connection->idleUntil = steadyNow() + pool.idleTimeout;
    pool.idle.push_back(connection);
    this->scheduleSweep(connection->idleUntil);
    this->dispatchQueued(pool);
}

ConnectionPointer BackendClient::Core::takeIdle(ServerPool &pool, std::vector<ConnectionPointer> &stale)
{
    while (!pool.idle.empty()) {
        const ConnectionPointer connection = pool.idle.back();
        pool.idle.pop_back();
        if (connection->isReusable()) {
            return connection;
        }
        std::erase(pool.all, connection);
        stale.push_back(connection);
    }
    return nullptr;
}

void BackendClient::Core::scheduleSweep(Instant due)
{
    if (this->sweepAt && *this->sweepAt <= due) {
        return;
    }
    this->sweepAt = std::max(due, steadyNow() + IDLE_SWEEP_DELAY);
    this->sweepTimer.arm(*this->sweepAt, [this] { this->sweepIdle(); });
}

void BackendClient::Core::sweepIdle()
{
    this->sweepAt.reset();
    const Instant now = steadyNow();
    std::vector<ConnectionPointer> due;
    std::optional<Instant> next;
    for (const auto &[address, pool] : this->pools) {
        for (const ConnectionPointer &connection : pool->idle) {
            if (connection->idleUntil <= now) {
                due.push_back(connection);
            } else if (!next || connection->idleUntil < *next) {
                next = connection->idleUntil;
            }
        }
    }
    for (const ConnectionPointer &connection : due) {
        connection->close();
    }
    if (next) {
        this->scheduleSweep(*next);
    }
}

void BackendClient::Core::closeIdle(ServerPool &pool)
{
    const std::vector<ConnectionPointer> idle = pool.idle;
    for (const ConnectionPointer &connection : idle) {
        connection->close();
    }
}

void BackendClient::Core::cancel(const AttemptKey &key)
{
    const auto found = this->running.find(key);
    if (found != this->running.end()) {
        const ConnectionPointer connection = found->second;
        this->running.erase(found);
        connection->abandon();
        this->dispatchQueued(connection->serverPool());
        return;
    }
    for (const auto &[address, pool] : this->pools) {
        const auto queued = std::find_if(pool->queue.begin(), pool->queue.end(), [&key](const PendingRequest &request) { return request.key == key; });
        if (queued != pool->queue.end()) {
            const Completion completion = std::move(queued->completion);
            pool->queue.erase(queued);
            completion(SubCancelled{});
            return;
        }
    }
}

void BackendClient::Core::probe(ServerPool &pool, PendingRequest request)
{
    // The server's other idle connections may be broken as well.
    this->closeIdle(pool);
    if (!this->options.protocol.supportsStatus()) {
        request.completion(SubFailureReport{.failure = SubFailure::lost, .report = std::nullopt, .answer = std::nullopt});
        return;
    }
    const auto completion = std::make_shared<Completion>(std::move(request.completion));
    this->fetchStatus(pool.address, this->options.probeTimeout, [&pool, completion](const Result<ServerStatus> &status) {
        const bool sameProcess = status && (pool.incarnation == 0 || status->report.incarnation == pool.incarnation);
        SubFailureReport report{.failure = sameProcess ? SubFailure::closed : SubFailure::lost, .report = std::nullopt, .answer = std::nullopt};
        if (status) {
            report.report = status->report;
        }
        (*completion)(report);
    });
}

void BackendClient::Core::fetchStatus(const std::string &address, Duration timeout, StatusCompletion completion)
{
    fetchServerStatus(this->loop, address, timeout, std::move(completion));
}

void BackendClient::Core::closeAll()
{
    for (const auto &[address, pool] : this->pools) {
        pool->queue.clear();
        const std::vector<ConnectionPointer> open = pool->all;
        for (const ConnectionPointer &connection : open) {
            connection->close();
        }
    }
    this->running.clear();
}

BackendClient::BackendClient(EventLoop &loop, const Options &options) : core(std::make_shared<Core>(loop, options))
{
}

BackendClient::~BackendClient()
{
    this->core->closeAll();
}

void BackendClient::send(const SubRequest &request, const ConnectionLimits &limits, Completion completion)
{
    this->core->send(request, limits, std::move(completion));
}

void BackendClient::cancel(QueryId query, AttemptId attempt)
{
    this->core->cancel({.query = query, .attempt = attempt});
}

void BackendClient::fetchStatus(const std::string &address, Duration timeout, StatusCompletion completion)
{
    this->core->fetchStatus(address, timeout, std::move(completion));
}

const BackendClientCounts &BackendClient::counts() const
{
    return this->core->counts;
}

} // namespace ragwort
