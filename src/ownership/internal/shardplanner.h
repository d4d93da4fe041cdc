#pragma once

#include "ownership/internal/pinplanner.h"
#include "ownership/internal/planningcontext.h"
#include "placement/placementpolicy.h"

#include <functional>
#include <map>

namespace gooseberrywall {

/// Brings the record's shards up to date: creates those of new services, finishes transfers whose
/// old owner released the shard, and begins what the placement plans.
class ShardPlanner
{
public:
    using PlanFunction = std::function<PlacementPlan(Instant, const PlacementInput &)>;

    /// @param record changed in place by run(); its upstreams are up to date
    /// @param pins changes of pinned keys that wait for their shards' release
    ShardPlanner(const PlanningContext &context, CellRecord &record, PinPlanner &pinPlanner);

    /// @param balance moves between live upstreams may begin
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
