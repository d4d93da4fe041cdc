#pragma once

#include "common/types/instant.h"

#include <cstddef>

namespace gooseberrywall {

/// Intervals and limits of the failure detector and the gossip of a cell's daemons.
struct MembershipSettings
{
    /// Heartbeats go out once a period.
    Duration period = std::chrono::milliseconds{250};
    /// Members that get a heartbeat in each period.
    std::size_t fanOut = 3;
    /// Members that are asked to probe a silent one.
    std::size_t relayCount = 3;
    /// Wait for a heartbeat's answer before relays are asked.
    Duration directTimeout = std::chrono::milliseconds{80};
    /// Wait for a relay's answer before the silent member is suspected.
    Duration indirectTimeout = std::chrono::milliseconds{170};
    /// Time that a suspected member has to refute before it is removed.
    Duration suspicionTimeout = std::chrono::milliseconds{500};
    /// The same for one that the platform's VM list doesn't have any more.
    Duration unlistedSuspicionTimeout = std::chrono::milliseconds{150};
    /// A longer gap between two calls is a stall of this process and is added to all timers.
    Duration stallThreshold = std::chrono::milliseconds{100};
    /// Claims in one message at most.
    std::size_t maxClaimsPerMessage = 8;
    /// Least time between two messages that repair a differing view.
    Duration repairInterval = std::chrono::milliseconds{50};
    /// How long a removed member is remembered.
    Duration removedRetention = std::chrono::minutes{10};

    auto operator==(const MembershipSettings &) const -> bool = default;
};

} // namespace gooseberrywall
