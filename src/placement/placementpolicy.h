#pragma once

#include "common/types/instant.h"
#include "protocol/types/cellrecord.h"
#include "protocol/types/peermessages.h"
#include "protocol/types/servicepolicy.h"

#include <concepts>
#include <vector>

namespace gooseberrywall {

/// Input of a placement decision. Loads are the grantors' own measurements.
struct PlacementInput
{
    CellRecord record;
    std::vector<ServicePolicy> policies;
    std::vector<UpstreamLoad> upstreamLoads;
    std::vector<ShardLoad> shardLoads;
};

/// Assigns a shard, owned or unowned, to an upstream.
struct PlannedMove
{
    ShardId shard;
    UpstreamId to;
    auto operator==(const PlannedMove &) const -> bool = default;
};

/// Makes a hot key a shard of its own or, if `pinned` is false, merges it back into its range.
struct PlannedPin
{
    ServiceName service;
    Key key;
    bool pinned = true;
    auto operator==(const PlannedPin &) const -> bool = default;
};

struct PlacementPlan
{
    std::vector<PlannedMove> moves;
    std::vector<PlannedPin> pins;
    auto operator==(const PlacementPlan &) const -> bool = default;
};

/// Decides which shards move to which upstreams. The active coordinator calls it at each planning
/// interval.
template<typename Policy>
concept PlacementPolicy = requires(Policy policy, Instant now, const PlacementInput &input)
{
    {
        policy.plan(now, input)
        } -> std::same_as<PlacementPlan>;
};

} // namespace gooseberrywall
