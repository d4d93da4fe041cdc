#pragma once

#include "protocol/types/cellrecord.h"

#include <algorithm>

namespace gooseberrywall {

/// Distance between the fences of successive grants; leaves room for the fence of a revocation,
/// which is above the revoked grant's and below the next owner's.
inline constexpr std::uint32_t fenceStep = 2;

/// @returns the fence of the next grant of a shard, to an upstream with this term
/// @param fence the shard's present fence
[[nodiscard]] inline auto fenceAfter(Fence fence, Term term) -> Fence
{
    return {std::max(fence.term, static_cast<std::uint32_t>(term.value)),
            fence.sequence + fenceStep};
}

/// Allocates a term in the record.
/// @returns a term that was never used in the cell
inline auto allocateTerm(CellRecord &record) -> Term
{
    record.highestTerm = record.highestTerm.next();
    return record.highestTerm;
}

/// @returns whether the upstream may get shards: it is live, has answered and has a grantor
[[nodiscard]] inline auto acceptsShards(const UpstreamEntry &entry) -> bool
{
    return entry.state == UpstreamState::Live && entry.incarnation.value != 0
           && !entry.grantor.empty();
}

inline auto makeUnowned(ShardEntry &shard, Fence fence) -> void
{
    shard = {shard.id, ShardStage::Unowned, {}, fence, {}, {}};
}

inline auto makeOwned(ShardEntry &shard, const UpstreamId &owner, Fence fence) -> void
{
    shard = {shard.id, ShardStage::Owned, owner, fence, {}, {}};
}

inline auto beginTransfer(ShardEntry &shard, const UpstreamEntry &next) -> void
{
    shard.stage = ShardStage::Transferring;
    shard.next = next.id;
    shard.nextFence = fenceAfter(shard.fence, next.term);
}

} // namespace gooseberrywall
