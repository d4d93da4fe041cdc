#pragma once

#include "ownership/internal/planningcontext.h"
#include "placement/placementpolicy.h"

#include <set>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Pins hot keys to shards of their own and unpins them. A key changes its shard only while the
/// owner has released all shards concerned, each of which is transferred to the same owner; so no
/// requests of the key run under both shards. A change that isn't finished ends as such a transfer,
/// and the key stays in its shard.
class PinPlanner
{
public:
    /// Begins a change if one upstream owns all shards concerned and none is being transferred.
    /// @returns whether the change began
    auto begin(const PlannedPin &pin, CellRecord &record) -> bool;

    /// @returns whether a change that has begun includes the shard; then finishReleased() ends its
    ///          transfer
    [[nodiscard]] auto handlesTransferOf(const ShardId &shard) const -> bool;

    /// Finishes changes whose shards are all released, and drops those with a shard that isn't in
    /// transfer any more.
    auto finishReleased(const PlanningContext &context, CellRecord &record) -> void;

    /// Drops all changes that have begun.
    auto cancelAll() -> void;

private:
    struct Change
    {
        PlannedPin pin;
        ShardId range;
        /// The shard of the range; for unpinning, the pinned key's shard after it.
        std::vector<ShardId> shards;
    };

    static auto createPin(const Change &change, CellRecord &record) -> void;
    static auto removePin(const Change &change, CellRecord &record) -> void;

    std::vector<Change> changes;
};

} // namespace gooseberrywall
