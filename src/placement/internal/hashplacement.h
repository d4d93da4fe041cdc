#pragma once

#include "placement/placementpolicy.h"

#include <map>
#include <vector>

namespace gooseberrywall {

using UpstreamsOfService = std::map<ServiceName, std::vector<UpstreamId>>;

/// @returns whether an upstream may be given shards
[[nodiscard]] inline auto canReceiveShards(const UpstreamEntry &upstream) -> bool
{
    return upstream.state == UpstreamState::Live && upstream.incarnation.value != 0
           && !upstream.grantor.empty();
}

/// @returns the upstreams that may be given shards, by service, sorted by id
[[nodiscard]] inline auto liveUpstreams(const CellRecord &record) -> UpstreamsOfService
{
    UpstreamsOfService live;
    for (const auto &upstream : record.upstreams) {
        if (canReceiveShards(upstream)) {
            live[upstream.service].push_back(upstream.id);
        }
    }
    return live;
}

/// Plans to move each shard to the upstream that a stateless function chooses.
/// @param choose called with a shard id and the live upstreams of its service, sorted by id
template<typename Choose>
auto planByHash(const PlacementInput &input, Choose choose) -> PlacementPlan
{
    PlacementPlan plan;
    const auto live = liveUpstreams(input.record);
    for (const auto &shard : input.record.shards) {
        const auto upstreams = live.find(shard.id.service);
        if (upstreams == live.end() || shard.stage == ShardStage::Transferring) {
            continue;
        }
        const auto &wanted = choose(shard.id, upstreams->second);
        if (shard.stage == ShardStage::Unowned || shard.owner != wanted) {
            plan.moves.push_back({shard.id, wanted});
        }
    }
    return plan;
}

} // namespace gooseberrywall
