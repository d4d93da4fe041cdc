#pragma once

#include "common/types/instant.h"

#include <cstddef>

namespace gooseberrywall {

/// Intervals and limits of the failure detector and the gossip of a cell's daemons.
struct MembershipSettings
{
    /// Interval between two rounds of heartbeats.
    Duration period = std::chrono::milliseconds{250};
    /// Number of members that get a heartbeat in each period.
    std::size_t fanOut = 3;
    /// Number of members that are asked to probe an unresponsive one.
    std::size_t relayCount = 3;
    /// Wait for the answer to a heartbeat before relays are asked.
    Duration directTimeout = std::chrono::milliseconds{80};
    /// Wait for the answer of a relay before the unresponsive member is suspected.
    Duration indirectTimeout = std::chrono::milliseconds{170};
    /// Time for a suspected member to refute the suspicion before it is removed.
    Duration suspicionTimeout = std::chrono::milliseconds{500};
    /// The same for a member that the platform's VM list lacks.
    Duration unlistedSuspicionTimeout = std::chrono::milliseconds{150};
    /// A longer gap between two calls counts as a stall of this process and extends its timers.
    Duration stallThreshold = std::chrono::milliseconds{100};
    /// Maximum number of claims in a message.
    std::size_t maxClaimsPerMessage = 8;
    /// Minimum time between two messages that repair a differing view.
    Duration repairInterval = std::chrono::milliseconds{50};
    /// Time for which a removed member is remembered.
    Duration removedRetention = std::chrono::minutes{10};

    auto operator==(const MembershipSettings &) const -> bool = default;
};

} // namespace gooseberrywall
