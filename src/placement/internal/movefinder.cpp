#include "placement/internal/movefinder.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

/// A new upstream counts as filled at this share of the mean relative load.
constexpr double filledShare = 0.95;

struct Candidate
{
    LayoutMove move;
    double gain = 0.0;
};

/// @param hotShards consider only shards with a hot key, or only those without
/// @returns the move with the highest gain from an upstream to the least loaded target
auto bestMove(const ServiceLayout &layout, std::size_t from, bool hotShards)
    -> std::optional<Candidate>
{
    const auto to = layout.leastLoadedTarget(0.0);
    if (!to || *to == from) {
        return std::nullopt;
    }
    const auto &source = layout.upstreams[from];
    const auto &target = layout.upstreams[*to];
    std::optional<Candidate> best;
    for (std::size_t index = 0; index < layout.shards.size(); ++index) {
        const auto &shard = layout.shards[index];
        if (shard.holder != from || !shard.isMovable || shard.isHot != hotShards) {
            continue;
        }
        const auto sourceAfter = (source.load - shard.load) / source.capacity;
        const auto targetAfter = (target.load + shard.load) / target.capacity;
        const auto gain = source.relativeLoad() - std::max(sourceAfter, targetAfter);
        if (!best || gain > best->gain) {
            best = Candidate{{index, *to}, gain};
        }
    }
    return best;
}

} // namespace

auto isBalancingNeeded(const ServiceLayout &layout, double ratio, double minGain) -> bool
{
    const auto mean = layout.meanRelativeLoad();
    for (std::size_t from = 0; from < layout.upstreams.size(); ++from) {
        if (layout.upstreams[from].relativeLoadLowerBound() <= ratio * mean) {
            continue;
        }
        for (const auto hotShards : {false, true}) {
            const auto best = bestMove(layout, from, hotShards);
            if (best && best->gain >= minGain * mean) {
                return true;
            }
        }
    }
    return false;
}

auto findBalancingMove(const ServiceLayout &layout, double ratio, double minGain)
    -> std::optional<LayoutMove>
{
    const auto mean = layout.meanRelativeLoad();
    for (const auto from : layout.byRelativeLoad()) {
        if (layout.upstreams[from].relativeLoad() <= ratio * mean) {
            return std::nullopt;
        }
        for (const auto hotShards : {false, true}) {
            const auto best = bestMove(layout, from, hotShards);
            if (best && best->gain >= minGain * mean) {
                return best->move;
            }
        }
    }
    return std::nullopt;
}

auto findFillingMove(const ServiceLayout &layout, std::size_t newUpstream)
    -> std::optional<LayoutMove>
{
    const auto mean = layout.meanRelativeLoad();
    const auto &target = layout.upstreams[newUpstream];
    const auto missingShards = layout.meanShardCount() - target.shardCount;
    if (missingShards < 1.0 || target.relativeLoad() >= filledShare * mean) {
        return std::nullopt;
    }
    // The reduced capacity of a cold upstream is ignored: shards of this size fill it once it is
    // warm.
    const auto wantedLoad = (mean - target.load) / missingShards;
    for (const auto from : layout.byRelativeLoad()) {
        if (from == newUpstream || layout.upstreams[from].relativeLoad() < mean) {
            continue;
        }
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < layout.shards.size(); ++index) {
            const auto &shard = layout.shards[index];
            if (shard.holder != from || !shard.isMovable || shard.isHot) {
                continue;
            }
            const auto isBetter = !best
                                  || std::abs(shard.load - wantedLoad)
                                         < std::abs(layout.shards[*best].load - wantedLoad);
            if (isBetter) {
                best = index;
            }
        }
        const auto fits =
            best && target.load + layout.shards[*best].load <= mean * target.capacity * 1.05;
        if (fits) {
            return LayoutMove{*best, newUpstream};
        }
    }
    return std::nullopt;
}

} // namespace gooseberrywall
