#pragma once

#include "keyranges/types/rangeorders.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace gooseberrywall {

struct ReleaseRoundSettings
{
    /// Orders that may be without an answer at the same time.
    std::size_t maxOpenOrders = 64;
    /// Pause of an upstream that didn't answer; doubled with each further time, up to the longest.
    Duration firstRetryPause = std::chrono::milliseconds{150};
    Duration longestRetryPause = std::chrono::seconds{1};
    auto operator==(const ReleaseRoundSettings &) const -> bool = default;
};

/// A range whose owner isn't known for certain.
struct UncertainRange
{
    KeyRange range;
    /// The upstream that most likely owns the range and may keep it; nothing where all have to
    /// release it.
    std::optional<UpstreamId> likelyOwner;
    auto operator==(const UncertainRange &) const -> bool = default;
};

/// Has all upstreams release the ranges that they aren't the likely owners of. Once all have
/// answered, nobody but its likely owner can hold a range, provided that a release also bars grants
/// with lower fences that are carried out later. An upstream that has left an earlier release
/// unanswered, maybe of another grantor, may still be at work on its keys when it answers, so an
/// answer counts only after the time that work takes at most. Does no input or output itself.
class ReleaseRound
{
public:
    explicit ReleaseRound(ReleaseRoundSettings settings);

    /// Starts anew: earlier answers don't count any more, and no upstream is known.
    /// @param fence of all releases; above those of all grants that may still be carried out
    auto start(std::uint64_t fence) -> void;
    /// Adds an upstream that may hold keys. It has to answer even if the store drops its entry, but
    /// not once a later incarnation with its id is known.
    auto addUpstream(const RangeHolder &upstream) -> void;
    /// Replaces the ranges that are to be released, except by their likely owners.
    auto setRanges(std::vector<UncertainRange> ranges) -> void;
    /// @param nextCallId id of the next order; is counted up
    /// @returns the releases that are to be sent now
    [[nodiscard]] auto takeOrders(std::uint64_t &nextCallId, Instant now)
        -> std::vector<RangeOrder>;
    /// Takes in how an order from takeOrders() ended; other orders are ignored.
    auto onOrderEnd(const RangeOrderEnd &end, Instant now) -> void;

    /// Sets how long work takes at most that was running when an upstream answered.
    auto setWorkTime(Duration time) -> void { this->workTime = time; }
    /// @returns the ranges that another upstream than their likely owner may hold or be at work on,
    /// sorted and without overlaps
    [[nodiscard]] auto unreleased(Instant now) const -> std::vector<KeyRange>;
    [[nodiscard]] auto isAnySilent() const -> bool;
    /// @returns the upstreams that left their last order unanswered
    [[nodiscard]] auto silentUpstreams() const -> std::vector<UpstreamId>;
    [[nodiscard]] auto upstreamCount() const -> std::size_t { return this->upstreams.size(); }
    /// @returns how many orders were given out since the start
    [[nodiscard]] auto orderCount() const -> std::uint64_t { return this->givenOrders; }

private:
    struct OpenOrder
    {
        CallId call;
        KeyRange range;
    };
    /// An upstream has released a range, on which it may have been at work.
    struct Answer
    {
        KeyRange range;
        Instant at;
    };
    struct Upstream
    {
        RangeHolder holder;
        /// What it has released, and what it has yet to release; sorted, without overlaps.
        std::vector<KeyRange> released;
        std::vector<KeyRange> missing;
        std::vector<Answer> answers;
        std::vector<OpenOrder> openOrders;
        Instant nextOrderAt{};
        /// Orders in a row without an answer.
        int failures = 0;
    };

    auto updateMissing(Upstream &upstream) const -> void;
    [[nodiscard]] auto retryPause(int failures) const -> Duration;

    ReleaseRoundSettings settings;
    Duration workTime{0};
    std::uint64_t fence = 0;
    std::vector<UncertainRange> ranges;
    std::vector<Upstream> upstreams;
    std::size_t openOrderCount = 0;
    std::uint64_t givenOrders = 0;
};

} // namespace gooseberrywall
