/// \file
/// Admission control: how many queries run at once, and in which order the others wait.
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

/// Running queries per backend group, counted over all threads of the instance.
class AdmissionGate
{
public:
    using Count = std::shared_ptr<std::atomic<int>>;

    /// The count of a group; keep it, as the lookup takes a lock.
    Count countOf(const std::string &groupKey);

private:
    std::mutex mutex;
    std::map<std::string, Count> counts;
};

/// Takes one of \p limit places; false when all are taken.
bool tryEnter(std::atomic<int> &count, int limit);

/// A query that waits for a place.
struct WaitingQuery
{
    QueryRequest request;
    std::string groupKey;
    Urgency urgency = Urgency::ordinary;
    /// When the wait has become senseless; the deadline if not set.
    std::optional<Instant> giveUpAt;

    Instant expiry() const
    {
        return this->giveUpAt.value_or(this->request.deadline);
    }
};

/// Waiting queries of one thread: urgent before ordinary before batch, within a class fair between teams, within a team
/// in order of arrival. Bounded in number, and in time by the queries' deadlines.
class AdmissionQueue
{
public:
    /// False when the queue is full for this urgency: the lower classes may fill only a part of it.
    bool push(WaitingQuery waiting);

    /// The next query whose group \p mayEnter admits, best first.
    std::optional<WaitingQuery> popAdmissible(const std::function<bool(const WaitingQuery &)> &mayEnter);

    /// Removes the queries whose expiry is at or before \p now.
    std::deque<WaitingQuery> popExpired(Instant now);

    bool remove(QueryId query);

    /// Queries that would be served before a new one of this urgency.
    std::size_t sizeAhead(Urgency urgency, std::string_view groupKey) const;

    std::size_t size() const
    {
        return this->total;
    }

private:
    struct TeamLine
    {
        std::deque<WaitingQuery> line;
    };
    struct UrgencyClass
    {
        std::map<std::string, TeamLine> teams;
        std::size_t size = 0;
    };

    std::optional<WaitingQuery> popFromClass(UrgencyClass &urgencyClass, const std::function<bool(const WaitingQuery &)> &mayEnter);

    std::array<UrgencyClass, URGENCY_COUNT> classes;
    /// Queries served per team so far; the team with the fewest goes first. Levelled when a team comes back from idleness.
    std::map<std::string, std::uint64_t> served;
    /// Invariant: the sum of the sizes of all classes.
    std::size_t total = 0;
};

} // namespace ragwort

#endif
