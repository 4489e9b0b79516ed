/// \file
/// Admission control: limits the number of concurrent queries per backend group and orders the queries that wait.
///
/// All threads of the instance share the counters; each thread has its own queue.
#ifndef RAGWORTCART_KERNEL_ADMISSIONQUEUE_H
#define RAGWORTCART_KERNEL_ADMISSIONQUEUE_H

#include "ragwortcart/Model/Configuration.h"
#include "ragwortcart/Model/Query.h"
#include "ragwortcart/Support/Clock.h"

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace ragwort {

/// Counts the running queries of each backend group over all threads of the instance.
class AdmissionCounters
{
public:
    using CountPointer = std::shared_ptr<std::atomic<int>>;

    /// Returns the counter of a group. Callers keep the pointer, because the lookup takes a lock.
    CountPointer counterFor(const std::string &groupKey);

private:
    std::mutex mutex;
    std::map<std::string, CountPointer> counts;
};

/// Increments \p count if it is below \p limit; returns false otherwise.
bool tryAcquireAdmission(std::atomic<int> &count, int limit);

/// A query that waits for admission.
struct WaitingQuery
{
    QueryRequest request;
    std::string groupKey;
    Urgency urgency = Urgency::ordinary;
    /// Latest time at which starting the query is still useful; the deadline of the request if not set.
    std::optional<Instant> queueDeadline;

    Instant expiry() const
    {
        return this->queueDeadline.value_or(this->request.deadline);
    }
};

/// The waiting queries of one thread. Urgent queries precede ordinary ones, and ordinary ones precede batch queries.
/// Within a class, teams are served fairly; within a team, the order is FIFO. The queue is bounded in length, and in
/// waiting time by the queries' deadlines.
class AdmissionQueue
{
public:
    /// Appends a query. Returns false if the queue is full for its urgency: the lower the urgency, the lower the fill
    /// level of the whole queue from which queries are rejected.
    bool push(WaitingQuery waiting);

    /// Removes and returns the first query in service order that \p admits accepts, if there is one.
    std::optional<WaitingQuery> popAdmissible(const std::function<bool(const WaitingQuery &)> &admits);

    /// Removes and returns the queries whose expiry is at or before \p now.
    std::deque<WaitingQuery> popExpired(Instant now);

    /// Removes a query, for example after its caller has disconnected. Returns false if it is not in the queue.
    bool remove(QueryId query);

    /// Returns the number of waiting queries of the group \p groupKey whose urgency is \p urgency or higher.
    std::size_t sizeAhead(Urgency urgency, std::string_view groupKey) const;

    std::size_t size() const
    {
        return this->total;
    }

private:
    struct TeamQueue
    {
        std::deque<WaitingQuery> queries;
    };
    struct UrgencyClass
    {
        std::map<std::string, TeamQueue> teams;
        std::size_t size = 0;
    };

    std::optional<WaitingQuery> popFromClass(UrgencyClass &urgencyClass, const std::function<bool(const WaitingQuery &)> &admits);

    std::array<UrgencyClass, URGENCY_COUNT> classes;
    /// Number of queries served per team; the team with the lowest count is next. When an idle team becomes active, its
    /// count is raised to the lowest count of the waiting teams of the same class.
    std::map<std::string, std::uint64_t> served;
    /// Invariant: the sum of the sizes of all classes.
    std::size_t total = 0;
};

} // namespace ragwort

#endif
