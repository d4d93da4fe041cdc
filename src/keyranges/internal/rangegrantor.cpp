#include "keyranges/rangegrantor.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr KeyPosition lastKey = std::numeric_limits<KeyPosition>::max();
/// Failed grants in a row after which a holder counts as lost.
constexpr int failuresUntilLost = 2;
/// Largest share of the renewal interval by which a renewal is sent earlier.
constexpr double renewalJitterShare = 0.35;

/// @returns whether the first incarnation surely started after the second; an unknown one doesn't
auto isLater(Incarnation first, Incarnation second) -> bool
{
    return first > second && second.value != 0;
}

} // namespace

RangeGrantor::RangeGrantor(RangeGrantorSettings settings, std::uint64_t term)
    : settings(settings)
    , term(term)
    , releaseRound(settings.releaseRound)
{
    this->setLongestWork(settings.longestHoldTime);
    this->rangeStates.emplace_back().range = KeyRange{0, lastKey};
}

auto RangeGrantor::setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void
{
    const auto earlier = std::exchange(this->upstreams, {});
    for (const auto &entry : entries) {
        this->upstreams[entry.id] = entry;
    }
    for (auto &state : this->rangeStates) {
        const auto *target = state.target ? this->entryOf(*state.target) : nullptr;
        if (target == nullptr) {
            continue;
        }
        const auto known = earlier.find(target->id);
        const auto isSame = known != earlier.end()
                            && known->second.incarnation == target->incarnation
                            && known->second.address == target->address;
        // The record has to name the incarnation that is granted the range.
        if (!isSame) {
            state.requiredRecordVersion = this->markRecordChanged();
        }
    }
    this->advance(now);
}

auto RangeGrantor::move(const std::vector<RangeMove> &moves, Instant now) -> void
{
    for (const auto &move : moves) {
        const auto *target = this->entryOf(move.target);
        if (target == nullptr || !target->takesNewWork()) {
            continue;
        }
        const auto canMove = std::all_of(
            this->rangeStates.begin(), this->rangeStates.end(), [&](const RangeState &state) {
                const auto isOutside =
                    state.range.last < move.range.first || state.range.first > move.range.last;
                return isOutside
                       || (state.call.value == 0
                           && (state.phase == Phase::Unowned || state.phase == Phase::Held
                               || state.phase == Phase::Expiring
                               || state.phase == Phase::Outdated));
            });
        if (!canMove) {
            continue;
        }
        this->splitAt(move.range.first);
        if (move.range.last != lastKey) {
            this->splitAt(static_cast<KeyPosition>(move.range.last + 1));
        }
        for (auto &state : this->rangeStates) {
            const auto isTargetHolder =
                state.phase == Phase::Held && state.holder && state.holder->id == move.target;
            if (move.range.contains(state.range.first) && !isTargetHolder) {
                state.target = move.target;
                // Also of a held range: where its holder is lost, it is granted without a release.
                state.requiredRecordVersion = this->markRecordChanged();
            }
            // The others start in the order of their keys.
            if (move.range.contains(state.range.first) && state.holder
                && this->isRunning(*state.holder) && !this->isUsable(*state.holder)) {
                this->advanceRange(state, now);
            }
        }
    }
    this->advance(now);
}

auto RangeGrantor::onOrderEnd(const RangeOrderEnd &end, Instant now) -> void
{
    auto *state = this->stateOf(end.call);
    if (state == nullptr) {
        this->releaseRound.onOrderEnd(end, now);
        return;
    }
    state->call = CallId{};
    if (state->phase == Phase::Releasing || state->phase == Phase::ReleasingEarlier) {
        this->onReleaseEnd(*state, end, now);
    } else {
        this->onGrantEnd(*state, end, now);
    }
    // Only this range can need an order because of the result; advance() looks at the others.
    this->advanceRange(*state, now);
}

auto RangeGrantor::onGrantEnd(RangeState &state, const RangeOrderEnd &end, Instant now) -> void
{
    using Kind = RangeOrderEnd::Kind;
    switch (end.kind) {
    case Kind::Accepted:
        if (state.phase == Phase::Granting && state.hasHadOwner) {
            this->movedKeyCount += state.range.size();
        }
        state.ownedSince = state.phase == Phase::Granting ? now : state.ownedSince;
        if (state.phase == Phase::Granting) {
            this->markRecordChanged();
        }
        state.phase = Phase::Held;
        state.hasHadOwner = true;
        state.failures = 0;
        state.needsNewFence = false;
        state.earlierOwners.clear();
        state.latestHoldEnd =
            std::max(state.latestHoldEnd, this->latestEndOfHold(now, state.sentHoldTime));
        state.confirmedUntil = state.sentAt + state.sentHoldTime - this->settings.deliveryMargin;
        state.nextOrderAt = state.sentAt + this->jitteredRenewalInterval(state);
        if (state.isUnconfirmedInTerm) {
            state.isUnconfirmedInTerm = false;
            state.needsNewFence = true;
            state.nextOrderAt = now;
            this->markRecordChanged();
        }
        return;
    case Kind::OtherUpstream:
        this->endHold(state, now);
        return;
    case Kind::FenceTooLow:
        if (state.isUnconfirmedInTerm) {
            this->markOutdated(state, now);
            this->markRecordChanged();
            return;
        }
        [[fallthrough]];
    case Kind::Rejected:
    case Kind::NotSent:
        state.needsNewFence = state.needsNewFence || end.kind == Kind::FenceTooLow;
        if (state.phase == Phase::Granting && !state.needsNewFence) {
            this->markUnowned(state, now);
        }
        break;
    case Kind::NoAnswer:
        state.needsNewFence = true;
        state.latestHoldEnd =
            std::max(state.latestHoldEnd, this->latestEndOfHold(now, state.sentHoldTime));
        break;
    }
    ++state.failures;
    state.nextOrderAt = now + this->settings.retryPause;
}

auto RangeGrantor::onReleaseEnd(RangeState &state, const RangeOrderEnd &end, Instant now) -> void
{
    using Kind = RangeOrderEnd::Kind;
    const auto hasReleased = end.kind == Kind::Accepted || end.kind == Kind::OtherUpstream;
    if (state.phase == Phase::ReleasingEarlier) {
        if (end.kind == Kind::OtherUpstream && this->settings.doReleasesRaiseFences) {
            state.earlierOwners.erase(state.earlierOwners.begin());
            return;
        }
        // The earlier grantor may have ordered a release, too. Where releases don't raise fences,
        // its grants may still be carried out afterwards, also prolonged ones.
        const auto endsAt =
            this->settings.doReleasesRaiseFences ? this->latestEndOfWork(now) : state.latestHoldEnd;
        state.isReleased = state.isReleased || hasReleased;
        state.nextOrderAt = hasReleased ? endsAt : now + this->settings.retryPause;
        return;
    }
    if (hasReleased) {
        state.handover = end.handover;
        this->markUnowned(state, now);
        return;
    }
    state.phase = Phase::Expiring;
}

auto RangeGrantor::endHold(RangeState &state, Instant now) -> void
{
    if (!this->isOwnerUncertain(state)) {
        this->markUnowned(state, now);
        return;
    }
    this->markOutdated(state, now);
    this->markRecordChanged();
}

auto RangeGrantor::markUnowned(RangeState &state, Instant now) -> void
{
    state.phase = Phase::Unowned;
    state.holder.reset();
    state.earlierOwners.clear();
    state.needsNewFence = false;
    state.isUnconfirmedInTerm = false;
    state.failures = 0;
    state.nextOrderAt = now;
    state.confirmedUntil = Instant{};
}

auto RangeGrantor::onRecordStored(std::uint64_t version, Instant now) -> void
{
    this->storedRecordVersion = std::max(this->storedRecordVersion, version);
    this->isFirstRecordDue = false;
    this->advance(now);
}

auto RangeGrantor::advance(Instant now) -> void
{
    const auto isAnyDue = std::any_of(this->rangeStates.begin(), this->rangeStates.end(),
                                      [&](const RangeState &state) {
                                          return state.phase == Phase::Held && state.call.value == 0
                                                 && this->isRenewalDue(state, now);
                                      });
    if (isAnyDue) {
        this->coalesce();
    }
    this->advanceReleaseRound(now);
    for (auto &state : this->rangeStates) {
        this->advanceRange(state, now);
    }
}

auto RangeGrantor::advanceRange(RangeState &state, Instant now) -> void
{
    if (state.call.value != 0) {
        return;
    }
    this->followRestart(state, now);
    switch (state.phase) {
    case Phase::Unowned:
        this->grantToTarget(state, now);
        return;
    case Phase::Granting:
        // The first grant was not accepted: the same upstream is tried again, with a higher fence.
        if (state.failures >= failuresUntilLost || !this->isUsable(*state.holder)) {
            state.phase = Phase::Expiring;
            state.target.reset();
        } else if (now >= state.nextOrderAt) {
            this->renew(state, this->currentHoldTime(), now);
        }
        return;
    case Phase::Held:
        if (state.target && !state.needsNewFence && !state.isUnconfirmedInTerm
            && state.confirmedUntil != Instant{}) {
            this->startMove(state, now);
            return;
        }
        if (now >= state.confirmedUntil
            && (state.failures >= failuresUntilLost || this->isContradicted(*state.holder))) {
            if (this->isOwnerUncertain(state)) {
                this->endHold(state, now);
                return;
            }
            state.phase = Phase::Expiring;
            return;
        }
        // A grant that is on its way could be carried out after a release. This can't happen once
        // the holder has accepted a higher fence, so it is renewed before its keys move.
        if (this->isRenewalDue(state, now) && (state.target || this->isRunning(*state.holder))) {
            this->renew(state, this->currentHoldTime(), now);
        }
        return;
    case Phase::Expiring:
        if (now >= state.latestHoldEnd) {
            this->markUnowned(state, now);
        }
        return;
    case Phase::ReleasingEarlier:
        this->releaseEarlierOwners(state, now);
        return;
    case Phase::Outdated:
        if (now >= state.latestHoldEnd) {
            this->endOutdated(state, now);
        }
        return;
    case Phase::Releasing:
        return;
    }
}

auto RangeGrantor::followRestart(RangeState &state, Instant now) -> void
{
    const auto mayHold = state.phase == Phase::Granting || state.phase == Phase::Held
                         || state.phase == Phase::Expiring;
    const auto *entry = mayHold ? this->entryOf(state.holder->id) : nullptr;
    if (entry == nullptr || !isLater(entry->incarnation, state.holder->incarnation)) {
        return;
    }
    // Started anew, the holder doesn't refuse the present fence where others have moved keys.
    if (entry->address != state.holder->address || this->isOwnerUncertain(state)) {
        this->endHold(state, now);
        return;
    }
    // A higher fence rules out that an earlier grant is carried out after a release.
    state.holder->incarnation = entry->incarnation;
    state.needsNewFence = true;
    state.phase = state.phase == Phase::Expiring ? Phase::Held : state.phase;
    state.confirmedUntil = Instant{};
    state.handover.clear();
    state.failures = 0;
    state.nextOrderAt = now;
    this->markRecordChanged();
}

auto RangeGrantor::grantToTarget(RangeState &state, Instant now) -> void
{
    const auto *target = state.target ? this->entryOf(*state.target) : nullptr;
    if (target == nullptr || !target->takesNewWork()) {
        state.target.reset();
        return;
    }
    if (this->storedRecordVersion < state.requiredRecordVersion || now < state.nextOrderAt
        || now >= this->authorityEnd || !this->hasFence()) {
        return;
    }
    state.phase = Phase::Granting;
    state.holder = RangeHolder{target->id, target->incarnation, target->address};
    state.target.reset();
    state.fence = this->nextFence();
    state.latestHoldEnd = Instant{};
    state.sentHoldTime = this->currentHoldTime();
    this->issueOrder(state, RangeOrder::Kind::Grant, *state.holder, now);
}

auto RangeGrantor::renew(RangeState &state, Duration holdTime, Instant now) -> void
{
    if (now >= this->authorityEnd) {
        return;
    }
    if (state.needsNewFence && !state.isUnconfirmedInTerm) {
        if (!this->hasFence()) {
            return;
        }
        state.fence = this->nextFence();
    }
    state.sentHoldTime = holdTime;
    this->issueOrder(state, RangeOrder::Kind::Grant, *state.holder, now);
}

auto RangeGrantor::startMove(RangeState &state, Instant now) -> void
{
    if (now >= this->authorityEnd) {
        return;
    }
    state.phase = Phase::Releasing;
    state.earlierOwners = {*state.holder};
    state.requiredRecordVersion = this->markRecordChanged();
    this->issueOrder(state, RangeOrder::Kind::Release, *state.holder, now);
}

auto RangeGrantor::issueOrder(RangeState &state, RangeOrder::Kind kind, const RangeHolder &holder,
                              Instant now) -> void
{
    state.call = CallId{this->nextCallId++};
    state.sentAt = now;
    const auto isGrant = kind == RangeOrder::Kind::Grant;
    const auto isRenewal =
        isGrant && state.phase == Phase::Held && !state.needsNewFence && !state.isUnconfirmedInTerm;
    this->orders.push_back(RangeOrder{kind, state.call, holder.id, holder.address, state.range,
                                      state.fence, isGrant ? state.sentHoldTime : Duration{0},
                                      isGrant ? state.handover : std::string{}, isRenewal});
}

auto RangeGrantor::takeOrders() -> std::vector<RangeOrder>
{
    return std::exchange(this->orders, {});
}

auto RangeGrantor::splitAt(KeyPosition first) -> void
{
    const auto found =
        std::find_if(this->rangeStates.begin(), this->rangeStates.end(),
                     [&](const RangeState &state) { return state.range.contains(first); });
    if (found == this->rangeStates.end() || found->range.first == first) {
        return;
    }
    auto upper = *found;
    upper.range.first = first;
    found->range.last = static_cast<KeyPosition>(first - 1);
    this->rangeStates.insert(std::next(found), std::move(upper));
}

auto RangeGrantor::coalesce() -> void
{
    std::vector<RangeState> merged;
    for (auto &state : this->rangeStates) {
        const auto isIdle = [](const RangeState &each) {
            return each.phase == Phase::Held && each.call.value == 0 && !each.target
                   && each.confirmedUntil != Instant{} && !each.isUnconfirmedInTerm;
        };
        auto *last = merged.empty() ? nullptr : &merged.back();
        if (!isIdle(state) || last == nullptr || !isIdle(*last) || last->holder != state.holder) {
            merged.push_back(std::move(state));
            continue;
        }
        last->needsNewFence =
            last->needsNewFence || state.needsNewFence || last->fence != state.fence;
        last->fence = std::max(last->fence, state.fence);
        last->range.last = state.range.last;
        last->latestHoldEnd = std::max(last->latestHoldEnd, state.latestHoldEnd);
        last->confirmedUntil = std::min(last->confirmedUntil, state.confirmedUntil);
        last->nextOrderAt = std::min(last->nextOrderAt, state.nextOrderAt);
        last->ownedSince = std::max(last->ownedSince, state.ownedSince);
        last->failures = std::max(last->failures, state.failures);
        if (last->handover != state.handover) {
            last->handover.clear();
        }
    }
    this->rangeStates = std::move(merged);
}

auto RangeGrantor::markRecordChanged() -> std::uint64_t
{
    if (this->recordVersion == this->takenRecordVersion) {
        ++this->recordVersion;
    }
    return this->recordVersion;
}

auto RangeGrantor::stateOf(CallId call) -> RangeState *
{
    const auto found = std::find_if(this->rangeStates.begin(), this->rangeStates.end(),
                                    [&](const RangeState &state) { return state.call == call; });
    return found == this->rangeStates.end() ? nullptr : &*found;
}

auto RangeGrantor::entryOf(const UpstreamId &id) const -> const UpstreamEntry *
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

auto RangeGrantor::hasEnded(const RangeHolder &holder) const -> bool
{
    const auto *entry = this->entryOf(holder.id);
    return entry != nullptr && isLater(entry->incarnation, holder.incarnation)
           && entry->address != holder.address;
}

auto RangeGrantor::isContradicted(const RangeHolder &holder) const -> bool
{
    const auto *entry = this->entryOf(holder.id);
    return entry != nullptr && entry->incarnation != holder.incarnation
           && !isLater(entry->incarnation, holder.incarnation);
}

auto RangeGrantor::latestEndOfHold(Instant now, Duration holdTime) const -> Instant
{
    const auto drift = static_cast<double>(holdTime.count()) * this->settings.clockDriftShare;
    return now + holdTime + Duration{static_cast<std::int64_t>(drift)}
           + this->settings.deliveryMargin;
}

auto RangeGrantor::currentHoldTime() const -> Duration
{
    return this->areGrantsProlonged ? this->settings.longestHoldTime : this->settings.holdTime;
}

auto RangeGrantor::isRenewalDue(const RangeState &state, Instant now) const -> bool
{
    const auto isTooShort = this->areGrantsProlonged
                            && state.sentHoldTime < this->settings.longestHoldTime
                            && state.failures == 0;
    return now >= state.nextOrderAt || isTooShort;
}

auto RangeGrantor::jitteredRenewalInterval(const RangeState &state) const -> Duration
{
    // A hash of the first key spreads the renewals of the ranges, so that they don't come in
    // bursts.
    constexpr std::uint32_t hashMultiplier = 2654435761U;
    const auto jitter = static_cast<double>((state.range.first * hashMultiplier) >> 16U) / 65536.0;
    const auto factor = 1 - renewalJitterShare * jitter;
    return Duration{static_cast<std::int64_t>(
        static_cast<double>(this->settings.renewalInterval.count()) * factor)};
}

} // namespace gooseberrywall
