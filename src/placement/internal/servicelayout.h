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
    /// Share of a warm upstream's load that this one may be given; 1 for a warm upstream.
    double capacity = 1.0;
    /// The upstream may be given shards.
    bool isTarget = true;
    double load = 0.0;
    /// Variance of the measured load.
    double variance = 0.0;
    int shardCount = 0;

    /// @returns the load divided by the capacity
    [[nodiscard]] auto relativeLoad() const -> double { return this->load / this->capacity; }
    /// @returns the relative load less two standard deviations of its measurement
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
    /// Index of the shard's upstream in ServiceLayout::upstreams, or noHolder.
    std::size_t holder = noHolder;
    /// The shard has no owner, or its owner is leaving.
    bool needsOwner = false;
    /// The shard is owned and may be moved for balance.
    bool isMovable = false;
    /// The shard contains a hot key or consists of a pinned one.
    bool isHot = false;
    /// A transfer of the shard is in progress.
    bool isMoving = false;
};

/// The upstreams and shards of one service with their loads. Planned moves take effect in the
/// layout at once.
class ServiceLayout
{
public:
    /// @param record shards that are being transferred are assigned to their next owner
    ServiceLayout(const ServiceName &service, const CellRecord &record, const LoadHistory &history);

    /// Moves a shard to an upstream in the layout; both are indices.
    auto assign(std::size_t shard, std::size_t upstream) -> void;

    /// @returns the index of an upstream; nothing if it isn't live
    [[nodiscard]] auto indexOf(const UpstreamId &id) const -> std::optional<std::size_t>;
    /// @returns the index of a shard; nothing if the service doesn't have it
    [[nodiscard]] auto indexOf(const ShardId &id) const -> std::optional<std::size_t>;
    /// @returns the target with the lowest relative load after an additional load; upstreams that
    ///          are no targets are considered only if there is no target; nothing if there is no
    ///          upstream
    [[nodiscard]] auto leastLoadedTarget(double load) const -> std::optional<std::size_t>;
    /// @returns the indices of the upstreams, highest relative load first
    [[nodiscard]] auto byRelativeLoad() const -> std::vector<std::size_t>;
    /// @returns the total load divided by the total capacity
    [[nodiscard]] auto meanRelativeLoad() const -> double;
    /// @returns the number of shards divided by the number of upstreams
    [[nodiscard]] auto meanShardCount() const -> double;
    [[nodiscard]] auto movesInProgress() const -> int;

    std::vector<LayoutUpstream> upstreams;
    std::vector<LayoutShard> shards;
};

} // namespace gooseberrywall
