#pragma once

#include "storelink/types/storecalls.h"

#include <algorithm>

namespace gooseberrywall {

/// Follows how long the store may have been away for all, from the ends of this daemon's calls and
/// from what others have heard of the store. A store that refuses one daemon, or loses an answer,
/// hasn't been away.
class StoreAbsence
{
public:
    /// @param shortest shorter absences don't count
    explicit StoreAbsence(Duration shortest)
        : shortest(shortest)
    {
    }

    /// Takes in the end of any call to the store.
    /// @param sentAt when the call was sent
    auto onAnswer(const StoreAnswer &answer, Instant sentAt, Instant now) -> void
    {
        if (!isFailure(answer.kind)) {
            this->onReached(sentAt, now);
        } else if (sentAt >= this->lastReachedAt) {
            this->lastFailureAt = now;
        }
    }

    /// Takes in that the store has answered another daemon.
    /// @param at a time at which it was there
    auto onReachedByOther(Instant at) -> void { this->onReached(at, at); }

    /// @returns when a call failed last in the last absence that counts; Instant{} where there was
    ///          none
    [[nodiscard]] auto failedAt() const -> Instant { return this->countedFailureAt; }
    /// @returns when that absence had ended
    [[nodiscard]] auto backAt() const -> Instant { return this->countedEnd; }

private:
    /// @param from, to the store was there at some time between the two
    auto onReached(Instant from, Instant to) -> void
    {
        const auto hasFailed =
            this->lastFailureAt >= this->lastReachedAt && this->lastFailureAt != Instant{};
        if (hasFailed && to > this->lastFailureAt && to - this->lastReachedAt >= this->shortest) {
            this->countedFailureAt = this->lastFailureAt;
            this->countedEnd = to;
        }
        this->lastReachedAt = std::max(this->lastReachedAt, from);
    }

    Duration shortest;
    /// A time at which the store was there.
    Instant lastReachedAt{};
    Instant lastFailureAt{};
    Instant countedFailureAt{};
    Instant countedEnd{};
};

} // namespace gooseberrywall
