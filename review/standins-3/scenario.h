#pragma once

#include "http/clocktimer.h"

#include <event2/event.h>
#include <functional>
#include <string>

namespace gooseberrywall::review {

/// How a scenario is run.
struct Options
{
    /// Path of the daemon's program.
    std::string program;
    /// Temporary folder for settings and logs.
    std::string folder;
    std::string recordFile;
    /// Whether the disruption takes place.
    bool isTroubled = true;
};

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// A request that crashes the servers that run it, and daemons that are restarted in turn.
[[nodiscard]] auto runPoison(const Options &options) -> int;
/// A change of the configuration, of which the store's answers to waiting watches are lost.
[[nodiscard]] auto runLostWatch(const Options &options) -> int;
/// Runs the event loop, with a call of `tick` every few milliseconds.
/// @returns whether `isDone` became true within the time
template<typename Tick, typename Condition>
auto runFor(event_base *base, Duration limit, Tick tick, Condition isDone) -> bool
{
    const auto end = monotonicNow() + limit;
    const timeval step{0, 3000};
    while (!isDone() && monotonicNow() < end) {
        event_base_loopexit(base, &step);
        event_base_loop(base, EVLOOP_ONCE);
        tick();
    }
    return isDone();
}

} // namespace gooseberrywall::review
