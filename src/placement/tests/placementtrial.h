#pragma once

#include "placement/placementpolicy.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace gooseberrywall {

/// A service of a PlacementTrial with its upstreams, shards and load.
struct TrialService
{
    std::string name;
    int upstreams = 0;
    std::uint32_t shards = 0;
    /// Exponent of the Zipf distribution of requests over keys.
    double zipf = 0.9;
    int keys = 100000;
    double utilisation = 0.5;
};

/// How the measured loads differ from the true ones.
struct TrialNoise
{
    /// Relative standard deviation of each measurement, in addition to that from the number of
    /// requests.
    double relative = 0.2;
    /// Upstreams report random utilisation and health.
    bool wrongReports = false;
};

/// Simulates one cell in virtual time: a workload, noisy measurements, and a record to which the
/// plans are applied within the coordinator's limit on moves.
class PlacementTrial
{
public:
    using PlanFunction = std::function<PlacementPlan(Instant, const PlacementInput &)>;

    PlacementTrial(const std::vector<TrialService> &services, PlanFunction plan,
                   std::uint64_t seed);

    auto run(Duration time) -> void;

    auto addUpstream(int service) -> UpstreamId;
    auto drain(const UpstreamId &id) -> void;
    /// Removes an upstream at once; its shards become unowned.
    auto lose(const UpstreamId &id) -> void;

    /// Replaces the hottest keys of each service by other keys with the same loads.
    auto changeHottest(int count) -> void;
    /// Gives a share of a service's load to new keys, evenly, whose shards belong to the upstreams
    /// with the most shards.
    /// @param keys number of new keys
    /// @param upstreams number of upstreams that own the new keys
    auto flood(int service, int keys, double share, int upstreams) -> void;

    /// @returns the highest true load of an upstream of the service divided by the mean
    [[nodiscard]] auto imbalance(int service) const -> double;
    /// @returns the same, but a key with more load than the mean counts only with the mean
    [[nodiscard]] auto imbalanceCappingOversizedKeys(int service) const -> double;
    [[nodiscard]] auto loadOf(const UpstreamId &id) const -> double;
    [[nodiscard]] auto shardsOf(const UpstreamId &id) const -> int;
    [[nodiscard]] auto pinnedKeys() const -> int;

    CellRecord record;
    TrialNoise noise;
    Instant now{std::chrono::seconds{100}};
    /// Number of shards that each upstream received.
    std::map<UpstreamId, int> received;
    int moves = 0;
    int pins = 0;
    int unpins = 0;

private:
    struct KeyLoad
    {
        Key key;
        double load = 0.0;
    };
    struct Workload
    {
        TrialService service;
        /// The keys whose loads are tracked one by one, hottest first.
        std::vector<KeyLoad> hottest;
        /// Load of all other keys, by shard number.
        std::vector<double> tail;
        int generation = 0;
    };

    auto fillWorkload(Workload &workload, int changed) -> void;
    auto shardLoads(const Workload &workload) const -> std::map<std::uint32_t, double>;
    auto upstreamLoads(const Workload &workload) const -> std::map<UpstreamId, double>;
    auto measure() -> PlacementInput;
    auto withNoise(double load) -> double;
    auto plan(int budget) -> void;
    auto finishTransfers() -> void;
    auto apply(const PlannedMove &move, int &budget) -> void;
    auto apply(const PlannedPin &pin, int &budget) -> void;
    auto entryOf(const ShardId &id) -> ShardEntry *;
    auto entryOf(const ShardId &id) const -> const ShardEntry *;
    auto entryOf(const UpstreamId &id) const -> const UpstreamEntry *;
    auto shardOf(const Workload &workload, const Key &key) const -> std::uint32_t;

    std::vector<Workload> workloads;
    PlanFunction planFunction;
    PlacementInput input;
    std::mt19937_64 random;
    int nextUpstream = 0;
};

} // namespace gooseberrywall
