/// \file
/// HTTP/1.1 client for backend servers with a bounded pool of persistent connections per server.
///
/// Never sends a request twice, and reports the exact stage at which a request failed. docs/design/http.md explains why
/// the client does not use QNetworkAccessManager.
#ifndef RAGWORTCART_WIRE_BACKENDCLIENT_H
#define RAGWORTCART_WIRE_BACKENDCLIENT_H

#include "ragwortcart/Model/Query.h"
#include "ragwortcart/Wire/BackendCodec.h"
#include "ragwortcart/Wire/BackendProtocol.h"
#include "ragwortcart/Wire/EventLoop.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace ragwort {

/// Counts since the client was created. May be read on any thread.
struct BackendClientCounts
{
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> connects{0};
    std::atomic<std::uint64_t> connectFailures{0};
    /// Requests cancelled after they had been assigned to a connection.
    std::atomic<std::uint64_t> abandoned{0};
    /// Responses that belonged to another request.
    std::atomic<std::uint64_t> mismatched{0};
};

/// Sends sub-requests to backend servers and fetches their status. Uses one event loop; all calls must be made on the loop's
/// thread. All requests to one server must use the same client, because the connection limit is enforced per client.
class BackendClient
{
public:
    struct Options
    {
        Duration connectTimeout = std::chrono::milliseconds(250);
        Duration idleTimeout = std::chrono::seconds(30);
        /// Time allowed for the response to a cancelled request before its connection is closed.
        Duration cancelGrace = std::chrono::milliseconds(50);
        /// Timeout of the status request that follows a lost connection.
        Duration probeTimeout = std::chrono::milliseconds(100);
        /// Maximum number of connections per server if the request does not set a limit.
        int defaultConnections = 4;
        const BackendProtocol &protocol = jsonBackendProtocol();
    };
    /// Limits on this instance's connections to one server. Each request replaces the limits for its server.
    struct ConnectionLimits
    {
        /// Maximum number of connections: this instance's share of the connections to the server. Non-positive values select
        /// `Options::defaultConnections`.
        int maximumConnections = 0;
        /// Maximum idle time of a connection. Defaults to `Options::idleTimeout`.
        std::optional<Duration> idleTimeout;
    };
    using Completion = std::function<void(SubOutcome outcome)>;
    using StatusCompletion = std::function<void(Result<ServerStatus> status)>;

    BackendClient(EventLoop &loop, const Options &options);
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    /// Sends a sub-request, or queues it until a connection is free, and runs \p completion exactly once. For a cancelled
    /// request, \p completion runs when the request has ended. Destroying the client drops requests that have neither ended
    /// nor been cancelled, without running their completions.
    void send(const SubRequest &request, const ConnectionLimits &limits, Completion completion);

    /// Cancels a pending request. Has no effect on unknown requests and on requests that have ended.
    void cancel(QueryId query, AttemptId attempt);

    /// Requests the status of a server over a dedicated connection, which is closed afterwards.
    void fetchStatus(const std::string &address, Duration timeout, StatusCompletion completion);

    const BackendClientCounts &counts() const;

    /// Private implementation; declared public so that connections can refer to it.
    class Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace ragwort

#endif
