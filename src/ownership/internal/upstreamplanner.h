#pragma once

#include "ownership/internal/daemonchooser.h"
#include "ownership/internal/planningcontext.h"

#include <vector>

namespace gooseberrywall {

/// Updates the record's upstreams: adds and removes them, and sets their state, grantor,
/// stand-by and term. Also frees the shards of lost upstreams whose grants have certainly ended.
class UpstreamPlanner
{
public:
    /// @param record changed in place by run()
    UpstreamPlanner(const PlanningContext &context, CellRecord &record);

    auto run() -> void;
    /// Makes the upstream's stand-by its grantor, and the grantor its stand-by, so that the outcome
    /// memory stays on both daemons.
    auto swapRoles(UpstreamEntry &entry) -> void;

private:
    auto addListedUpstreams() -> void;
    auto removeGoneUpstreams() -> void;
    auto applyVmState(UpstreamEntry &entry) -> void;
    auto applyHealth(UpstreamEntry &entry) -> void;
    auto restart(UpstreamEntry &entry, Incarnation incarnation) -> void;
    auto reinstate(UpstreamEntry &entry) -> void;
    auto replaceGrantor(UpstreamEntry &entry) -> void;
    auto appointGrantor(UpstreamEntry &entry, const DaemonId &id, Incarnation incarnation) -> void;
    auto replaceStandby(UpstreamEntry &entry) -> void;
    auto clearFormerGrantors(UpstreamEntry &entry) -> void;
    auto freeShards(const UpstreamEntry &entry) -> void;
    auto freeShard(ShardEntry &shard) -> void;
    auto beginTerm(UpstreamEntry &entry) -> void;
    auto shardsOf(const UpstreamId &id) -> std::vector<ShardEntry *>;
    [[nodiscard]] auto policyOf(const UpstreamEntry &entry) const -> const ServicePolicy &;
    [[nodiscard]] auto mustLeave(const UpstreamEntry &entry) const -> bool;
    [[nodiscard]] auto hasFormerGrantorEnded(const UpstreamEntry &entry,
                                             const FormerGrantor &former) const -> bool;
    [[nodiscard]] auto grantsEnded(const UpstreamEntry &entry) const -> bool;
    auto find(const UpstreamId &id) -> UpstreamEntry *;

    const PlanningContext &context;
    CellRecord &record;
    DaemonChooser chooser;
};

} // namespace gooseberrywall
