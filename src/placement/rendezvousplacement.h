#pragma once

#include "placement/placementpolicy.h"

namespace gooseberrywall {

/// Assigns each shard by rendezvous hashing: to the live upstream with the highest hash of shard
/// and upstream. It keeps no state and ignores load. Serves as a baseline for comparison.
class RendezvousPlacement
{
public:
    auto plan(Instant now, const PlacementInput &input) const -> PlacementPlan;
};

} // namespace gooseberrywall
