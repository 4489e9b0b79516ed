/// \file
/// The client for backend servers: HTTP/1.1 over kept-alive connections, with a bound on connections per server.
///
/// It never sends a request twice, and tells exactly how far a failed one came. docs/design/http.md gives the reasons
/// against QNetworkAccessManager on this path.
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

struct BackendClientCounts
{
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> connects{0};
    std::atomic<std::uint64_t> connectFailures{0};
    std::atomic<std::uint64_t> abandoned{0};
    std::atomic<std::uint64_t> crossed{0};
};

/// One client serves one loop; all calls are made on the loop's thread. All requests to one server must go through the
/// same client, as it alone counts the server's connections.
class BackendClient
{
public:
    struct Options
    {
        Duration connectTimeout = std::chrono::milliseconds(250);
        Duration idleTimeout = std::chrono::seconds(30);
        /// How long the answer to a cancelled request may still come in before its connection is closed.
        Duration cancelGrace = std::chrono::milliseconds(50);
        /// For the look at a server whose connection broke.
        Duration probeTimeout = std::chrono::milliseconds(100);
        /// The most connections to one server if no other bound is given.
        int defaultConnections = 4;
        const BackendProtocol &protocol = ownBackendProtocol();
    };
    /// What this instance may hold at one server at present.
    struct ConnectionLimits
    {
        /// Its share of the server's connections; the client's own default if it is not positive.
        int bound = 0;
        /// How long a connection may stay without use; the client's own default if not set.
        std::optional<Duration> idleTimeout;
    };
    using Completion = std::function<void(SubOutcome outcome)>;
    using StatusCompletion = std::function<void(Result<ServerStatus> status)>;

    BackendClient(EventLoop &loop, const Options &options);
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    /// Sends a sub-request; \p completion runs once. After a cancel it tells when the request has ended.
    void send(const SubRequest &request, const ConnectionLimits &limits, Completion completion);

    void cancel(QueryId query, AttemptId attempt);

    /// Asks a server for its report, on a connection of its own that ends with it.
    void fetchStatus(const std::string &address, Duration timeout, StatusCompletion completion);

    const BackendClientCounts &counts() const;

    /// Implementation, public in name only so that connections can refer to it.
    class Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace ragwort

#endif
