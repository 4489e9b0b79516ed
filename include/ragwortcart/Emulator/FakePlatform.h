/// \file
/// Emulates the platform as an HTTP server: key-value store, leases and instance list in the format of Consul's HTTP API. Requests
/// to the paths under `/fake/` inject faults at run time.
#ifndef RAGWORTCART_EMULATOR_FAKEPLATFORM_H
#define RAGWORTCART_EMULATOR_FAKEPLATFORM_H

#include "ragwortcart/Emulator/FakeStore.h"
#include "ragwortcart/Emulator/FleetPlan.h"
#include "ragwortcart/Wire/EventLoop.h"
#include "ragwortcart/Wire/HttpServer.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwort {

/// Faults injected into the emulated platform. All are off by default.
struct PlatformFaults
{
    /// The platform does not respond to any request except control requests.
    bool outage = false;
    /// Time that the platform waits before it serves a request.
    Duration delay{};
    /// For this number of writes, counted from the next one, the write takes effect but the connection closes without a response.
    int writeResponsesToLose = 0;
    /// Delay until a change is visible in the instance list.
    Duration listUpdateDelay{};
};

struct PlatformCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    /// Requests without a response because of an outage.
    std::uint64_t refusedByOutage = 0;
};

class FakePlatform
{
public:
    FakePlatform(EventLoop &loop, const std::string &address, const FleetPlan &plan);

    Result<std::uint16_t> listen();

private:
    struct ListedInstance
    {
        std::string service;
        std::string id;
        std::string address;
        /// One of "live", "leaving" and "gone".
        std::string state = "live";
        std::map<std::string, std::string> meta;
    };
    /// A read that is answered when the watched index exceeds `index`, or at the deadline.
    struct Watch
    {
        HttpRequest request;
        std::shared_ptr<HttpExchange> exchange;
        std::uint64_t index = 0;
        Instant deadline{};
    };
    /// A decoded request target.
    struct Target
    {
        std::string path;
        std::map<std::string, std::string> query;
    };

    static Target parseTarget(const std::string &target);
    void handle(HttpRequest request, const std::shared_ptr<HttpExchange> &exchange);
    void serve(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void serveRead(const HttpRequest &request, const Target &target, const std::shared_ptr<HttpExchange> &exchange);
    void serveWrite(const HttpRequest &request, const Target &target, const std::shared_ptr<HttpExchange> &exchange);
    void serveLease(const HttpRequest &request, const Target &target, const std::shared_ptr<HttpExchange> &exchange);
    void serveControlRequest(const HttpRequest &request, const Target &target, const std::shared_ptr<HttpExchange> &exchange);
    void respondToWrite(const std::shared_ptr<HttpExchange> &exchange, bool written);
    HttpResponse readKeys(const Target &target) const;
    HttpResponse readInstances(const std::string &service) const;
    std::uint64_t watchedIndex(const Target &target) const;
    /// Answers all watches that have a newer index or whose deadline has passed.
    void completeWatches();
    void pollWatches();
    void changeInstance(const std::string &id, const std::string &state);
    HttpResponse reportCounts() const;

    EventLoop &loop;
    HttpServer server;
    FakeStore store;
    std::vector<ListedInstance> instances;
    std::uint64_t listIndex = 1;
    PlatformFaults faults;
    PlatformCounts counts;
    std::list<Watch> watches;
    LoopTimer watchTimer;
};

} // namespace ragwort

#endif
