/// \file
/// Implements the load generator with one event loop and a connection pool per target.
#include "ragwortcart/Emulator/LoadRun.h"

#include "../Wire/AsioLoop.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <functional>
#include <pcg_random.hpp>
#include <random>
#include <sys/socket.h>

namespace ragwort {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

/// Time after the deadline of a request at which the load generator abandons it. Also the time limit of control requests.
static constexpr Duration RESPONSE_GRACE = std::chrono::seconds(2);
static constexpr Duration HEALTH_INTERVAL = std::chrono::milliseconds(50);
static constexpr Duration HEALTH_TIMEOUT = std::chrono::milliseconds(500);
static constexpr std::size_t MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

LoadPlan LoadPlan::read(Settings &settings)
{
    using std::chrono::hours;
    using std::chrono::seconds;
    LoadPlan plan;
    plan.targets = settings.list("load", "targets");
    plan.healthAddresses = settings.list("load", "health");
    plan.length = settings.duration("load", "length", {.minimum = std::chrono::milliseconds(100), .maximum = hours(1)});
    plan.seed = static_cast<std::uint64_t>(settings.integer("load", "seed", {.minimum = 1, .maximum = INT64_MAX, .fallback = 1}));
    if (!plan.healthAddresses.empty() && plan.healthAddresses.size() != plan.targets.size()) {
        settings.addError("load", "health", std::to_string(plan.healthAddresses.size()) + " addresses", "one for each target");
    }
    if (plan.targets.empty()) {
        settings.addError("load", "targets", "nothing", "a comma-separated list of entry instances' addresses for callers");
    }
    for (const std::string &section : settings.sectionsWithPrefix("kind.")) {
        plan.kinds.push_back(
            {.team = settings.text(section, "team"),
             .name = section.substr(5),
             .action = settings.text(section, "action", {.fallback = "no", .choices = {"yes", "no"}}) == "yes",
             .rate = static_cast<double>(settings.integer(section, "rate", {.minimum = 0, .maximum = 100'000})),
             .deadlineMs = toMs(settings.duration(section, "deadline", {.minimum = std::chrono::milliseconds(10), .maximum = seconds(600)})),
             .distinctTexts = static_cast<int>(settings.integer(section, "distinct_texts", {.minimum = 1, .maximum = 10'000'000, .fallback = 1000})),
             .uniqueTexts = settings.text(section, "fresh_texts", {.fallback = "no", .choices = {"yes", "no"}}) == "yes"});
    }
    for (const std::string &section : settings.sectionsWithPrefix("order.")) {
        plan.controlRequests.push_back({.at = settings.duration(section, "at", {.minimum = Duration(0), .maximum = hours(1)}),
                                        .address = settings.address(section, "address"),
                                        .path = settings.text(section, "path"),
                                        .body = settings.text(section, "body")});
    }
    for (const std::string &section : settings.sectionsWithPrefix("window.")) {
        plan.windows.push_back({.name = section.substr(7),
                                .from = settings.duration(section, "from", {.minimum = Duration(0), .maximum = hours(1)}),
                                .to = settings.duration(section, "to", {.minimum = Duration(0), .maximum = hours(1)})});
    }
    return plan;
}

namespace {

struct LoadResponse
{
    bool completed = false;
    int status = 0;
    std::string body;
};

/// A connection with at most one request in flight.
class LoadConnection : public std::enable_shared_from_this<LoadConnection>
{
public:
    using Completion = std::function<void(const LoadResponse &, bool reusable)>;

    explicit LoadConnection(asio::io_context &context) : stream(context)
    {
    }

    void exchange(const std::string &address, http::request<http::string_body> message, Duration timeout, Completion onResponse)
    {
        this->request = std::move(message);
        this->completion = std::move(onResponse);
        this->stream.expires_after(timeout);
        if (this->connected && !this->closedByPeer()) {
            this->write();
            return;
        }
        this->stream.close();
        this->stream.expires_after(timeout);
        this->stream.async_connect(*parseEndpoint(address), [self = this->shared_from_this()](const ErrorCode &error) {
            if (error) {
                self->finish({}, false);
                return;
            }
            self->connected = true;
            ErrorCode ignored;
            self->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write();
        });
    }

private:
    /// Returns whether the peer has closed the idle connection. Load balancers check this too before they reuse a connection.
    bool closedByPeer()
    {
        char byte = 0;
        const ssize_t received = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void write()
    {
        http::async_write(this->stream, this->request, [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
            if (error) {
                self->finish({}, false);
                return;
            }
            self->parser.emplace();
            self->parser->body_limit(MAXIMUM_RESPONSE_BYTES);
            http::async_read(self->stream, self->buffer, *self->parser, [self](const ErrorCode &readError, std::size_t) {
                if (readError) {
                    self->finish({}, false);
                    return;
                }
                const auto &message = self->parser->get();
                self->finish({.completed = true, .status = static_cast<int>(message.result_int()), .body = message.body()}, message.keep_alive());
            });
        });
    }

    void finish(const LoadResponse &response, bool reusable)
    {
        const Completion done = std::exchange(this->completion, nullptr);
        if (!reusable) {
            this->stream.close();
        }
        this->stream.expires_never();
        if (done) {
            done(response, reusable);
        }
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    Completion completion;
    bool connected = false;
};

class LoadRunner
{
public:
    explicit LoadRunner(const LoadPlan &loadPlan) : plan(loadPlan), random(loadPlan.seed)
    {
    }

    std::vector<LoadRow> run()
    {
        this->windows = this->plan.windows;
        if (this->windows.empty()) {
            this->windows.push_back({.name = "all", .from = Duration(0), .to = this->plan.length});
        }
        for (const LoadWindow &window : this->windows) {
            for (const LoadKind &kind : this->plan.kinds) {
                auto statistics = std::make_unique<LoadStatistics>();
                this->rows.push_back({.window = window.name, .kind = kind.name, .statistics = std::move(statistics), .length = window.to - window.from});
            }
        }
        // The run starts 50 ms from now. Delays that are counted from now include these 50 ms.
        this->startTime = steadyNow() + std::chrono::milliseconds(50);
        for (std::size_t index = 0; index < this->plan.kinds.size(); ++index) {
            if (this->plan.kinds[index].rate > 0) {
                this->schedule(index, Duration(0));
            }
        }
        for (const ScheduledControlRequest &controlRequest : this->plan.controlRequests) {
            this->loop.callAfter(controlRequest.at + std::chrono::milliseconds(50), [this, &controlRequest] { this->sendControlRequest(controlRequest); });
        }
        this->notReady.resize(this->plan.targets.size(), false);
        // The end of the run counts as one pending exchange, so that the loop does not stop while no request is in flight.
        this->pendingExchanges = 1;
        this->checkHealth();
        this->loop.callAfter(this->plan.length + std::chrono::milliseconds(50), [this] {
            --this->pendingExchanges;
            this->stopIfDone();
        });
        this->loop.run();
        return std::move(this->rows);
    }

private:
    /// Schedules the next request of a Poisson process. \p after is the scheduled time of the previous request.
    void schedule(std::size_t kindIndex, Duration after)
    {
        const LoadKind &kind = this->plan.kinds[kindIndex];
        std::exponential_distribution<double> gap(kind.rate);
        const Duration due = after + Duration(static_cast<std::int64_t>(gap(this->random) * 1e6));
        if (due >= this->plan.length) {
            return;
        }
        const Duration delay = std::max(this->startTime + due - steadyNow(), Duration(0));
        this->loop.callAfter(delay, [this, kindIndex, due] {
            this->send(kindIndex, due);
            this->schedule(kindIndex, due);
        });
    }

    /// Polls the readiness of every target until the run ends.
    void checkHealth()
    {
        if (this->plan.healthAddresses.empty() || steadyNow() > this->startTime + this->plan.length) {
            return;
        }
        for (std::size_t index = 0; index < this->plan.healthAddresses.size(); ++index) {
            http::request<http::string_body> message(http::verb::get, "/readyz", 11);
            message.set(http::field::host, this->plan.healthAddresses[index]);
            this->exchange(this->plan.healthAddresses[index], std::move(message), HEALTH_TIMEOUT, [this, index](const LoadResponse &response) {
                this->notReady[index] = response.status != 200;
            });
        }
        this->loop.callAfter(HEALTH_INTERVAL, [this] { this->checkHealth(); });
    }

    /// Returns the next ready target in round-robin order, or the next target if none is ready.
    const std::string &nextTarget()
    {
        for (std::size_t tried = 0; tried < this->plan.targets.size(); ++tried) {
            const std::size_t index = this->nextTargetIndex++ % this->plan.targets.size();
            if (!this->notReady[index]) {
                return this->plan.targets[index];
            }
        }
        return this->plan.targets[this->nextTargetIndex++ % this->plan.targets.size()];
    }

    std::string queryText(const LoadKind &kind)
    {
        if (kind.uniqueTexts) {
            return "fresh " + std::to_string(this->plan.seed) + ' ' + std::to_string(++this->uniqueTextCount);
        }
        return "query " + std::to_string(this->random(static_cast<std::uint32_t>(kind.distinctTexts)));
    }

    void send(std::size_t kindIndex, Duration due)
    {
        const LoadKind &kind = this->plan.kinds[kindIndex];
        const std::string &target = this->nextTarget();
        http::request<http::string_body> message(http::verb::post, "/v1/teams/" + kind.team + (kind.action ? "/actions/" : "/search/") + kind.name, 11);
        message.set(http::field::host, target);
        message.set(http::field::content_type, "application/json");
        message.set("Ragwort-Deadline-Ms", std::to_string(kind.deadlineMs));
        if (kind.action) {
            message.set("Idempotency-Key", "load-" + std::to_string(this->plan.seed) + '-' + std::to_string(++this->keyCount));
        }
        message.body() = R"({"query":")" + this->queryText(kind) + R"(","limit":10})";
        message.prepare_payload();
        this->exchange(target,
                       std::move(message),
                       std::chrono::milliseconds(kind.deadlineMs) + RESPONSE_GRACE,
                       [this, kindIndex, due](const LoadResponse &response) { this->record(kindIndex, due, response); });
    }

    void sendControlRequest(const ScheduledControlRequest &controlRequest)
    {
        http::request<http::string_body> message(http::verb::post, controlRequest.path, 11);
        message.set(http::field::host, controlRequest.address);
        message.body() = controlRequest.body;
        message.prepare_payload();
        this->exchange(controlRequest.address, std::move(message), RESPONSE_GRACE, [&controlRequest](const LoadResponse &response) {
            if (response.status != 200) {
                std::fprintf(stderr,
                             "control request %s%s failed with status %d (0: no response)\n",
                             controlRequest.address.c_str(),
                             controlRequest.path.c_str(),
                             response.status);
            }
        });
    }

    void exchange(const std::string &target, http::request<http::string_body> message, Duration timeout, std::function<void(const LoadResponse &)> onResponse)
    {
        ++this->pendingExchanges;
        std::vector<std::shared_ptr<LoadConnection>> &idle = this->idleConnections[target];
        std::shared_ptr<LoadConnection> connection;
        if (idle.empty()) {
            connection = std::make_shared<LoadConnection>(this->loop.implementation().context);
        } else {
            connection = idle.back();
            idle.pop_back();
        }
        connection->exchange(
            target, std::move(message), timeout, [this, &idle, connection, onResponse = std::move(onResponse)](const LoadResponse &response, bool reusable) {
                if (reusable) {
                    idle.push_back(connection);
                }
                onResponse(response);
                --this->pendingExchanges;
                this->stopIfDone();
            });
    }

    void stopIfDone()
    {
        if (this->pendingExchanges == 0) {
            this->idleConnections.clear();
            this->loop.stop();
        }
    }

    void record(std::size_t kindIndex, Duration due, const LoadResponse &response)
    {
        const Duration latency = steadyNow() - (this->startTime + due);
        for (std::size_t window = 0; window < this->windows.size(); ++window) {
            if (due >= this->windows[window].from && due < this->windows[window].to) {
                addSample(*this->rows[window * this->plan.kinds.size() + kindIndex].statistics, latency, response);
            }
        }
    }

    static void addSample(LoadStatistics &statistics, Duration latency, const LoadResponse &response)
    {
        ++statistics.sent;
        if (!response.completed) {
            ++statistics.brokenConnections;
            ++statistics.reasons["connection-broken"];
            return;
        }
        const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(response.body)).object();
        if (response.status != 200) {
            ++(object.value("run").toString() == "not-run" ? statistics.notRun : statistics.failed);
            ++statistics.reasons[object.value("reason").toString("status-" + QString::number(response.status)).toStdString()];
            return;
        }
        ++statistics.succeeded;
        statistics.latency.record(latency);
        const double coverage = object.contains("coverage") ? object.value("coverage").toObject().value("fraction").toDouble() : 1.0;
        statistics.coverageSum += coverage;
        statistics.minimumCoverage = std::min(statistics.minimumCoverage, coverage);
        statistics.fullCoverage += coverage >= 1.0 ? 1 : 0;
        const QJsonObject cost = object.value("cost").toObject();
        statistics.subRequests += static_cast<std::uint64_t>(cost.value("sub_requests").toInt());
        statistics.extraSubRequests += static_cast<std::uint64_t>(cost.value("hedges").toInt() + cost.value("retries").toInt());
    }

    const LoadPlan &plan;
    EventLoop loop;
    pcg32 random;
    Instant startTime{};
    std::vector<LoadWindow> windows;
    std::vector<LoadRow> rows;
    std::map<std::string, std::vector<std::shared_ptr<LoadConnection>>> idleConnections;
    std::vector<bool> notReady;
    std::uint64_t nextTargetIndex = 0;
    std::uint64_t keyCount = 0;
    std::uint64_t uniqueTextCount = 0;
    std::int64_t pendingExchanges = 0;
};

/// Derived statistics of a row for output.
struct RowSummary
{
    double p50Ms;
    double p99Ms;
    double p999Ms;
    double coverage;
    double extraLoad;
};

} // namespace

static double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

static RowSummary summarize(const LoadStatistics &statistics)
{
    const auto planned = static_cast<double>(statistics.subRequests - statistics.extraSubRequests);
    return {.p50Ms = milliseconds(statistics.latency.quantile(0.5)),
            .p99Ms = milliseconds(statistics.latency.quantile(0.99)),
            .p999Ms = milliseconds(statistics.latency.quantile(0.999)),
            .coverage = statistics.succeeded == 0 ? 0.0 : statistics.coverageSum / static_cast<double>(statistics.succeeded),
            .extraLoad = planned == 0 ? 0.0 : static_cast<double>(statistics.extraSubRequests) / planned};
}

std::vector<LoadRow> runLoad(const LoadPlan &plan)
{
    return LoadRunner(plan).run();
}

std::string formatTable(const std::vector<LoadRow> &rows)
{
    std::string out = "window       kind          sent     ok  not-run failed broken   p50ms   p99ms  p999ms  coverage least   extra\n";
    for (const LoadRow &row : rows) {
        const LoadStatistics &statistics = *row.statistics;
        const RowSummary summary = summarize(statistics);
        char line[256];
        std::snprintf(line,
                      sizeof line,
                      "%-12s %-10s %7llu %6llu %8llu %6llu %6llu %7.1f %7.1f %7.1f  %8.5f %5.3f %6.2f%%\n",
                      row.window.c_str(),
                      row.kind.c_str(),
                      static_cast<unsigned long long>(statistics.sent),
                      static_cast<unsigned long long>(statistics.succeeded),
                      static_cast<unsigned long long>(statistics.notRun),
                      static_cast<unsigned long long>(statistics.failed),
                      static_cast<unsigned long long>(statistics.brokenConnections),
                      summary.p50Ms,
                      summary.p99Ms,
                      summary.p999Ms,
                      summary.coverage,
                      statistics.minimumCoverage,
                      summary.extraLoad * 100.0);
        out += line;
        for (const auto &[reason, count] : statistics.reasons) {
            out += "             " + reason + ": " + std::to_string(count) + '\n';
        }
    }
    return out;
}

std::string formatJson(const std::vector<LoadRow> &rows)
{
    QJsonArray array;
    for (const LoadRow &row : rows) {
        const LoadStatistics &statistics = *row.statistics;
        const RowSummary summary = summarize(statistics);
        QJsonObject reasons;
        for (const auto &[reason, count] : statistics.reasons) {
            reasons.insert(QString::fromStdString(reason), static_cast<qint64>(count));
        }
        array.append(QJsonObject{{"window", QString::fromStdString(row.window)},
                                 {"kind", QString::fromStdString(row.kind)},
                                 {"sent", static_cast<qint64>(statistics.sent)},
                                 {"succeeded", static_cast<qint64>(statistics.succeeded)},
                                 {"not_run", static_cast<qint64>(statistics.notRun)},
                                 {"failed", static_cast<qint64>(statistics.failed)},
                                 {"broken", static_cast<qint64>(statistics.brokenConnections)},
                                 {"p50_ms", summary.p50Ms},
                                 {"p99_ms", summary.p99Ms},
                                 {"p999_ms", summary.p999Ms},
                                 {"coverage", summary.coverage},
                                 {"least_coverage", statistics.minimumCoverage},
                                 {"sub_requests", static_cast<qint64>(statistics.subRequests)},
                                 {"extra_sub_requests", static_cast<qint64>(statistics.extraSubRequests)},
                                 {"extra_load", summary.extraLoad},
                                 {"reasons", reasons}});
    }
    return QJsonDocument(array).toJson().toStdString();
}

} // namespace ragwort
