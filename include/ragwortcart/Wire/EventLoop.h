/// \file
/// An event loop of one thread for sockets and timers; Boost.Asio stays behind it.
#ifndef RAGWORTCART_WIRE_EVENTLOOP_H
#define RAGWORTCART_WIRE_EVENTLOOP_H

#include "ragwortcart/Support/Clock.h"

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

    /// Runs until `stop()`; one thread at a time.
    void run();
    /// May be called from any thread.
    void stop();
    /// Runs \p task on the loop's thread, after what was posted before. May be called from any thread.
    void post(std::function<void()> task);
    /// Runs \p task on the loop's thread after \p delay. May be called from the loop's thread only.
    void callAfter(Duration delay, std::function<void()> task);

    AsioLoop &implementation()
    {
        return *this->loop;
    }

private:
    std::unique_ptr<AsioLoop> loop;
};

/// One re-armable timer on a loop; used from the loop's thread only.
class LoopTimer
{
public:
    explicit LoopTimer(EventLoop &eventLoop);
    ~LoopTimer();
    LoopTimer(const LoopTimer &) = delete;
    LoopTimer &operator=(const LoopTimer &) = delete;

    /// Replaces what was armed before.
    void arm(Instant at, std::function<void()> task);
    void cancel();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace ragwort

#endif
