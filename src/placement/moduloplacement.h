#pragma once

#include "placement/placementpolicy.h"

namespace gooseberrywall {

/// Assigns shard n to the live upstream with index n modulo the number of live upstreams. Serves as
/// a baseline for comparison.
class ModuloPlacement
{
public:
    auto plan(Instant now, const PlacementInput &input) const -> PlacementPlan;
};

} // namespace gooseberrywall
