#pragma once

#include <functional>
#include <memory>

struct event_base;

namespace gooseberrywall {

/// The libevent loop of one task, with callbacks for readable descriptors and for timers.
/// Used by one thread only, except for stop().
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    auto operator=(const EventLoop &) -> EventLoop & = delete;

    /// Calls `callback` whenever `descriptor` is readable.
    auto onReadable(int descriptor, std::function<void()> callback) -> void;
    /// Calls `callback` repeatedly, `milliseconds` apart.
    auto every(int milliseconds, std::function<void()> callback) -> void;
    /// Runs the loop until stop() is called.
    auto run() -> void;
    /// Callable from any thread.
    auto stop() -> void;
    [[nodiscard]] auto base() const -> event_base *;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace gooseberrywall
