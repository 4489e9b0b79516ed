/// \file
/// Implements one emulated backend server.
#include "ragwortcart/Emulator/FakeBackend.h"
#include "ragwortcart/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace ragwort {

/// Queued requests per slot above which the server sheds load.
static constexpr int QUEUED_REQUESTS_PER_SLOT = 12;
static constexpr int RESPONSES_UNTIL_WARM = 24;
/// Factor on the service time of a cold server.
static constexpr double COLD_SLOW_FACTOR = 4.0;
static constexpr double STRAGGLER_FACTOR = 10.0;
/// Standard deviation of the logarithm of the service time.
static constexpr double SERVICE_TIME_LOG_DEVIATION = 0.25;
static constexpr Duration CRASH_DOWN_TIME = std::chrono::seconds(2);
/// Executing a request whose text contains this word crashes the server.
static constexpr std::string_view CRASH_TRIGGER = "crash-me";

std::uint64_t countDocuments(const KeyRange &range, std::uint64_t documents)
{
    const std::uint64_t spacing = KEY_SPACE_END / documents;
    const auto before = [spacing, documents](DocumentKey key) { return std::min((key + spacing - 1) / spacing, documents); };
    return range.empty() ? 0 : before(range.end) - before(range.begin);
}

FakeServer::FakeServer(EventLoop &eventLoop, const PlannedServer &plannedServer, const PlannedGroup &plannedGroup, std::uint64_t seed)
    : planned(plannedServer), loop(eventLoop), group(plannedGroup), random(seed), incarnation(stableHash(plannedServer.id, seed) >> 16U)
{
}

FakeServer::~FakeServer() = default;

std::unique_ptr<HttpServer> FakeServer::makeServer()
{
    const HttpServer::Options options{.address = this->planned.address,
                                      .maximumConnections = static_cast<std::size_t>(this->group.connections),
                                      .maximumConnectionsPerAddress = static_cast<std::size_t>(this->group.connections)};
    return std::make_unique<HttpServer>(
        this->loop, options, [this](const HttpRequest &request, std::shared_ptr<HttpExchange> exchange) { this->handle(request, std::move(exchange)); });
}

Result<std::uint16_t> FakeServer::start()
{
    this->server = this->makeServer();
    this->faults.silentConnections = 0;
    this->down = false;
    return this->server->listen();
}

void FakeServer::stop()
{
    this->down = true;
    this->queue.clear();
    if (this->server) {
        const HttpServerCounts ended = this->server->counts();
        this->counts.refusedConnections += ended.refusedConnections;
        this->counts.peakConnections = std::max(this->counts.peakConnections, ended.peakConnections);
        this->server.reset();
    }
}

void FakeServer::crash(Duration downTime)
{
    if (this->down) {
        return;
    }
    ++this->counts.crashes;
    this->down = true;
    // Destroys the HTTP server from the event loop because callers on the stack still use it.
    this->loop.post([this, downTime] {
        this->stop();
        this->loop.callAfter(downTime, [this] {
            ++this->incarnation;
            this->running = 0;
            this->resetToCold(true);
            this->start();
        });
    });
}

void FakeServer::resetToCold(bool announced)
{
    this->coldResponsesLeft = RESPONSES_UNTIL_WARM;
    if (!announced) {
        this->faults.misreportsStatus = true;
    }
}

void FakeServer::setSnapshots(std::vector<ServerSnapshot> held)
{
    this->snapshots = std::move(held);
}

ServerReport FakeServer::report() const
{
    const int load = this->running + static_cast<int>(this->queue.size());
    return {.incarnation = this->incarnation,
            .cold = this->coldResponsesLeft > 0 && !this->faults.misreportsStatus,
            .draining = this->faults.draining,
            .load = this->faults.misreportsStatus ? 0 : load};
}

ServerStatus FakeServer::status() const
{
    return {.serverId = this->planned.id, .report = this->report(), .snapshots = this->snapshots};
}

BackendCounts FakeServer::currentCounts() const
{
    BackendCounts now = this->counts;
    if (this->server) {
        const HttpServerCounts current = this->server->counts();
        now.refusedConnections += current.refusedConnections;
        now.peakConnections = std::max(now.peakConnections, current.peakConnections);
    }
    return now;
}

std::uint64_t FakeServer::acceptedConnections() const
{
    return this->server ? this->server->counts().connections : 0;
}

void FakeServer::refuse(const std::shared_ptr<HttpExchange> &exchange, SubFailure failure)
{
    const int status = failure == SubFailure::snapshotGone ? 410 : 503;
    exchange->respond({.status = status, .headers = {}, .body = encodeBackendRefusal({.failure = failure, .report = this->report()})});
}

void FakeServer::handle(const HttpRequest &request, std::shared_ptr<HttpExchange> exchange)
{
    if (this->down || this->faults.frozen || request.connection <= this->faults.silentConnections) {
        // The callback keeps the exchange alive without a response until the caller times out and disconnects.
        exchange->onCallerDisconnect([exchange] {});
        return;
    }
    if (request.target == "/v1/status") {
        exchange->respond({.status = 200, .headers = {}, .body = encodeServerStatus(this->status())});
        return;
    }
    const Result<BackendRequest> decoded = decodeBackendRequest(request.body, request.peer);
    if (request.method != "POST" || request.target != "/v1/search" || !decoded) {
        exchange->respond({.status = 400, .headers = {}, .body = "{}"});
        return;
    }
    ++this->counts.received;
    if (this->faults.closeAfterRead > 0) {
        --this->faults.closeAfterRead;
        exchange->drop();
        return;
    }
    if (this->faults.draining) {
        ++this->counts.receivedWhileDraining;
        this->refuse(exchange, SubFailure::draining);
        return;
    }
    auto job = std::make_shared<Job>();
    job->request = *decoded;
    job->exchange = std::move(exchange);
    job->deadline = steadyNow() + decoded->timeLeft;
    job->exchange->onCallerDisconnect([this, job] {
        job->cancelled = true;
        ++this->counts.cancelled;
        std::erase(this->queue, job);
    });
    if (request.numberOnConnection == 1 && this->group.connectTime > Duration::zero()) {
        // Adds the cost of a new connection to its first request.
        this->loop.callAfter(this->group.connectTime, [this, job] { this->accept(job); });
        return;
    }
    this->accept(job);
}

void FakeServer::accept(const JobPointer &job)
{
    if (job->cancelled || this->down) {
        return;
    }
    const bool full = static_cast<int>(this->queue.size()) >= this->group.slots * QUEUED_REQUESTS_PER_SLOT;
    if (full || this->faults.shedAll) {
        ++this->counts.shed;
        this->refuse(job->exchange, SubFailure::shed);
        return;
    }
    this->queue.push_back(job);
    if (this->coldResponsesLeft > 0) {
        const int present = this->running + static_cast<int>(this->queue.size());
        this->counts.peakRequestsWhileCold = std::max(this->counts.peakRequestsWhileCold, present);
    }
    this->startNext();
}

Duration FakeServer::serviceTime()
{
    std::normal_distribution<double> spread(0.0, SERVICE_TIME_LOG_DEVIATION);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    double factor = std::exp(spread(this->random)) * this->faults.slowFactor;
    if (uniform(this->random) < this->faults.stragglerShare) {
        factor *= STRAGGLER_FACTOR;
    }
    if (this->coldResponsesLeft > 0) {
        factor *= COLD_SLOW_FACTOR;
    }
    return Duration(static_cast<std::int64_t>(static_cast<double>(this->group.serviceTime.count()) * factor));
}

void FakeServer::startNext()
{
    while (this->running < this->group.slots && !this->queue.empty()) {
        const JobPointer job = this->queue.front();
        this->queue.pop_front();
        if (job->cancelled) {
            continue;
        }
        if (job->deadline <= steadyNow()) {
            ++this->counts.shed;
            this->refuse(job->exchange, SubFailure::shed);
            continue;
        }
        this->run(job);
    }
}

void FakeServer::run(const JobPointer &job)
{
    if (job->request.text.find(CRASH_TRIGGER) != std::string::npos) {
        this->crash(CRASH_DOWN_TIME);
        return;
    }
    ++this->running;
    ++this->counts.executed;
    if (!job->request.actionKey.empty()) {
        ++this->actionRuns[job->request.actionKey];
    }
    this->loop.callAfter(this->serviceTime(), [this, job, startIncarnation = this->incarnation] {
        if (startIncarnation != this->incarnation || this->down) {
            return;
        }
        --this->running;
        this->finish(job);
        this->startNext();
    });
}

const ServerSnapshot *FakeServer::findSnapshot(const BackendRequest &request) const
{
    const auto found = std::find_if(this->snapshots.begin(), this->snapshots.end(), [&request](const ServerSnapshot &held) {
        return held.id == request.snapshot && held.range.overlaps(request.range);
    });
    return found == this->snapshots.end() ? nullptr : &*found;
}

SubAnswer FakeServer::search(const BackendRequest &request, const ServerSnapshot &held) const
{
    SubAnswer answer{.snapshot = held.id,
                     .range = {.begin = std::max(request.range.begin, held.range.begin), .end = std::min(request.range.end, held.range.end)},
                     .documents = 0,
                     .totalDocuments = held.totalDocuments,
                     .results = {},
                     .report = this->report()};
    answer.documents = countDocuments(answer.range, held.totalDocuments);
    const std::uint64_t spacing = KEY_SPACE_END / held.totalDocuments;
    const std::uint64_t first = (answer.range.begin + spacing - 1) / spacing;
    const std::uint64_t seed = stableHash(request.text, held.id);
    // The scores depend only on the key, the text and the snapshot, so that all servers of a shard give equal answers.
    for (std::uint64_t index = first; index < first + answer.documents; ++index) {
        const DocumentKey key = index * spacing;
        const std::uint64_t draw = (key / spacing + 1) * 0x9E3779B97F4A7C15ULL ^ seed;
        answer.results.push_back({.key = key, .score = static_cast<std::int64_t>((draw * 0xD6E8FEB86659FD93ULL) >> 44U), .text = {}});
    }
    const auto limit = std::min(answer.results.size(), static_cast<std::size_t>(std::max(request.limit, 0)));
    std::partial_sort(answer.results.begin(), answer.results.begin() + static_cast<std::ptrdiff_t>(limit), answer.results.end());
    answer.results.resize(limit);
    for (Document &document : answer.results) {
        document.text = "document " + std::to_string(document.key / spacing);
    }
    return answer;
}

void FakeServer::finish(const JobPointer &job)
{
    if (this->coldResponsesLeft > 0 && --this->coldResponsesLeft == 0) {
        this->faults.misreportsStatus = false;
    }
    if (job->cancelled) {
        return;
    }
    SubAnswer answer;
    if (!job->request.actionKey.empty()) {
        answer.snapshot = job->request.snapshot;
        answer.report = this->report();
        answer.results.push_back({.key = 0, .score = 0, .text = "done by " + this->planned.id});
    } else {
        const ServerSnapshot *held = this->findSnapshot(job->request);
        if (held == nullptr) {
            this->refuse(job->exchange, SubFailure::snapshotGone);
            return;
        }
        answer = this->search(job->request, *held);
    }
    const BackendReply reply{.query = job->request.query, .attempt = job->request.attempt, .answer = std::move(answer)};
    job->exchange->respond({.status = 200, .headers = {}, .body = encodeBackendReply(reply)});
}

} // namespace ragwort
