#pragma once

#include "placement/placementpolicy.h"

#include <map>
#include <memory>
#include <vector>

namespace gooseberrywall {

/// Placement that gives unowned shards, and shards of leaving upstreams, to the live upstream with
/// the fewest shards. Moves nothing else, except for what a test plans.
class FewestShards
{
public:
    /// @param extraPlan moves and pins that are part of each plan; may change at any time
    explicit FewestShards(std::shared_ptr<PlacementPlan> extraPlan)
        : extraPlan(std::move(extraPlan))
    {
    }

    auto plan(Instant, const PlacementInput &input) -> PlacementPlan
    {
        std::map<UpstreamId, int> counts;
        std::map<UpstreamId, const UpstreamEntry *> entries;
        for (const auto &entry : input.record.upstreams) {
            entries[entry.id] = &entry;
            if (entry.state == UpstreamState::Live && entry.incarnation.value != 0) {
                counts[entry.id] = 0;
            }
        }
        for (const auto &shard : input.record.shards) {
            const auto &holder = shard.stage == ShardStage::Transferring ? shard.next : shard.owner;
            if (counts.contains(holder)) {
                ++counts[holder];
            }
        }
        PlacementPlan plan = *this->extraPlan;
        for (const auto &shard : input.record.shards) {
            const auto owner = entries.find(shard.owner);
            const auto isLeaving = shard.stage == ShardStage::Owned && owner != entries.end()
                                   && owner->second->state == UpstreamState::Leaving;
            if (shard.stage != ShardStage::Unowned && !isLeaving) {
                continue;
            }
            const UpstreamId *best = nullptr;
            for (const auto &[id, count] : counts) {
                const auto isBetter = best == nullptr || count < counts[*best];
                if (entries[id]->service == shard.id.service && isBetter) {
                    best = &id;
                }
            }
            if (best != nullptr) {
                ++counts[*best];
                plan.moves.push_back({shard.id, *best});
            }
        }
        return plan;
    }

private:
    std::shared_ptr<PlacementPlan> extraPlan;
};

} // namespace gooseberrywall
