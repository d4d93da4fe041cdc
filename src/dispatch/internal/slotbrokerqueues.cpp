#include "common/durations.h"
#include "dispatch/slotbroker.h"

#include <vector>

namespace gooseberrywall {

namespace {

using std::chrono::milliseconds;

/// A request is refused if less than this share of the expected latency is left until its deadline:
/// it isn't worth a slot.
constexpr double minLatencyShareLeft = 0.6;
/// How often the waits of late requests are forecast again.
constexpr Duration lateCheckInterval = milliseconds{40};

} // namespace

auto SlotBroker::firstFor(const Upstream &upstream, Instant now) const -> WaitingRequest *
{
    const auto isEligible = [&](const PermitRequest &request) {
        return this->maySend(request.id.entry, upstream, now);
    };
    auto *own = upstream.waiting.first(now, isEligible);
    auto *shared = upstream.entry.isEvacuated ? nullptr : this->sharedQueue.first(now, isEligible);
    if (own == nullptr || shared == nullptr) {
        return own != nullptr ? own : shared;
    }
    return own->rank < shared->rank ? own : shared;
}

auto SlotBroker::fillQueues() -> void
{
    this->sharedQueue.clear();
    this->ownerlessQueue.clear();
    for (auto &[id, upstream] : this->upstreams) {
        upstream.waiting.clear();
    }
    for (auto &[id, waiting] : this->backlog) {
        this->queueOf(waiting.request).insert(waiting);
    }
}

auto SlotBroker::queueOf(const PermitRequest &request) -> WaitingQueue &
{
    if (!this->isKeyed(request)) {
        return this->sharedQueue;
    }
    auto *owner = this->ownerOf(request);
    return owner != nullptr ? owner->waiting : this->ownerlessQueue;
}

auto SlotBroker::hasOwner(const OwnedRange &range, KeyPosition key) const -> bool
{
    return range.owner && !(range.isLikely && this->turnedAwayKeys.contains(key));
}

auto SlotBroker::onTurnedAway(const Permit &permit) -> void
{
    const auto *range = permit.key ? this->rangeOf(*permit.key) : nullptr;
    const auto isOfLikelyOwner =
        range != nullptr && range->isLikely && range->owner == permit.upstream;
    if (isOfLikelyOwner && this->turnedAwayKeys.insert(*permit.key).second) {
        this->fillQueues();
    }
}

auto SlotBroker::removeWaiting(const PermitId &id) -> void
{
    const auto found = this->backlog.find(id);
    if (found != this->backlog.end()) {
        this->queueOf(found->second.request).erase(found->second);
        this->backlog.erase(found);
    }
}

auto SlotBroker::refuseUnservable(Instant now) -> void
{
    const auto isLateCheckDue = now >= this->lateCheckDue;
    if (isLateCheckDue) {
        this->lateCheckDue = now + lateCheckInterval;
    }
    std::vector<PermitId> refused;
    for (const auto &[id, waiting] : this->backlog) {
        const auto isUnreachable = isLateCheckDue && this->hasNoForwarder(id.entry, now);
        if (isUnreachable || this->isEvacuatedAway(waiting.request)
            || this->hasNoOwnerInTime(waiting, now)
            || this->isUnservable(waiting, isLateCheckDue, now)
            || (isLateCheckDue && this->hinderingPause(waiting, now))) {
            this->refuse(waiting, this->refusalReason(waiting, Reason::DeadlineTooShort, now),
                         isUnreachable ? this->unreachableRetryAfter(id.entry, now)
                                       : this->jittered(this->meanLatency / 2),
                         now);
            refused.push_back(id);
        }
    }
    for (const auto &id : refused) {
        this->removeWaiting(id);
    }
}

auto SlotBroker::isUnservable(const WaitingRequest &waiting, bool isLateCheckDue, Instant now)
    -> bool
{
    const auto remaining = waiting.deadline - now;
    const auto *owner = this->ownerOf(waiting.request);
    const auto latency = owner != nullptr ? this->latencyOf(*owner, now) : this->meanLatency;
    if (remaining < scaled(latency, minLatencyShareLeft)) {
        return true;
    }
    if (!isLateCheckDue || !this->isLate(waiting, now)) {
        return false;
    }
    const auto forecast = this->forecast(waiting, now);
    return forecast.wait + scaled(forecast.latency, minLatencyShareLeft) > remaining;
}

} // namespace gooseberrywall
