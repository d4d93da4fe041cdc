#pragma once

#include "common/types/instant.h"

#include <event2/event.h>
#include <functional>
#include <memory>
#include <optional>

namespace gooseberrywall {

/// @returns the process's monotonic clock (CLOCK_MONOTONIC)
[[nodiscard]] auto monotonicNow() -> Instant;

/// Calls back at a time that can be changed.
class ClockTimer
{
public:
    /// @param base runs the timer; must outlive it
    /// @param due called when the time has come
    ClockTimer(event_base *base, std::function<void()> due);

    /// @param moment when to call back, in the time of monotonicNow(); at the next turn of the
    /// event
    ///        loop if it has passed. Without a value the timer is cancelled.
    auto set(std::optional<Instant> moment) -> void;

private:
    struct EventDeleter
    {
        auto operator()(event *timer) const -> void { event_free(timer); }
    };

    std::function<void()> due;
    std::unique_ptr<event, EventDeleter> timer;
};

} // namespace gooseberrywall
