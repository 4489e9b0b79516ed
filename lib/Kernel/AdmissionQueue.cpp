/// \file
/// The waiting line in front of the backend groups.
#include "ragwortcart/Kernel/AdmissionQueue.h"

#include <algorithm>
#include <vector>

namespace ragwort {

static constexpr std::size_t QUEUE_CAPACITY = 1024;
/// Part of the queue, in percent, that each urgency class may fill.
static constexpr std::array<std::size_t, URGENCY_COUNT> QUEUE_PERCENT_BY_URGENCY{100, 70, 40};

AdmissionGate::Count AdmissionGate::countOf(const std::string &groupKey)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Count &count = this->counts[groupKey];
    if (!count) {
        count = std::make_shared<std::atomic<int>>(0);
    }
    return count;
}

bool tryEnter(std::atomic<int> &count, int limit)
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
    if (this->total * 100 >= QUEUE_CAPACITY * QUEUE_PERCENT_BY_URGENCY.at(index)) {
        return false;
    }
    UrgencyClass &urgencyClass = this->classes.at(index);
    const std::string team = waiting.request.team;
    TeamLine &line = urgencyClass.teams[team];
    if (line.line.empty()) {
        // A team that was idle may not use up the turns it did not take: it starts level with the least served one that waits.
        std::optional<std::uint64_t> least;
        for (const auto &[name, other] : urgencyClass.teams) {
            if (!other.line.empty()) {
                least = std::min(least.value_or(this->served[name]), this->served[name]);
            }
        }
        this->served[team] = std::max(this->served[team], least.value_or(0));
    }
    line.line.push_back(std::move(waiting));
    ++urgencyClass.size;
    ++this->total;
    return true;
}

std::optional<WaitingQuery> AdmissionQueue::popFromClass(UrgencyClass &urgencyClass, const std::function<bool(const WaitingQuery &)> &mayEnter)
{
    std::vector<std::string> order;
    for (const auto &[team, line] : urgencyClass.teams) {
        if (!line.line.empty()) {
            order.push_back(team);
        }
    }
    std::stable_sort(
        order.begin(), order.end(), [this](const std::string &left, const std::string &right) { return this->served[left] < this->served[right]; });
    for (const std::string &team : order) {
        std::deque<WaitingQuery> &line = urgencyClass.teams[team].line;
        const auto found = std::find_if(line.begin(), line.end(), mayEnter);
        if (found == line.end()) {
            continue;
        }
        WaitingQuery chosen = std::move(*found);
        line.erase(found);
        --urgencyClass.size;
        --this->total;
        ++this->served[team];
        return chosen;
    }
    return std::nullopt;
}

std::optional<WaitingQuery> AdmissionQueue::popAdmissible(const std::function<bool(const WaitingQuery &)> &mayEnter)
{
    for (UrgencyClass &urgencyClass : this->classes) {
        if (std::optional<WaitingQuery> chosen = this->popFromClass(urgencyClass, mayEnter)) {
            return chosen;
        }
    }
    return std::nullopt;
}

std::deque<WaitingQuery> AdmissionQueue::popExpired(Instant now)
{
    std::deque<WaitingQuery> expired;
    for (UrgencyClass &urgencyClass : this->classes) {
        for (auto &[team, line] : urgencyClass.teams) {
            const auto firstExpired
                = std::stable_partition(line.line.begin(), line.line.end(), [now](const WaitingQuery &waiting) { return waiting.expiry() > now; });
            const auto count = static_cast<std::size_t>(std::distance(firstExpired, line.line.end()));
            std::move(firstExpired, line.line.end(), std::back_inserter(expired));
            line.line.erase(firstExpired, line.line.end());
            urgencyClass.size -= count;
            this->total -= count;
        }
    }
    return expired;
}

bool AdmissionQueue::remove(QueryId query)
{
    for (UrgencyClass &urgencyClass : this->classes) {
        for (auto &[team, line] : urgencyClass.teams) {
            const auto found = std::find_if(line.line.begin(), line.line.end(), [query](const WaitingQuery &waiting) { return waiting.request.id == query; });
            if (found != line.line.end()) {
                line.line.erase(found);
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
        for (const auto &[team, line] : this->classes.at(index).teams) {
            ahead += static_cast<std::size_t>(
                std::count_if(line.line.begin(), line.line.end(), [groupKey](const WaitingQuery &waiting) { return waiting.groupKey == groupKey; }));
        }
    }
    return ahead;
}

} // namespace ragwort
