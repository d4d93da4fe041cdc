#pragma once

#include "placement/internal/smoothedvalue.h"
#include "placement/placementpolicy.h"

#include <map>
#include <optional>
#include <set>

namespace gooseberrywall {

/// A key of a service that stands out in its shard.
struct ObservedKey
{
    /// The shard that it was reported in.
    ShardId shard;
    SmoothedValue load;
};

/// Loads of shards and hot keys, smoothed over time. A shard whose upstream nobody reports on
/// keeps its last value; a reported upstream's shard without an entry has no load.
class LoadHistory
{
public:
    explicit LoadHistory(Duration smoothingTime);

    /// Takes the present loads, which held since the last call.
    auto observe(Instant now, const PlacementInput &input) -> void;

    /// @returns busy slots
    [[nodiscard]] auto loadOf(const ShardId &shard) const -> double;
    /// @returns the variance of loadOf()
    [[nodiscard]] auto varianceOf(const ShardId &shard) const -> double;
    [[nodiscard]] auto keysOf(const ServiceName &service) const
        -> const std::map<Key, ObservedKey> &;
    /// @returns how long loads of the service have been observed
    [[nodiscard]] auto observedFor(const ServiceName &service) const -> Duration;
    /// @returns whether the upstream's grantor says that it is unhealthy
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
    /// Shards whose load is known now, by the report on their upstream.
    std::set<ShardId> measuredShards;
    std::map<ShardId, SmoothedValue> shards;
    std::map<ServiceName, std::map<Key, ObservedKey>> keys;
    std::map<ServiceName, Duration> observedTime;
};

} // namespace gooseberrywall
