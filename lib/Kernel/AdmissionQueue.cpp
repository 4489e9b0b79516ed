/// \file
/// Implements the admission counters of the backend groups and the admission queue of one thread.
#include "ragwortcart/Kernel/AdmissionQueue.h"

#include <algorithm>
#include <vector>

namespace ragwort {

static constexpr std::size_t QUEUE_CAPACITY = 1024;
/// Fill level of the whole queue, in percent, from which queries of each urgency class are rejected.
static constexpr std::array<std::size_t, URGENCY_COUNT> FILL_LIMIT_PERCENT_BY_URGENCY{100, 70, 40};

AdmissionCounters::CountPointer AdmissionCounters::counterFor(const std::string &groupKey)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    CountPointer &count = this->counts[groupKey];
    if (!count) {
        count = std::make_shared<std::atomic<int>>(0);
    }
    return count;
}

bool tryAcquireAdmission(std::atomic<int> &count, int limit)
{
    int current = count.load(std::memory_order_relaxed);
    while (current < limit) {
        if (count.compare_exchange_weak(current, current + 1, std::memory_order_acq_rel)) {
            return true;
        }
    }
    return false;
}

bool AdmissionQueue::push(WaitingQuery waiting)
{
    const auto index = static_cast<std::size_t>(waiting.urgency);
    if (this->total * 100 >= QUEUE_CAPACITY * FILL_LIMIT_PERCENT_BY_URGENCY.at(index)) {
        return false;
    }
    UrgencyClass &urgencyClass = this->classes.at(index);
    const std::string team = waiting.request.team;
    TeamQueue &teamQueue = urgencyClass.teams[team];
    if (teamQueue.queries.empty()) {
        // Without this, a team that was idle would be served ahead of all others until its count has caught up.
        std::optional<std::uint64_t> least;
        for (const auto &[name, other] : urgencyClass.teams) {
            if (!other.queries.empty()) {
                least = std::min(least.value_or(this->served[name]), this->served[name]);
            }
        }
        this->served[team] = std::max(this->served[team], least.value_or(0));
    }
    teamQueue.queries.push_back(std::move(waiting));
    ++urgencyClass.size;
    ++this->total;
    return true;
}

std::optional<WaitingQuery> AdmissionQueue::popFromClass(UrgencyClass &urgencyClass, const std::function<bool(const WaitingQuery &)> &admits)
{
    std::vector<std::string> order;
    for (const auto &[team, teamQueue] : urgencyClass.teams) {
        if (!teamQueue.queries.empty()) {
            order.push_back(team);
        }
    }
    std::stable_sort(
        order.begin(), order.end(), [this](const std::string &left, const std::string &right) { return this->served[left] < this->served[right]; });
    for (const std::string &team : order) {
        std::deque<WaitingQuery> &queries = urgencyClass.teams[team].queries;
        const auto found = std::find_if(queries.begin(), queries.end(), admits);
        if (found == queries.end()) {
            continue;
        }
        WaitingQuery chosen = std::move(*found);
        queries.erase(found);
        --urgencyClass.size;
        --this->total;
        ++this->served[team];
        return chosen;
    }
    return std::nullopt;
}

std::optional<WaitingQuery> AdmissionQueue::popAdmissible(const std::function<bool(const WaitingQuery &)> &admits)
{
    for (UrgencyClass &urgencyClass : this->classes) {
        if (std::optional<WaitingQuery> chosen = this->popFromClass(urgencyClass, admits)) {
            return chosen;
        }
    }
    return std::nullopt;
}

std::deque<WaitingQuery> AdmissionQueue::popExpired(Instant now)
{
    std::deque<WaitingQuery> expired;
    for (UrgencyClass &urgencyClass : this->classes) {
        for (auto &[team, teamQueue] : urgencyClass.teams) {
            const auto firstExpired = std::stable_partition(
                teamQueue.queries.begin(), teamQueue.queries.end(), [now](const WaitingQuery &waiting) { return waiting.expiry() > now; });
            const auto count = static_cast<std::size_t>(std::distance(firstExpired, teamQueue.queries.end()));
            std::move(firstExpired, teamQueue.queries.end(), std::back_inserter(expired));
            teamQueue.queries.erase(firstExpired, teamQueue.queries.end());
            urgencyClass.size -= count;
            this->total -= count;
        }
    }
    return expired;
}

bool AdmissionQueue::remove(QueryId query)
{
    for (UrgencyClass &urgencyClass : this->classes) {
        for (auto &[team, teamQueue] : urgencyClass.teams) {
            const auto found = std::find_if(
                teamQueue.queries.begin(), teamQueue.queries.end(), [query](const WaitingQuery &waiting) { return waiting.request.id == query; });
            if (found != teamQueue.queries.end()) {
                teamQueue.queries.erase(found);
                --urgencyClass.size;
                --this->total;
                return true;
            }
        }
    }
    return false;
}

std::size_t AdmissionQueue::sizeAhead(Urgency urgency, std::string_view groupKey) const
{
    std::size_t ahead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(urgency); ++index) {
        for (const auto &[team, teamQueue] : this->classes.at(index).teams) {
            ahead += static_cast<std::size_t>(std::count_if(
                teamQueue.queries.begin(), teamQueue.queries.end(), [groupKey](const WaitingQuery &waiting) { return waiting.groupKey == groupKey; }));
        }
    }
    return ahead;
}

} // namespace ragwort
