#pragma once

#include "common/types/instant.h"

namespace gooseberrywall {

/// Tells for how long bytes that the process reads now may have waited in its sockets, because the
/// process or its VM was suspended: it then wakes up later than its timer is due. A suspension that
/// ends before the timer is due isn't noticed. Does no I/O; the time is passed in.
class StallWatch
{
public:
    /// Takes in that the process has handled all events, and waits for further ones.
    /// @param due when its timer wakes it up at the latest
    auto onWait(Instant now, Instant due) -> void;
    /// @returns zero where the process has run without a pause
    [[nodiscard]] auto longestWait(Instant now) const -> Duration;

private:
    /// Timers that are later than this show a pause.
    static constexpr Duration pauseLimit = std::chrono::milliseconds{100};
    /// Bytes that arrived in a pause are read within this time after it.
    static constexpr Duration catchUpTime = std::chrono::milliseconds{250};

    [[nodiscard]] auto isLate(Instant now) const -> bool;

    Instant waitingSince{};
    Instant wakeUpDue = Instant::max();
    Instant pauseStart{};
    Instant pauseEnd{};
};

} // namespace gooseberrywall
