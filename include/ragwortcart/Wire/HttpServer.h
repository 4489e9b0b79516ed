/// \file
/// HTTP/1.1 server with limits on all resources a caller can consume: header and body size, time, connections.
///
/// Built on Boost.Beast's parser; docs/design/http.md explains why QHttpServer is not used.
#ifndef RAGWORTCART_WIRE_HTTPSERVER_H
#define RAGWORTCART_WIRE_HTTPSERVER_H

#include "ragwortcart/Model/ForwardedQuery.h"
#include "ragwortcart/Support/Clock.h"
#include "ragwortcart/Support/Error.h"
#include "ragwortcart/Wire/EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort {

using HttpHeader = HeaderField;

struct HttpRequest
{
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    /// The caller's IP address, without the port.
    std::string peer;
    /// Sequence number of the connection on its server, starting at 1.
    std::uint64_t connection = 0;
    /// Sequence number of the request on its connection, starting at 1.
    std::uint64_t numberOnConnection = 0;

    /// Returns the value of the first header with that name, ignoring case, or an empty view.
    std::string_view header(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    /// Omitted when empty; `headers` may contain a Content-Type instead.
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;
    /// Closes the connection after this response.
    bool close = false;
};

/// A request with a pending response. Must be used on the loop's thread only.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /// Sends the response. Has no effect if the caller has disconnected or a response was already sent.
    virtual void respond(HttpResponse response) = 0;

    /// Registers \p callback, which runs at most once, when the caller disconnects before the response is sent.
    virtual void onCallerDisconnect(std::function<void()> callback) = 0;

    /// Closes the connection without a response. Used for fault injection by emulators and test servers.
    virtual void drop() = 0;
};

using HttpHandler = std::function<void(HttpRequest request, std::shared_ptr<HttpExchange> exchange)>;

/// Counts since the server was created.
struct HttpServerCounts
{
    /// Accepted connections within the limits.
    std::uint64_t connections = 0;
    /// Connections closed immediately because a connection limit was reached.
    std::uint64_t refusedConnections = 0;
    /// Complete requests passed to the handler.
    std::uint64_t requests = 0;
    /// Requests rejected before the handler: malformed, too large or not complete in time.
    std::uint64_t badRequests = 0;
    /// Requests whose caller disconnected before the response.
    std::uint64_t abandoned = 0;
    std::size_t openConnections = 0;
    std::size_t peakConnections = 0;
};

/// Uses one event loop. While the loop runs, all calls must be made on its thread.
class HttpServer
{
public:
    /// Limits on the size and duration of each request.
    struct RequestLimits
    {
        std::size_t maximumHeaderBytes = 16 * 1024;
        std::size_t maximumBodyBytes = 256 * 1024;
        /// Time from the first byte of a request to its last.
        Duration requestTimeout = std::chrono::seconds(5);
        /// Time without any progress of a response after which its connection is closed: the caller does not read.
        Duration stallTimeout = std::chrono::seconds(5);
        /// Time that a connection may wait for the first byte of a request.
        Duration idleTimeout = std::chrono::seconds(75);
    };
    struct Options
    {
        /// Numeric IP address and port. Port 0 selects a free port.
        std::string address;
        RequestLimits requestLimits;
        std::size_t maximumConnections = 2000;
        /// Maximum number of connections from one IP address.
        std::size_t maximumConnectionsPerAddress = 2000;
        /// Sets SO_REUSEPORT, so that several servers, one per thread, can share a port.
        bool reusePort = false;
    };

    HttpServer(EventLoop &loop, Options options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts listening and returns the bound port.
    Result<std::uint16_t> listen();

    /// Replaces the request limits. The new limits apply from the next request on each connection.
    void setRequestLimits(const RequestLimits &requestLimits);

    /// Sends `Connection: close` with every further response, and continues to accept connections. Used at the start of a
    /// shutdown, until load balancers no longer open connections.
    void announceClose();

    /// Stops accepting connections, closes idle ones and sends `Connection: close` with every further response.
    void drain();

    /// Stops accepting connections and closes all open ones immediately.
    void abort();

    HttpServerCounts counts() const;

    /// Returns the number of requests that have been read and whose response has not been written to its end. Thread-safe.
    std::size_t unansweredRequests() const;

    /// Private implementation; declared public so that sessions can refer to it.
    class Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace ragwort

#endif
