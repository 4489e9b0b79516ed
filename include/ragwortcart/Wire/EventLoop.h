/// \file
/// Single-threaded event loop for sockets and timers. Hides Boost.Asio from its users.
#ifndef RAGWORTCART_WIRE_EVENTLOOP_H
#define RAGWORTCART_WIRE_EVENTLOOP_H

#include "ragwortcart/Support/Clock.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace ragwort {

struct AsioLoop;

class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs the loop on the calling thread until `stop()` is called. Must not be called from two threads at once. A task that ends with an
    /// exception is logged and counted, and the loop goes on: what the task belonged to ends by its own timeout.
    void run();
    /// Makes `run()` return after the current task. Remaining tasks are destroyed with the loop, without being run. Thread-safe.
    void stop();
    /// Queues \p task to run on the loop's thread in FIFO order. Thread-safe.
    void post(std::function<void()> task);
    /// Runs \p task after \p delay. Must be called on the loop's thread.
    void callAfter(Duration delay, std::function<void()> task);

    /// Returns the number of tasks that have ended with an exception. Thread-safe.
    std::uint64_t failedTasks() const
    {
        return this->failedTaskCount.load(std::memory_order_relaxed);
    }

    /// Returns the Boost.Asio state, for code that uses sockets directly.
    AsioLoop &implementation()
    {
        return *this->loop;
    }

private:
    std::unique_ptr<AsioLoop> loop;
    std::atomic<std::uint64_t> failedTaskCount{0};
};

/// A re-armable one-shot timer. Must be used on the loop's thread only.
class LoopTimer
{
public:
    explicit LoopTimer(EventLoop &eventLoop);
    ~LoopTimer();
    LoopTimer(const LoopTimer &) = delete;
    LoopTimer &operator=(const LoopTimer &) = delete;

    /// Schedules \p task to run at \p at, replacing any pending task.
    void arm(Instant at, std::function<void()> task);
    /// Drops the pending task, if there is one. Destroying the timer has the same effect.
    void cancel();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace ragwort

#endif
