#pragma once

#include "common/types/instant.h"

namespace gooseberrywall {

/// Tells for how long bytes that the process reads now may have waited in its sockets, because the
/// process or its VM was suspended. Does no I/O; the time is passed in.
class StallWatch
{
public:
    /// How often onTick() is to be called.
    static constexpr Duration tickInterval = std::chrono::milliseconds{50};

    explicit StallWatch(Instant now)
        : tickedAt(now)
    {
    }

    auto onTick(Instant now) -> void;
    /// @returns zero where the process has run without a pause
    [[nodiscard]] auto longestWait(Instant now) const -> Duration;

private:
    /// Longer times between two ticks are a pause.
    static constexpr Duration pauseLimit = tickInterval * 3;
    /// Bytes that arrived in a pause are read within this time after it.
    static constexpr Duration catchUpTime = std::chrono::milliseconds{250};

    Instant tickedAt;
    Instant pauseStart{};
    Instant pauseEnd{};
};

} // namespace gooseberrywall
