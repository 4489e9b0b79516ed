/// \file
/// Implements the event loop, its timer and the parsing of endpoints on Boost.Asio.
#include "ragwortcart/Wire/EventLoop.h"

#include "AsioLoop.h"
#include "ragwortcart/Support/Log.h"

#include <boost/asio/post.hpp>

namespace ragwort {

EventLoop::EventLoop() : loop(std::make_unique<AsioLoop>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    for (;;) {
        try {
            this->loop->context.run();
            return;
        } catch (const std::exception &error) {
            this->failedTaskCount.fetch_add(1, std::memory_order_relaxed);
            logEvent(LogLevel::error, "task-failed", {{.key = "step", .value = "event-loop"}, {.key = "error", .value = error.what()}});
        }
    }
}

void EventLoop::stop()
{
    this->loop->context.stop();
}

void EventLoop::post(std::function<void()> task)
{
    boost::asio::post(this->loop->context, std::move(task));
}

void EventLoop::callAfter(Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->loop->context, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &error) {
        if (!error) {
            task();
        }
    });
}

struct LoopTimer::State : std::enable_shared_from_this<LoopTimer::State>
{
    explicit State(boost::asio::io_context &context) : timer(context)
    {
    }

    void wait(Instant at)
    {
        this->waitingUntil = at;
        this->timer.expires_at(at);
        this->timer.async_wait([self = this->shared_from_this(), waitGeneration = ++this->generation](const boost::system::error_code &error) {
            if (!error && self->generation == waitGeneration) {
                self->onWaitExpired();
            }
        });
    }

    void onWaitExpired()
    {
        this->waitingUntil.reset();
        if (!this->due) {
            return;
        }
        if (*this->due > steadyNow()) {
            this->wait(*this->due);
            return;
        }
        this->due.reset();
        std::exchange(this->task, nullptr)();
    }

    boost::asio::steady_timer timer;
    std::function<void()> task;
    /// The time at which the task is due; empty if no task is pending.
    std::optional<Instant> due;
    /// Expiry of the pending wait. Invariant: not later than `due`. An earlier wait is kept, because restarting it costs a
    /// system call.
    std::optional<Instant> waitingUntil;
    /// Identifies the current wait, so that a wait that completed just before it was replaced is ignored.
    std::uint64_t generation = 0;
};

LoopTimer::LoopTimer(EventLoop &eventLoop) : state(std::make_shared<State>(eventLoop.implementation().context))
{
}

LoopTimer::~LoopTimer()
{
    this->cancel();
    ++this->state->generation;
    this->state->timer.cancel();
}

void LoopTimer::arm(Instant at, std::function<void()> task)
{
    this->state->task = std::move(task);
    this->state->due = at;
    if (!this->state->waitingUntil || *this->state->waitingUntil > at) {
        this->state->wait(at);
    }
}

void LoopTimer::cancel()
{
    this->state->due.reset();
    this->state->task = nullptr;
}

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto ipAddress = boost::asio::ip::make_address(host, error);
    const int port = std::atoi(address.c_str() + colon + 1);
    if (error || port < 0 || port > 65535) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ipAddress, static_cast<std::uint16_t>(port));
}

} // namespace ragwort
