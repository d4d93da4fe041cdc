#pragma once

#include <chrono>
#include <event2/event.h>
#include <functional>
#include <memory>

namespace gooseberrywall {

/// Event base for tests, which run it until a condition holds or a timeout ends.
class TestLoop
{
public:
    TestLoop()
        : eventBase(event_base_new(), &event_base_free)
    {
    }

    [[nodiscard]] auto base() const -> event_base * { return this->eventBase.get(); }

    /// @param condition checked after each round of events
    /// @param timeout how long to run at most
    /// @returns whether the condition held at the end
    auto runUntil(const std::function<bool()> &condition,
                  std::chrono::milliseconds timeout = std::chrono::seconds{10}) const -> bool
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        const timeval pollInterval{0, pollIntervalMicros};
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            event_base_loopexit(this->eventBase.get(), &pollInterval);
            event_base_loop(this->eventBase.get(), EVLOOP_ONCE);
        }
        return condition();
    }

    /// Processes events for the whole of this time.
    auto runFor(std::chrono::milliseconds time) const -> void
    {
        this->runUntil([] { return false; }, time);
    }

private:
    static constexpr int pollIntervalMicros = 2000;

    std::unique_ptr<event_base, decltype(&event_base_free)> eventBase;
};

} // namespace gooseberrywall
