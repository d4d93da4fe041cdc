#include "tasks/eventloop.h"

#include "tasks/wakeup.h"

#include <event2/event.h>

#include <stdexcept>
#include <utility>
#include <vector>

namespace gooseberrywall {

namespace {

struct Watch
{
    event *handle = nullptr;
    std::function<void()> callback;
};

auto runCallback(evutil_socket_t /*descriptor*/, short /*events*/, void *argument) -> void
{
    static_cast<Watch *>(argument)->callback();
}

} // namespace

struct EventLoop::State
{
    event_base *base = event_base_new();
    std::vector<std::unique_ptr<Watch>> watches;
    Wakeup stopWakeup;
};

EventLoop::EventLoop()
    : state(std::make_unique<State>())
{
    if (this->state->base == nullptr) {
        throw std::runtime_error("event_base_new failed; raise the limit of open files");
    }
    auto *base = this->state->base;
    this->onReadable(this->state->stopWakeup.descriptor(), [base] { event_base_loopbreak(base); });
}

EventLoop::~EventLoop()
{
    for (const auto &watch : this->state->watches) {
        event_free(watch->handle);
    }
    event_base_free(this->state->base);
}

auto EventLoop::onReadable(int descriptor, std::function<void()> callback) -> void
{
    auto watch = std::make_unique<Watch>();
    watch->callback = std::move(callback);
    watch->handle =
        event_new(this->state->base, descriptor, EV_READ | EV_PERSIST, runCallback, watch.get());
    event_add(watch->handle, nullptr);
    this->state->watches.push_back(std::move(watch));
}

auto EventLoop::every(int milliseconds, std::function<void()> callback) -> void
{
    constexpr int millisecondsPerSecond = 1000;
    auto watch = std::make_unique<Watch>();
    watch->callback = std::move(callback);
    watch->handle = event_new(this->state->base, -1, EV_PERSIST, runCallback, watch.get());
    const timeval interval{milliseconds / millisecondsPerSecond,
                           (milliseconds % millisecondsPerSecond) * millisecondsPerSecond};
    event_add(watch->handle, &interval);
    this->state->watches.push_back(std::move(watch));
}

auto EventLoop::run() -> void
{
    event_base_loop(this->state->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

auto EventLoop::stop() -> void
{
    this->state->stopWakeup.wake();
}

auto EventLoop::base() const -> event_base *
{
    return this->state->base;
}

} // namespace gooseberrywall
