/// \file
/// The event loop on Boost.Asio.
#include "ragwortcart/Wire/EventLoop.h"

#include "AsioLoop.h"

#include <boost/asio/post.hpp>

namespace ragwort {

EventLoop::EventLoop() : loop(std::make_unique<AsioLoop>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    this->loop->context.run();
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

struct LoopTimer::State
{
    explicit State(boost::asio::io_context &context) : timer(context)
    {
    }

    boost::asio::steady_timer timer;
    /// Tells a wait that completed just before it was replaced from the current one.
    std::uint64_t generation = 0;
};

LoopTimer::LoopTimer(EventLoop &eventLoop) : state(std::make_shared<State>(eventLoop.implementation().context))
{
}

LoopTimer::~LoopTimer()
{
    this->cancel();
}

void LoopTimer::arm(Instant at, std::function<void()> task)
{
    const std::uint64_t generation = ++this->state->generation;
    this->state->timer.expires_at(at);
    this->state->timer.async_wait([keep = this->state, generation, task = std::move(task)](const boost::system::error_code &error) {
        if (!error && keep->generation == generation) {
            task();
        }
    });
}

void LoopTimer::cancel()
{
    ++this->state->generation;
    this->state->timer.cancel();
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
    const auto number = boost::asio::ip::make_address(host, error);
    const int port = std::atoi(address.c_str() + colon + 1);
    if (error || port < 0 || port > 65535) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(number, static_cast<std::uint16_t>(port));
}

} // namespace ragwort
