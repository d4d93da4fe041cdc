#include "placement/internal/hashplacement.h"

#include "common/hash.h"
#include "placement/moduloplacement.h"
#include "placement/rendezvousplacement.h"

#include <algorithm>
#include <string>

namespace gooseberrywall {

auto ModuloPlacement::plan(Instant, const PlacementInput &input) const -> PlacementPlan
{
    return planByHash(
        input,
        [](const ShardId &shard, const std::vector<UpstreamId> &upstreams) -> const UpstreamId & {
            return upstreams[shard.number % upstreams.size()];
        });
}

auto RendezvousPlacement::plan(Instant, const PlacementInput &input) const -> PlacementPlan
{
    const auto score = [](const ShardId &shard, const UpstreamId &upstream) {
        return stableHash(upstream.value + "/" + std::to_string(shard.number));
    };
    return planByHash(input,
                      [&score](const ShardId &shard,
                               const std::vector<UpstreamId> &upstreams) -> const UpstreamId & {
                          return *std::max_element(
                              upstreams.begin(), upstreams.end(),
                              [&](const UpstreamId &left, const UpstreamId &right) {
                                  return score(shard, left) < score(shard, right);
                              });
                      });
}

static_assert(PlacementPolicy<ModuloPlacement>);
static_assert(PlacementPolicy<RendezvousPlacement>);

} // namespace gooseberrywall
