#pragma once

#include "storelink/types/storecalls.h"

#include <utility>

namespace gooseberrywall {

/// Follows from the ends of a daemon's calls when the store was last away, for views that have to
/// read anew then: their watches may be waiting on dead connections.
class StoreOutage
{
public:
    /// Takes in the end of any call to the store.
    /// @param sentAt when the call was sent
    /// @returns whether the store answers again after a failure
    auto onAnswer(const StoreAnswer &answer, Instant sentAt, Instant now) -> bool
    {
        const auto hasFailed = isFailure(answer.kind);
        if (hasFailed && sentAt < this->endedAt) {
            // Lost in an outage that has ended.
            return false;
        }
        const auto wasFailing = std::exchange(this->isFailing, hasFailed);
        if (hasFailed) {
            this->lastFailureAt = now;
        } else if (wasFailing) {
            this->endedAt = now;
        }
        return wasFailing && !hasFailed;
    }

    /// @returns when a call last failed; Instant{} where none has
    [[nodiscard]] auto failedAt() const -> Instant { return this->lastFailureAt; }
    /// @returns when a call was first answered after a failure; Instant{} where none was
    [[nodiscard]] auto backAt() const -> Instant { return this->endedAt; }

private:
    bool isFailing = false;
    Instant lastFailureAt{};
    Instant endedAt{};
};

} // namespace gooseberrywall
