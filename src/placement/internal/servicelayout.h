#pragma once

#include "placement/internal/loadhistory.h"
#include "placement/placementpolicy.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace gooseberrywall {

/// A live upstream in a ServiceLayout.
struct LayoutUpstream
{
    UpstreamId id;
    /// Share of a warm upstream's load that it may be given.
    double capacity = 1.0;
    /// It may be given shards.
    bool isTarget = true;
    double load = 0.0;
    /// Variance of the load as it was measured.
    double variance = 0.0;
    int shardCount = 0;

    /// @returns the load in relation to what it may be given
    [[nodiscard]] auto relativeLoad() const -> double { return this->load / this->capacity; }
    /// @returns the least pressure that the measurements leave likely
    [[nodiscard]] auto relativeLoadLowerBound() const -> double
    {
        constexpr double deviations = 2.0;
        return (this->load - deviations * std::sqrt(std::max(0.0, this->variance)))
               / this->capacity;
    }
};

/// A shard in a ServiceLayout.
struct LayoutShard
{
    static constexpr std::size_t noHolder = static_cast<std::size_t>(-1);

    ShardId id;
    double load = 0.0;
    double variance = 0.0;
    /// Place of its upstream in ServiceLayout::upstreams, or homeless.
    std::size_t holder = noHolder;
    /// Needs a new owner now: it has none, or its owner is leaving.
    bool needsOwner = false;
    /// Owned, and free to move for balance.
    bool isMovable = false;
    /// A hot key makes up much of it.
    bool isHot = false;
    /// A transfer of it is under way.
    bool isMoving = false;
};

/// Who holds what of one service, with loads; moves change it as if they were done already.
class ServiceLayout
{
public:
    /// @param record shards that are being transferred count with their next owner
    ServiceLayout(const ServiceName &service, const CellRecord &record, const LoadHistory &history);

    /// Moves a shard in the layout.
    auto assign(std::size_t shard, std::size_t upstream) -> void;

    /// @returns the place of an upstream; nothing where it isn't live
    [[nodiscard]] auto indexOf(const UpstreamId &id) const -> std::optional<std::size_t>;
    /// @returns the place of a shard; nothing where the service hasn't got it
    [[nodiscard]] auto indexOf(const ShardId &id) const -> std::optional<std::size_t>;
    /// @returns the target with the least pressure after taking such a load; nothing where there is
    ///          no target
    [[nodiscard]] auto leastLoadedTarget(double load) const -> std::optional<std::size_t>;
    /// @returns places of the upstreams, the highest pressure first
    [[nodiscard]] auto byRelativeLoad() const -> std::vector<std::size_t>;
    /// @returns the load of all in relation to the capacity of all
    [[nodiscard]] auto meanRelativeLoad() const -> double;
    /// @returns shards for each upstream if they were evenly spread
    [[nodiscard]] auto meanShardCount() const -> double;
    [[nodiscard]] auto movesInProgress() const -> int;

    std::vector<LayoutUpstream> upstreams;
    std::vector<LayoutShard> shards;
};

} // namespace gooseberrywall
