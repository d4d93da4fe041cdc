#pragma once

#include "storelink/types/storecontact.h"

#include <algorithm>
#include <set>

namespace gooseberrywall {

/// Follows whether this daemon reaches the store, from the calls that the store answers at once.
class StoreContacts
{
public:
    auto onSent(Instant now) -> void { this->openSince.insert(now); }

    /// Takes in the end of a call.
    /// @param isAnswered whether the store has answered it, whatever the answer
    /// @param sentAt as passed to onSent()
    auto onEnd(bool isAnswered, Instant sentAt) -> void
    {
        if (const auto found = this->openSince.find(sentAt); found != this->openSince.end()) {
            this->openSince.erase(found);
        }
        auto &last = isAnswered ? this->lastAnswered : this->lastFailed;
        last = std::max(last, sentAt);
    }

    /// @returns the contact until now
    [[nodiscard]] auto contact(Instant now) const -> StoreContact
    {
        const auto open = this->openSince.upper_bound(this->lastAnswered);
        const auto isWaiting = open != this->openSince.end() && now - *open >= answerTime;
        return StoreContact{this->lastAnswered, isWaiting || this->lastFailed > this->lastAnswered};
    }

private:
    /// The store usually answers far sooner.
    static constexpr Duration answerTime = std::chrono::milliseconds{250};

    std::multiset<Instant> openSince;
    /// When the calls were sent.
    Instant lastAnswered{};
    Instant lastFailed{};
};

} // namespace gooseberrywall
