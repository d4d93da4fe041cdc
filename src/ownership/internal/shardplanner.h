#pragma once

#include "ownership/internal/pinplanner.h"
#include "ownership/internal/planningcontext.h"
#include "placement/placementpolicy.h"

#include <functional>
#include <map>

namespace gooseberrywall {

/// Updates the record's shards: creates those of new services, finishes transfers whose old owner
/// has released the shard, and begins the moves and pins that the placement plans.
class ShardPlanner
{
public:
    using PlanFunction = std::function<PlacementPlan(Instant, const PlacementInput &)>;

    /// @param record changed in place by run(); UpstreamPlanner has updated its upstreams
    /// @param pinPlanner holds the changes of pinned keys that wait for the release of their shards
    ShardPlanner(const PlanningContext &context, CellRecord &record, PinPlanner &pinPlanner);

    /// @param mayBalance whether moves between live upstreams and changes of pinned keys may begin
    auto run(const PlanFunction &plan, bool mayBalance) -> void;

private:
    auto addServices() -> void;
    auto finishTransfers() -> void;
    auto place(const PlanFunction &plan, bool mayBalance) -> void;
    auto applyMove(const PlannedMove &move, int &budget) -> void;
    [[nodiscard]] auto needsPlacement() const -> bool;
    [[nodiscard]] auto upstream(const UpstreamId &id) const -> const UpstreamEntry *;
    [[nodiscard]] auto transfersUnderWay() const -> int;

    const PlanningContext &context;
    CellRecord &record;
    PinPlanner &pinPlanner;
    std::map<UpstreamId, const UpstreamEntry *> upstreams;
};

} // namespace gooseberrywall
