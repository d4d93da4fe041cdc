#pragma once

#include "ownership/internal/planningcontext.h"
#include "ownership/internal/upstreamplanner.h"

#include <map>
#include <utility>

namespace gooseberrywall {

/// Spreads the grantor roles of a cell evenly over its daemons, and moves them out of the failure
/// domains of their upstreams. Roles move to stand-bys only, as these have the outcome memory; an
/// unsuitable stand-by is replaced first.
class GrantorBalancer
{
public:
    /// Moves roles while the cell is calm: all daemons are alive and no earlier change of a grantor
    /// is under way.
    /// @param planner changes the record's grantors
    /// @param record the draft that `planner` works on
    auto run(const PlanningContext &context, UpstreamPlanner &planner, CellRecord &record) -> void;
    /// Forgets since when stand-bys have their role. Called when this daemon becomes coordinator.
    auto reset() -> void { this->standbySince.clear(); }

private:
    struct RoleCounts;
    using Standby = std::pair<DaemonId, Incarnation>;

    [[nodiscard]] static auto isCalm(const PlanningContext &context, const CellRecord &record)
        -> bool;
    auto updateStandbys(const PlanningContext &context, const CellRecord &record) -> void;
    /// @returns whether the role has to leave its daemon
    [[nodiscard]] static auto mustMove(const PlanningContext &context, const UpstreamEntry &entry,
                                       const RoleCounts &counts) -> bool;
    /// @returns the stand-by if it may become grantor; nullptr otherwise
    [[nodiscard]] auto readyStandby(const PlanningContext &context, const UpstreamEntry &entry,
                                    const RoleCounts &counts) const -> const MemberClaim *;
    /// Appoints a stand-by that may become grantor later.
    /// @returns whether the stand-by has changed
    [[nodiscard]] static auto prepareStandby(const PlanningContext &context, UpstreamEntry &entry,
                                             RoleCounts &counts) -> bool;

    /// The stand-by of each upstream, and since when it has been seen in this role.
    std::map<UpstreamId, std::pair<Standby, Instant>> standbySince;
};

} // namespace gooseberrywall
