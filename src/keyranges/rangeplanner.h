#pragma once

#include "dispatch/slotbroker.h"
#include "keyranges/rangegrantor.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace gooseberrywall {

struct RangePlannerSettings
{
    /// An upstream busier than this share of the mean gives keys away.
    double busyToMeanRatio = 1.25;
    /// Below this share of its slots' time an upstream never gives keys away.
    double minBusyUtilisation = 0.6;
    /// Moves started at once.
    int maxMovesPerRound = 10;
    /// A span stays with its owner for at least this long.
    Duration minOwnershipTime = std::chrono::milliseconds{900};
    /// Requests count half after this time. The short memory finds a run of keys that turns hot;
    /// the long one keeps the chance of a few requests from looking like a change.
    Duration shortHalfLife = std::chrono::milliseconds{600};
    Duration longHalfLife = std::chrono::seconds{4};
    auto operator==(const RangePlannerSettings &) const -> bool = default;
};

/// Decides which upstream owns which keys, from the requests seen for each key. Answers three
/// patterns: a hot run of neighbouring keys is split over several upstreams within a round or two;
/// keys of lost or leaving upstreams are spread over the least used; joined upstreams get keys
/// from the busiest.
class RangePlanner
{
public:
    explicit RangePlanner(RangePlannerSettings settings);

    /// @param counts requests for each key since the last call
    auto observe(const std::map<KeyPosition, std::uint32_t> &counts, Instant now) -> void;

    /// @param upstreams whom keys can be given; unusable ones lose theirs
    [[nodiscard]] auto plan(const std::vector<RangeView> &views,
                            const std::vector<UpstreamDemand> &upstreams, Instant now)
        -> std::vector<RangeMove>;

private:
    struct Candidate
    {
        UpstreamId id;
        /// Requests a second that it can serve.
        double capacity = 0;
        double load = 0;
        int rangeCount = 0;
        bool isUsable = false;
        [[nodiscard]] auto utilisation() const -> double { return this->load / this->capacity; }
    };

    static auto updateRates(std::vector<double> &rates,
                            const std::map<KeyPosition, std::uint32_t> &counts, Duration halfLife,
                            Duration elapsed) -> void;
    auto updateLoadPrefixSums() -> void;
    [[nodiscard]] auto loadOf(const KeySpan &range) const -> double;
    [[nodiscard]] auto candidatesOf(const std::vector<RangeView> &views,
                                    const std::vector<UpstreamDemand> &upstreams) const
        -> std::map<UpstreamId, Candidate>;
    auto placeUnowned(const std::vector<RangeView> &views,
                      std::map<UpstreamId, Candidate> &candidates,
                      std::vector<RangeMove> &moves) const -> void;
    auto balance(const std::vector<RangeView> &views, std::map<UpstreamId, Candidate> &candidates,
                 std::vector<RangeMove> &moves, Instant now) const -> void;
    [[nodiscard]] auto busiest(std::map<UpstreamId, Candidate> &candidates,
                               const std::set<UpstreamId> &skippedSources) const -> Candidate *;
    [[nodiscard]] auto leastUtilised(std::map<UpstreamId, Candidate> &candidates) const
        -> Candidate *;
    [[nodiscard]] auto withHighestCapacity(std::map<UpstreamId, Candidate> &candidates) const
        -> Candidate *;
    /// Moves about `load` from one upstream to another.
    /// @param open all spans; the one that moves is split off and not settled any more
    /// @returns whether a span was found whose move eases the giver's load
    [[nodiscard]] auto moveLoad(std::vector<RangeView> &plannedViews, Candidate &source,
                                Candidate &target, double load, Instant now,
                                std::vector<RangeMove> &moves) const -> bool;
    [[nodiscard]] auto splitByLoad(const KeySpan &range, int parts) const -> std::vector<KeySpan>;
    /// @returns the run at one end of `span` that carries about `load`; the whole where none does
    [[nodiscard]] auto edgeRange(const KeySpan &range, double load) const -> KeySpan;

    RangePlannerSettings settings;
    /// Requests a second for each key, by the short and the long memory.
    std::vector<double> shortTermRates;
    std::vector<double> longTermRates;
    /// Sums of the higher of the two rates and of a small base load, for spans.
    std::vector<double> loadPrefixSums;
    Instant observedAt{};
};

} // namespace gooseberrywall
