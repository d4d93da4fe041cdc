#pragma once

#include "ownership/internal/planningcontext.h"
#include "placement/placementpolicy.h"

#include <set>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Pins hot keys and unpins them. A key changes its shard only while every shard concerned is
/// released by its owner, as in a transfer of the shard to the same owner; so no request of the key
/// runs under both. What is begun and not finished ends as such a transfer, without a pin.
class PinPlanner
{
public:
    /// Begins the change where the shards concerned are owned by one upstream and not moving.
    /// @returns whether it began
    auto begin(const PlannedPin &pin, CellRecord &record) -> bool;

    /// @returns whether the shard's transfer is finished by this class
    [[nodiscard]] auto handlesTransferOf(const ShardId &shard) const -> bool;

    /// Finishes the changes whose shards are all released.
    auto finishReleased(const PlanningContext &context, CellRecord &record) -> void;

    /// Forgets what was begun.
    auto cancelAll() -> void;

private:
    struct Change
    {
        PlannedPin pin;
        ShardId range;
        /// For unpinning: the pinned key's shard.
        std::vector<ShardId> shards;
    };

    static auto createPin(const Change &change, CellRecord &record) -> void;
    static auto removePin(const Change &change, CellRecord &record) -> void;

    std::vector<Change> changes;
};

} // namespace gooseberrywall
