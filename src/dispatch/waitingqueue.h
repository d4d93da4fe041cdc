#pragma once

#include "dispatch/types/permits.h"

#include <algorithm>
#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace gooseberrywall {

/// Rank of a waiting request; lower ranks get slots first. Requests that can still meet their
/// target go before late ones: under overload, serving strictly by age would make every answer
/// late.
struct WaitingRank
{
    int priority = 0;
    bool isLate = false;
    Instant deadline;
    /// Order of arrival.
    std::uint64_t arrival = 0;
    auto operator<=>(const WaitingRank &) const = default;
};

/// A request that waits for a slot.
struct WaitingRequest
{
    PermitRequest request;
    Instant deadline;
    /// When the route's target latency has passed.
    Instant target;
    WaitingRank rank;
};

/// The waiting requests that compete for the same slots, in the order of their ranks.
class WaitingQueue
{
public:
    /// @param waiting stays where it is while it is in the queue, and its rank changes only by
    ///        updateLateness()
    auto insert(WaitingRequest &waiting) -> void;
    auto erase(const WaitingRequest &waiting) -> void;
    auto clear() -> void { this->entries.clear(); }
    /// Ranks requests anew that can't meet their target any more, or can again.
    /// @param latency expected latency of a request
    auto updateLateness(Duration latency, Instant now) -> void;

    /// @param isEligible tells whether a request may run at the upstream in question
    /// @returns the first eligible request whose deadline hasn't passed; nullptr where there is
    /// none
    template<std::predicate<const PermitRequest &> Predicate>
    [[nodiscard]] auto first(Instant now, const Predicate &isEligible) const -> WaitingRequest *
    {
        const auto found =
            std::find_if(this->entries.begin(), this->entries.end(), [&](const Entry &entry) {
                return entry.waiting->deadline > now && isEligible(entry.waiting->request);
            });
        return found == this->entries.end() ? nullptr : found->waiting;
    }
    /// @returns how many requests rank before
    [[nodiscard]] auto countBefore(const WaitingRank &rank) const -> std::size_t;
    [[nodiscard]] auto isEmpty() const -> bool { return this->entries.empty(); }

private:
    struct Entry
    {
        WaitingRank rank;
        WaitingRequest *waiting = nullptr;
    };

    [[nodiscard]] auto position(const WaitingRank &rank) const
        -> std::vector<Entry>::const_iterator;

    /// Sorted by rank.
    std::vector<Entry> entries;
};

} // namespace gooseberrywall
