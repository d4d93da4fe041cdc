#include "keyranges/rangegrantor.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

/// Ranges in transition are looked at this often.
constexpr Duration transitionInterval = std::chrono::milliseconds{50};
/// Assumed time without an owner after the authority has ended; the actual one can't be known.
constexpr Duration assumedOutage = std::chrono::seconds{2};
/// Renewals that fall due within this time are sent together.
constexpr Duration renewalBatchDelay = std::chrono::milliseconds{20};

} // namespace

auto RangeGrantor::takeRecord(std::uint64_t &version) -> std::optional<RangeRecord>
{
    if (this->takenRecordVersion == this->recordVersion) {
        return std::nullopt;
    }
    this->takenRecordVersion = this->recordVersion;
    version = this->recordVersion;
    RangeRecord record;
    for (const auto &state : this->rangeStates) {
        RangeRow row{state.range, state.holder.value_or(RangeHolder{}), state.earlierOwners,
                     state.phase == Phase::Outdated || state.isUnconfirmedInTerm};
        if (state.target && !row.isOutdated) {
            if (const auto *entry = this->entryOf(*state.target)) {
                const auto isHolderListed =
                    !state.holder
                    || std::find(row.earlierOwners.begin(), row.earlierOwners.end(), *state.holder)
                           != row.earlierOwners.end();
                if (!isHolderListed) {
                    row.earlierOwners.push_back(*state.holder);
                }
                row.owner = RangeHolder{entry->id, entry->incarnation, entry->address};
            }
        }
        if (row.owner.id.empty() && !row.isOutdated) {
            continue;
        }
        const auto isContinuation = !record.rows.empty() && record.rows.back().owner == row.owner
                                    && record.rows.back().earlierOwners == row.earlierOwners
                                    && record.rows.back().isOutdated == row.isOutdated
                                    && record.rows.back().range.last + 1 == row.range.first;
        if (isContinuation) {
            record.rows.back().range.last = row.range.last;
        } else {
            record.rows.push_back(std::move(row));
        }
    }
    return record;
}

auto RangeGrantor::isRecordUrgent() const -> bool
{
    return this->isFirstRecordDue
           || std::any_of(this->rangeStates.begin(), this->rangeStates.end(),
                          [&](const RangeState &state) {
                              const auto isMoving =
                                  state.phase == Phase::Unowned || state.phase == Phase::Releasing;
                              return isMoving && state.target
                                     && state.requiredRecordVersion > this->storedRecordVersion;
                          });
}

auto RangeGrantor::owners(Instant now) const -> std::vector<OwnedRange>
{
    std::vector<OwnedRange> ownedRanges;
    // Upstreams that answer release their keys within the time of a request.
    const auto isReleaseExpected =
        this->releaseRoundTerm == this->term && !this->releaseRound.isAnySilent();
    const auto outdatedReadyAt = [&](const RangeState &state) {
        return isReleaseExpected ? Instant{} : state.latestHoldEnd;
    };
    for (const auto &state : this->rangeStates) {
        OwnedRange owned{state.range, std::nullopt, Instant{}};
        const auto isConfirmed = state.phase == Phase::Held && now < state.confirmedUntil;
        // The likely owner of an outdated range rejects requests for it without running them where
        // it isn't the owner any more.
        const auto isLikely = state.phase == Phase::Outdated && state.holder.has_value();
        if ((isConfirmed || isLikely) && this->isServing(*state.holder, now)) {
            owned.owner = state.holder->id;
            owned.isLikely = isLikely;
            owned.readyAt = isLikely ? outdatedReadyAt(state) : Instant{};
        } else if (state.phase == Phase::Outdated) {
            owned.readyAt = outdatedReadyAt(state);
        } else if (state.phase == Phase::Expiring || state.phase == Phase::ReleasingEarlier) {
            owned.readyAt = state.latestHoldEnd;
        } else if (now >= this->authorityEnd) {
            owned.readyAt = this->authorityEnd + assumedOutage;
        }
        const auto isContinuation = !ownedRanges.empty() && ownedRanges.back().owner == owned.owner
                                    && ownedRanges.back().readyAt == owned.readyAt
                                    && ownedRanges.back().isLikely == owned.isLikely
                                    && ownedRanges.back().keys.last + 1 == owned.keys.first;
        if (isContinuation) {
            ownedRanges.back().keys.last = owned.keys.last;
        } else {
            ownedRanges.push_back(owned);
        }
    }
    return ownedRanges;
}

auto RangeGrantor::isRunning(const RangeHolder &holder) const -> bool
{
    const auto *entry = this->entryOf(holder.id);
    return entry != nullptr && !entry->isDraining && entry->incarnation == holder.incarnation;
}

auto RangeGrantor::isUsable(const RangeHolder &holder) const -> bool
{
    return this->isRunning(holder) && !this->entryOf(holder.id)->isEvacuated;
}

auto RangeGrantor::isServing(const RangeHolder &holder, Instant now) const -> bool
{
    return this->isRunning(holder) && this->entryOf(holder.id)->isOwnerServing(now);
}

auto RangeGrantor::plannedOwner(const RangeState &state) const -> const UpstreamId *
{
    if (state.target) {
        return &*state.target;
    }
    const auto isKept = state.holder && state.phase != Phase::Expiring
                        && (state.phase != Phase::Held || this->isUsable(*state.holder));
    return isKept ? &state.holder->id : nullptr;
}

auto RangeGrantor::hasUnowned() const -> bool
{
    return std::any_of(
        this->rangeStates.begin(), this->rangeStates.end(),
        [&](const RangeState &state) { return this->plannedOwner(state) == nullptr; });
}

auto RangeGrantor::views() const -> std::vector<RangeView>
{
    std::vector<RangeView> result;
    for (const auto &state : this->rangeStates) {
        RangeView view{state.range, std::nullopt, false, state.ownedSince};
        if (const auto *owner = this->plannedOwner(state)) {
            view.owner = *owner;
        }
        view.isEvacuated = state.phase == Phase::Held && this->isRunning(*state.holder)
                           && !this->isUsable(*state.holder);
        view.isMovable = state.call.value == 0 && state.phase == Phase::Held && !state.target
                         && !state.needsNewFence && !state.isUnconfirmedInTerm;
        result.push_back(view);
    }
    return result;
}

auto RangeGrantor::keysWaitingForHoldEnd() const -> std::uint32_t
{
    std::uint32_t count = 0;
    for (const auto &state : this->rangeStates) {
        const auto isWaiting = state.phase == Phase::Expiring
                               || (state.phase == Phase::ReleasingEarlier && state.isReleased);
        count += isWaiting ? state.range.size() : 0;
    }
    return count;
}

auto RangeGrantor::nextDue(Instant now) const -> Instant
{
    auto due = now + this->settings.renewalInterval;
    for (const auto &state : this->rangeStates) {
        if (state.call.value != 0) {
            continue;
        }
        if (state.phase == Phase::Held && this->isUsable(*state.holder)) {
            due = std::min(due, std::max(state.nextOrderAt, now + renewalBatchDelay));
        } else {
            due = std::min(due, now + transitionInterval);
        }
    }
    return due;
}

} // namespace gooseberrywall
