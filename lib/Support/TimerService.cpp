/// \file
/// Implementation of the timer service with an ordered map.
#include "ragwortcart/Support/TimerService.h"

namespace ragwort {

TimerId TimerService::subscribe(Instant at, Callback callback)
{
    const TimerId id = ++this->lastId;
    this->timers.emplace(TimerKey{at, id}, std::move(callback));
    this->deadlines.emplace(id, at);
    return id;
}

void TimerService::cancel(TimerId id)
{
    const auto found = this->deadlines.find(id);
    if (found == this->deadlines.end()) {
        return;
    }
    this->timers.erase(TimerKey{found->second, id});
    this->deadlines.erase(found);
}

void TimerService::advance(Instant now)
{
    while (!this->timers.empty() && this->timers.begin()->first.first <= now) {
        auto node = this->timers.extract(this->timers.begin());
        this->deadlines.erase(node.key().second);
        node.mapped()(now);
    }
}

std::optional<Instant> TimerService::nextDeadline() const
{
    if (this->timers.empty()) {
        return std::nullopt;
    }
    return this->timers.begin()->first.first;
}

} // namespace ragwort
