#pragma once

#include "placement/internal/servicelayout.h"

#include <optional>

namespace gooseberrywall {

/// A move inside a ServiceLayout, by the indices of the shard and of the new upstream.
struct LayoutMove
{
    std::size_t shard = 0;
    std::size_t to = 0;
};

/// Finds the move with the highest gain off the most overloaded upstream that can be relieved.
/// Shards with hot keys are moved only if no other shard of that upstream gains enough.
/// @param ratio upstreams above this multiple of the mean relative load count as overloaded
/// @param minGain minimum reduction of the higher relative load of the two upstreams, as a share of
///        the mean
/// @returns nothing if no upstream is overloaded or no move gains enough
[[nodiscard]] auto findBalancingMove(const ServiceLayout &layout, double ratio, double minGain)
    -> std::optional<LayoutMove>;

/// @returns whether the lower bound of an upstream's relative load is above `ratio` times the mean
///          and a move off it gains at least `minGain`
[[nodiscard]] auto isBalancingNeeded(const ServiceLayout &layout, double ratio, double minGain)
    -> bool;

/// Finds the next shard for a new upstream that is filled up to the mean.
/// @returns nothing if the upstream has enough shards or load, or no other one can spare a shard
[[nodiscard]] auto findFillingMove(const ServiceLayout &layout, std::size_t newUpstream)
    -> std::optional<LayoutMove>;

} // namespace gooseberrywall
