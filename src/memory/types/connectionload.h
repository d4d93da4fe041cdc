#pragma once

#include "common/types/instant.h"

#include <cstddef>
#include <cstdint>

namespace gooseberrywall {

/// What one connection holds in memory, and how fast its peer lets it go.
struct ConnectionLoad
{
    enum class Activity : std::uint8_t {
        /// A request of which only a part has arrived.
        Receiving,
        /// Answers that the peer hasn't taken yet.
        Sending,
        /// Requests that wait for their answers, further input behind them, and answers that are to
        /// be sent after others. The peer can't make progress.
        Waiting,
    };

    Activity activity = Activity::Receiving;
    std::size_t heldBytes = 0;
    /// Bytes of the open request that have arrived, or of the open answers that were taken.
    std::size_t movedBytes = 0;
    /// Since when `movedBytes` is counted.
    Instant startedAt{};
    /// When bytes last moved.
    Instant progressAt{};
    auto operator==(const ConnectionLoad &) const -> bool = default;
};

} // namespace gooseberrywall
