#pragma once

#include "common/types/instant.h"

namespace gooseberrywall {

/// Limits how many requests run on one upstream at once. The limit starts at the configured slots
/// plus one, so that no slot is idle while an answer and the next request are in transit; for a
/// cold upstream it ramps up from one. It falls when the upstream sheds load, fails, or takes much
/// longer to answer than it states as service time, and rises as runs succeed. A level at which the
/// upstream has shed load is tried again only after a backoff that doubles with each repetition.
class ConcurrencyLimit
{
public:
    /// @param slots the configured number of slots; at least one is used
    /// @param coldStart time over which a cold upstream is ramped up
    ConcurrencyLimit(int slots, Duration coldStart);

    auto configure(int slots, Duration coldStart) -> void;

    /// To be called when the upstream is new or has restarted; restarts the ramp-up.
    auto onColdStart(Instant now) -> void;

    /// To be called when a run succeeded.
    /// @param responseTime time from sending the request to its answer
    /// @param serviceTime as stated by the upstream; zero: not stated
    auto onCompleted(Instant now, Duration responseTime, Duration serviceTime) -> void;

    /// To be called when the upstream refused a request because of its load.
    auto onShed(Instant now) -> void;

    /// To be called when a request got no valid answer.
    auto onFailure(Instant now) -> void;

    /// @returns how many requests may run at once now; zero during a pause after shed load or
    ///          failures
    [[nodiscard]] auto allowed(Instant now) const -> int;

private:
    [[nodiscard]] auto maximalLevel() const -> int { return this->slots + 1; }
    [[nodiscard]] auto coldLimit(Instant now) const -> int;
    /// @returns false where the level was lowered too recently to lower it again
    auto lower(Instant now, int level) -> bool;
    auto raise(Instant now) -> void;

    int slots;
    Duration coldStart;
    int level;
    /// Successful runs since the level last changed.
    int successes = 0;
    Instant coldStartedAt{};
    bool isCold = false;
    Instant loweredAt{};
    Instant pausedUntil{};
    int consecutiveFailures = 0;
    /// The level at which the upstream last shed load; not tried again before shedBackoffUntil.
    int shedLevel = 0;
    Instant shedBackoffUntil{};
    Duration shedBackoff;
};

} // namespace gooseberrywall
