#pragma once

#include "placement/placementpolicy.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace gooseberrywall {

/// A service of a PlacementTrial and its load.
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

/// How the loads that a placement sees differ from the true ones.
struct TrialNoise
{
    /// Relative standard deviation of each measurement, on top of that of single requests.
    double relative = 0.2;
    /// Upstreams state wrong utilisation and health.
    bool wrongReports = false;
};

/// One cell in virtual time: a workload, noisy measurements, and a record that follows the plans
/// within the coordinator's budgets.
class PlacementTrial
{
public:
    using PlanFunction = std::function<PlacementPlan(Instant, const PlacementInput &)>;

    PlacementTrial(const std::vector<TrialService> &services, PlanFunction plan,
                   std::uint64_t seed);

    auto run(Duration time) -> void;

    auto addUpstream(int service) -> UpstreamId;
    auto drain(const UpstreamId &id) -> void;
    /// Loses an upstream: its shards are freed at once.
    auto lose(const UpstreamId &id) -> void;

    /// Gives the ranks of the hottest keys to others.
    auto changeHottest(int count) -> void;
    /// Lets keys of some upstreams' shards carry a share of a service's load evenly.
    auto flood(int service, int keys, double share, int upstreams) -> void;

    /// @returns the highest true load of a live upstream, to the mean of its service
    [[nodiscard]] auto imbalance(int service) const -> double;
    /// @returns the same, where a key that alone exceeds the mean counts as the mean
    [[nodiscard]] auto imbalanceCappingOversizedKeys(int service) const -> double;
    [[nodiscard]] auto loadOf(const UpstreamId &id) const -> double;
    [[nodiscard]] auto shardsOf(const UpstreamId &id) const -> int;
    [[nodiscard]] auto pinnedKeys() const -> int;

    CellRecord record;
    TrialNoise noise;
    Instant now{std::chrono::seconds{100}};
    /// Shards that were given to another owner, by the owner that took them.
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
        /// Hottest first; the rest is in shardLoads.
        std::vector<KeyLoad> hottest;
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
