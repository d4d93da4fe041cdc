#pragma once

#include "common/types/instant.h"

namespace gooseberrywall {

/// How many requests one upstream is given at once. Starts at the configured slots and one more, so
/// that no slot is idle while an answer and the next request travel; for a cold upstream at one,
/// and ramps up. Falls when the upstream sheds, fails or holds requests much longer than it works
/// on them, and rises as runs succeed. A level at which the upstream has shed is tried again only
/// after a time that doubles each time it sheds there.
class ConcurrencyLimit
{
public:
    /// @param slots the configured number of slots
    /// @param coldStart time over which a cold upstream is ramped up
    ConcurrencyLimit(int slots, Duration coldStart);

    auto configure(int slots, Duration coldStart) -> void;

    /// The upstream is new or has restarted.
    auto onColdStart(Instant now) -> void;

    /// @param held time from send to answer
    /// @param worked service time that the upstream states
    auto onCompleted(Instant now, Duration responseTime, Duration serviceTime) -> void;

    /// The upstream refused a request because of its load.
    auto onShed(Instant now) -> void;

    /// No answer came.
    auto onFailure(Instant now) -> void;

    /// @returns how many requests may run now; zero while the upstream is left alone
    [[nodiscard]] auto allowed(Instant now) const -> int;

private:
    [[nodiscard]] auto maximalLevel() const -> int { return this->slots + 1; }
    [[nodiscard]] auto coldLimit(Instant now) const -> int;
    /// @returns false where the level was lowered just before
    auto lower(Instant now, int level) -> bool;
    auto raise(Instant now) -> void;

    int slots;
    Duration coldStart;
    int level;
    /// Runs that succeeded since the level changed.
    int successes = 0;
    Instant coldStartedAt{};
    bool isCold = false;
    Instant loweredAt{};
    Instant pausedUntil{};
    int failuresInARow = 0;
    /// The lowest level at which the upstream has shed; not tried again before shedUntil.
    int shedLevel = 0;
    Instant shedBackoffUntil{};
    Duration shedBackoff;
};

} // namespace gooseberrywall
