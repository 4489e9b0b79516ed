/// \file
/// An HTTP/1.1 server with bounds on everything a caller can use up: header and body bytes, time, connections.
///
/// Built on Boost.Beast's parser; docs/design/http.md gives the reasons against QHttpServer.
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
    std::string peer;
    /// Number of the connection at its server, counted from 1.
    std::uint64_t connection = 0;
    /// Number of the request on its connection, counted from 1.
    std::uint64_t numberOnConnection = 0;

    /// The first header of that name in any case, or an empty view.
    std::string_view header(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    /// Left out when empty; `headers` may carry one of its own.
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;
    /// Ends the connection after this answer.
    bool close = false;
};

/// One request that waits for its answer. Used on the loop's thread only.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /// Sends the answer; has no effect when the caller has gone or was answered before.
    virtual void respond(HttpResponse response) = 0;

    /// \p callback runs at most once, when the caller disconnects before the answer.
    virtual void onAbandoned(std::function<void()> callback) = 0;

    /// Ends the connection without an answer; for stand-ins that fail on purpose.
    virtual void drop() = 0;
};

using HttpHandler = std::function<void(HttpRequest request, std::shared_ptr<HttpExchange> exchange)>;

struct HttpServerCounts
{
    std::uint64_t connections = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t requests = 0;
    std::uint64_t badRequests = 0;
    std::uint64_t abandoned = 0;
    std::size_t openConnections = 0;
    std::size_t mostConnections = 0;
};

class HttpServer
{
public:
    /// What a caller may use up on one connection.
    struct Bounds
    {
        std::size_t maximumHeaderBytes = 16 * 1024;
        std::size_t maximumBodyBytes = 256 * 1024;
        /// From the first byte of a request to its last.
        Duration requestTimeout = std::chrono::seconds(5);
        /// Without any byte on a kept-alive connection.
        Duration idleTimeout = std::chrono::seconds(75);
    };
    struct Options
    {
        /// IP number and port; port 0 takes a free one.
        std::string address;
        Bounds bounds;
        std::size_t maximumConnections = 2000;
        std::size_t maximumConnectionsPerAddress = 2000;
        /// Lets several servers listen on one port, one for each thread.
        bool reusePort = false;
    };

    HttpServer(EventLoop &loop, Options options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts to listen and returns the port.
    Result<std::uint16_t> listen();

    /// Replaces the bounds; they hold from the next request of each connection on.
    void setBounds(const Bounds &bounds);

    /// Asks every caller to close its connection with its next answer, and goes on accepting connections.
    void announceClose();

    /// Accepts no more connections and asks callers to close with their next answer. Idle connections end at once.
    void drain();

    /// Ends every connection at once.
    void abort();

    HttpServerCounts counts() const;

    /// Implementation, public in name only so that connections can refer to it.
    class Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace ragwort

#endif
