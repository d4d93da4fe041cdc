#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "dispatch/types/leavehint.h"

#include <cstdint>
#include <optional>

namespace gooseberrywall {

/// What an upstream's answer states about taking requests.
struct UpstreamStatement
{
    UpstreamId upstream;
    /// Which of the successive processes with the upstream's id has stated it.
    Incarnation incarnation;
    /// The entry daemon that got the answer.
    Address entry;
    /// The caller's id of the answered request, for logs; empty where it isn't known.
    RequestId request;
    /// The upstream is about to stop.
    bool isLeaving = false;
    /// For this time the upstream wants no requests from the entry daemon.
    std::optional<Duration> pause = std::nullopt;
    LeaveHint leaveHint = LeaveHint::Unknown;
    /// When the answered request was permitted or sent, or later.
    Instant askedAt = {};
    auto operator==(const UpstreamStatement &) const -> bool = default;
};

/// A change in what an upstream states.
struct UpstreamChange
{
    enum class Kind : std::uint8_t {
        /// The upstream is about to stop.
        Leaving,
        /// The upstream wants no requests from an entry daemon, after a time without pauses.
        Paused,
        /// The last pause of the upstream has ended.
        Resumed,
        /// The upstream has answered, with or without a hint that it leaves.
        Answered,
    };

    Kind kind = Kind::Leaving;
    /// The statement that caused the change; the last one where a pause has ended.
    UpstreamStatement statement;
    auto operator==(const UpstreamChange &) const -> bool = default;
};

} // namespace gooseberrywall
