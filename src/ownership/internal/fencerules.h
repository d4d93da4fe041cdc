#pragma once

#include "protocol/types/cellrecord.h"

#include <algorithm>

namespace gooseberrywall {

/// Fences that a revocation of a shard may use lie below the next owner's.
inline constexpr std::uint32_t fenceStep = 2;

/// @returns the fence under which an upstream with this term takes a shard next
[[nodiscard]] inline auto fenceAfter(Fence fence, Term term) -> Fence
{
    return {std::max(fence.term, static_cast<std::uint32_t>(term.value)),
            fence.sequence + fenceStep};
}

/// @returns a term that was never used in the cell
inline auto allocateTerm(CellRecord &record) -> Term
{
    record.highestTerm = record.highestTerm.next();
    return record.highestTerm;
}

/// @returns whether shards may be given to the upstream
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
