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
    /// An upstream is busy, and gives keys away, where its utilisation is above this multiple of
    /// the mean and above `minBusyUtilisation`.
    double busyToMeanRatio = 1.25;
    /// Share of its slots' time up to which an upstream is never busy.
    double minBusyUtilisation = 0.6;
    /// Attempts in one round to balance the load by a move.
    int maxMovesPerRound = 10;
    /// A range stays with its owner for at least this long.
    Duration minOwnershipTime = std::chrono::milliseconds{900};
    /// Half-lives of the two averages of each key's request rate. The short one detects a range of
    /// keys that turns hot; the long one keeps a few chance requests from looking like a change.
    Duration shortHalfLife = std::chrono::milliseconds{600};
    Duration longHalfLife = std::chrono::seconds{4};
    auto operator==(const RangePlannerSettings &) const -> bool = default;
};

/// Decides which upstream owns which keys, by the request rate of each key. Handles three cases: a
/// hot range of keys is split over several upstreams within one or two rounds; keys of lost or
/// draining upstreams are spread over the least utilised ones, and so are those of evacuated ones,
/// hottest range first; upstreams that have joined get keys from the busiest one.
class RangePlanner
{
public:
    explicit RangePlanner(RangePlannerSettings settings);

    /// Updates the request rates.
    /// @param counts requests for each key since the last call
    auto observe(const std::map<KeyPosition, std::uint32_t> &counts, Instant now) -> void;

    /// Plans one round of moves.
    /// @param views all ranges
    /// @param upstreams all upstreams; unusable ones lose their keys
    /// @returns the moves; none where no upstream is usable
    [[nodiscard]] auto plan(const std::vector<RangeView> &views,
                            const std::vector<UpstreamStatus> &upstreams, Instant now)
        -> std::vector<RangeMove>;

private:
    /// An upstream that may own keys.
    struct Candidate
    {
        UpstreamId id;
        /// Requests per second that it can serve.
        double capacity = 0;
        /// Requests per second for its keys, after the moves planned so far.
        double load = 0;
        int rangeCount = 0;
        bool isUsable = false;
        /// It drains or is evacuated.
        bool isLeaving = false;
        [[nodiscard]] auto utilisation() const -> double { return this->load / this->capacity; }
    };

    static auto updateRates(std::vector<double> &rates,
                            const std::map<KeyPosition, std::uint32_t> &counts, Duration halfLife,
                            Duration elapsed) -> void;
    auto updateLoadPrefixSums() -> void;
    /// @param first the first key of a block
    /// @returns whether the block's requests have risen by more than chance explains
    [[nodiscard]] auto hasRisen(std::size_t first) const -> bool;
    /// Splits `range` off from the view, and makes it immovable.
    static auto splitView(std::vector<RangeView> &plannedViews, std::size_t index,
                          const KeyRange &range) -> void;
    /// @returns the requests per second for a range
    [[nodiscard]] auto loadOf(const KeyRange &range) const -> double;
    [[nodiscard]] auto candidatesOf(const std::vector<RangeView> &views,
                                    const std::vector<UpstreamStatus> &upstreams) const
        -> std::map<UpstreamId, Candidate>;
    /// @returns the ranges that an owner has to be chosen for, in the order in which they get one
    [[nodiscard]] auto inPlacingOrder(const std::vector<RangeView> &views) const
        -> std::vector<RangeView>;
    auto placeUnowned(const std::vector<RangeView> &views,
                      std::map<UpstreamId, Candidate> &candidates,
                      std::vector<RangeMove> &moves) const -> void;
    auto balance(const std::vector<RangeView> &views, std::map<UpstreamId, Candidate> &candidates,
                 std::vector<RangeMove> &moves, Instant now) const -> void;
    /// @returns the upstream that is to give keys away next; nothing where none has keys to give
    [[nodiscard]] auto busiest(std::map<UpstreamId, Candidate> &candidates,
                               const std::set<UpstreamId> &skippedSources) const -> Candidate *;
    [[nodiscard]] auto leastUtilised(std::map<UpstreamId, Candidate> &candidates) const
        -> Candidate *;
    [[nodiscard]] auto withHighestCapacity(std::map<UpstreamId, Candidate> &candidates) const
        -> Candidate *;
    /// Moves a range with about `load` requests per second from one upstream to another.
    /// @param plannedViews all ranges; the one that moves is split off, and isn't movable any more
    /// @returns whether a range was found whose move is worth it
    [[nodiscard]] auto moveLoad(std::vector<RangeView> &plannedViews, Candidate &source,
                                Candidate &target, double load, Instant now,
                                std::vector<RangeMove> &moves) const -> bool;
    /// @returns at most `parts` ranges of about the same load
    [[nodiscard]] auto splitByLoad(const KeyRange &range, int parts) const -> std::vector<KeyRange>;
    /// @returns the part at one end of `range` that has about `load`; all of it where it has no
    /// more
    [[nodiscard]] auto edgeRange(const KeyRange &range, double load) const -> KeyRange;

    RangePlannerSettings settings;
    /// Requests per second for each key, averaged with the short and the long half-life.
    std::vector<double> shortTermRates;
    std::vector<double> longTermRates;
    /// Prefix sums over the keys of their rates plus a small base rate; the load of a range is the
    /// difference of two of them. The short-term rates count where requests have risen.
    std::vector<double> loadPrefixSums;
    Instant observedAt{};
};

} // namespace gooseberrywall
