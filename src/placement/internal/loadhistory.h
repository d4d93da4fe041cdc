#pragma once

#include "placement/internal/smoothedvalue.h"
#include "placement/placementpolicy.h"

#include <map>
#include <optional>
#include <set>

namespace gooseberrywall {

/// A key that grantors report in addition to its shard.
struct ObservedKey
{
    /// The shard that the last report on the key named.
    ShardId shard;
    SmoothedValue load;
};

/// Loads of shards and of reported keys, smoothed over time. A shard keeps its last value while no
/// grantor reports on its upstream. If its upstream is reported on, a shard without an entry has no
/// load.
class LoadHistory
{
public:
    explicit LoadHistory(Duration smoothingTime);

    /// Adds the present loads, which are taken to have held since the last call.
    auto observe(Instant now, const PlacementInput &input) -> void;

    /// @returns the smoothed load in busy slots; 0 for an unknown shard
    [[nodiscard]] auto loadOf(const ShardId &shard) const -> double;
    /// @returns the variance of loadOf()
    [[nodiscard]] auto varianceOf(const ShardId &shard) const -> double;
    [[nodiscard]] auto keysOf(const ServiceName &service) const
        -> const std::map<Key, ObservedKey> &;
    /// @returns for how long the loads of the service have been observed
    [[nodiscard]] auto observedFor(const ServiceName &service) const -> Duration;
    /// @returns whether the upstream's grantor last reported it as unhealthy
    [[nodiscard]] auto isUnhealthy(const UpstreamId &upstream) const -> bool;

private:
    auto recordUpstreams(const PlacementInput &input, Duration elapsed) -> void;
    auto recordShardLoads(const PlacementInput &input, double sampleWeight) -> void;
    auto recordKeyLoads(const PlacementInput &input, double sampleWeight) -> void;
    auto splitPinnedKeys(const PlacementInput &input) -> void;

    Duration smoothingTime;
    std::optional<Instant> lastObservedAt;
    std::set<UpstreamId> reportedUpstreams;
    std::set<UpstreamId> unhealthy;
    /// Shards whose upstream was in the last report, so that their load is known.
    std::set<ShardId> measuredShards;
    std::map<ShardId, SmoothedValue> shards;
    std::map<ServiceName, std::map<Key, ObservedKey>> keys;
    std::map<ServiceName, Duration> observedTime;
};

} // namespace gooseberrywall
