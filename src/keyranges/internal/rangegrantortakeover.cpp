#include "keyranges/rangegrantor.h"

#include <algorithm>
#include <limits>
#include <utility>

// How a RangeGrantor takes over the owners that earlier grantors, or an earlier era of the store,
// have left.
namespace gooseberrywall {

namespace {

constexpr KeyPosition lastKey = std::numeric_limits<KeyPosition>::max();

} // namespace

auto RangeGrantor::adopt(const RangeRecord &record, Instant now) -> void
{
    for (const auto &row : record.rows) {
        this->recordedHolders.insert(this->recordedHolders.end(), row.earlierOwners.begin(),
                                     row.earlierOwners.end());
        if (!row.owner.id.empty()) {
            this->recordedHolders.push_back(row.owner);
        }
        this->splitAt(row.range.first);
        if (row.range.last != lastKey) {
            this->splitAt(static_cast<KeyPosition>(row.range.last + 1));
        }
        for (auto &state : this->rangeStates) {
            if (!row.range.contains(state.range.first)) {
                continue;
            }
            state.phase = row.earlierOwners.empty() ? Phase::Held : Phase::ReleasingEarlier;
            if (!row.owner.id.empty()) {
                state.holder = row.owner;
            }
            state.earlierOwners = row.earlierOwners;
            state.hasHadOwner = true;
            state.needsNewFence = true;
            state.latestHoldEnd = this->latestEndOfHold(now, this->settings.longestHoldTime);
            // The grant of the earlier grantor most likely still lasts. If it doesn't, the upstream
            // rejects requests without running them.
            state.confirmedUntil =
                row.earlierOwners.empty() ? now + this->settings.renewalInterval : Instant{};
            state.nextOrderAt = now;
            state.ownedSince = now;
            if (row.isOutdated) {
                this->markOutdated(state, now);
            }
        }
    }
    this->storedRecordVersion = this->recordVersion;
    this->takenRecordVersion = this->recordVersion;
}

auto RangeGrantor::adoptOutdated(const RangeRecord &record, Instant now) -> void
{
    this->adopt(record, now);
    for (auto &state : this->rangeStates) {
        state.hasHadOwner = true;
        this->markOutdated(state, now);
    }
    this->isFirstRecordDue = true;
    this->markRecordChanged();
}

auto RangeGrantor::raiseTerm(std::uint64_t newTerm, bool mayOthersHaveLed, Instant now) -> void
{
    this->term = newTerm;
    this->sequence = 0;
    // What others did before an earlier raise counts until each owner has been asked.
    const auto isAnyUnconfirmed =
        std::any_of(this->rangeStates.begin(), this->rangeStates.end(),
                    [](const RangeState &state) { return state.isUnconfirmedInTerm; });
    this->mayOthersHaveLed = mayOthersHaveLed || (this->mayOthersHaveLed && isAnyUnconfirmed);
    this->isFirstRecordDue = true;
    const auto required = this->markRecordChanged();
    for (auto &state : this->rangeStates) {
        // A holder that this grantor hasn't granted the range to can't be asked with its fence.
        const auto canAskHolder = state.phase == Phase::Held && state.fence != 0;
        state.isUnconfirmedInTerm = canAskHolder;
        state.nextOrderAt = now;
        if (canAskHolder) {
            continue;
        }
        state.requiredRecordVersion = required;
        if (this->mayOthersHaveLed) {
            // The end of an order that is still open says nothing of other grantors' orders.
            state.call = CallId{};
            this->markOutdated(state, now);
        }
    }
}

auto RangeGrantor::isOwnerUncertain(const RangeState &state) const -> bool
{
    return state.isUnconfirmedInTerm && this->mayOthersHaveLed;
}

auto RangeGrantor::recordHolders(const RangeState &state) -> void
{
    auto holders = state.earlierOwners;
    if (state.holder) {
        holders.push_back(*state.holder);
    }
    for (const auto &holder : holders) {
        const auto isKnown =
            std::find(this->recordedHolders.begin(), this->recordedHolders.end(), holder)
            != this->recordedHolders.end();
        if (!isKnown) {
            this->recordedHolders.push_back(holder);
        }
        if (this->releaseRoundTerm == this->term) {
            this->releaseRound.addUpstream(holder);
        }
    }
}

auto RangeGrantor::markOutdated(RangeState &state, Instant now) -> void
{
    this->recordHolders(state);
    state.phase = Phase::Outdated;
    state.isUnconfirmedInTerm = false;
    state.isReleased = false;
    state.target.reset();
    state.earlierOwners.clear();
    state.failures = 0;
    state.confirmedUntil = Instant{};
    state.latestHoldEnd = this->latestEndOfHold(now, this->settings.longestHoldTime);
}

auto RangeGrantor::endOutdated(RangeState &state, Instant now) -> void
{
    // The owner that is recorded most likely still has what it needs to serve the keys.
    const auto likelyOwner = state.holder;
    this->markUnowned(state, now);
    if (!state.target && likelyOwner && this->isUsable(*likelyOwner)) {
        state.target = likelyOwner->id;
    }
    state.requiredRecordVersion = this->markRecordChanged();
}

auto RangeGrantor::releaseEarlierOwners(RangeState &state, Instant now) -> void
{
    const auto countBefore = state.earlierOwners.size();
    std::erase_if(state.earlierOwners,
                  [&](const RangeHolder &holder) { return this->hasEnded(holder); });
    const auto haveGrantsEnded = now >= state.latestHoldEnd;
    if (haveGrantsEnded) {
        state.earlierOwners.clear();
    } else if (state.isReleased && now >= state.nextOrderAt && !state.earlierOwners.empty()) {
        state.earlierOwners.erase(state.earlierOwners.begin());
    }
    if (state.earlierOwners.size() < countBefore) {
        state.isReleased = false;
        state.nextOrderAt = now;
    }
    if (state.earlierOwners.empty()) {
        state.phase = Phase::Held;
        state.nextOrderAt = now;
        state.latestHoldEnd = this->latestEndOfHold(now, this->settings.longestHoldTime);
        this->markRecordChanged();
        return;
    }
    if (!state.isReleased && now >= state.nextOrderAt && now < this->authorityEnd
        && this->hasFence()) {
        state.fence = this->nextFence();
        this->issueOrder(state, RangeOrder::Kind::Release, state.earlierOwners.front(), now);
    }
}

} // namespace gooseberrywall
