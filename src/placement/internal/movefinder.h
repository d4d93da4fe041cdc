#pragma once

#include "placement/internal/servicelayout.h"

#include <optional>

namespace gooseberrywall {

/// A move inside a ServiceLayout, by places.
struct LayoutMove
{
    std::size_t shard = 0;
    std::size_t to = 0;
};

/// Finds the move that helps an overloaded upstream most. Shards with hot keys move only where
/// moving their neighbours does not help.
/// @param ratio upstreams above this multiple of the mean pressure count as overloaded
/// @param leastGain least reduction of the higher pressure of the two, as a share of the mean
/// @returns nothing where no upstream is overloaded, or no move helps
[[nodiscard]] auto findBalancingMove(const ServiceLayout &layout, double ratio, double minGain)
    -> std::optional<LayoutMove>;

/// @returns whether an upstream is above this multiple of the mean pressure beyond doubt, and a
///          move off it would help
[[nodiscard]] auto isBalancingNeeded(const ServiceLayout &layout, double ratio, double minGain)
    -> bool;

/// Finds the next shard for an upstream that is to be filled up to the mean.
/// @returns nothing where it has enough, or nobody can spare a shard
[[nodiscard]] auto findFillingMove(const ServiceLayout &layout, std::size_t newUpstream)
    -> std::optional<LayoutMove>;

} // namespace gooseberrywall
