#include "dispatch/slotbroker.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// An upstream that may have become cold counts as cold for this long, unless its entry states
/// otherwise before.
constexpr Duration suspicionTime = std::chrono::seconds{2};
/// Bounds the memory of upstreams whose entries have disappeared.
constexpr std::size_t maxGoneUpstreams = 4096;

} // namespace

auto SlotBroker::setWarmUpRate(double perSecond, Instant now) -> void
{
    if (perSecond == this->warmUpPerSecond) {
        return;
    }
    this->warmUpPerSecond = perSecond;
    for (auto &[id, upstream] : this->upstreams) {
        this->updateWarmUp(upstream, now);
    }
    this->capacity.recalculateAt = now;
}

auto SlotBroker::suspectCold(const UpstreamId &id, Instant now) -> void
{
    if (const auto found = this->upstreams.find(id); found != this->upstreams.end()) {
        this->suspectCold(found->second, now);
    }
}

auto SlotBroker::suspectCold(Upstream &upstream, Instant now) -> void
{
    upstream.coldUntil = std::max(upstream.coldUntil, now + suspicionTime);
    this->updateWarmUp(upstream, now);
    this->capacity.recalculateAt = now;
}

auto SlotBroker::updateWarmUp(Upstream &upstream, Instant now) const -> void
{
    upstream.limiter.setWarmUp(this->warmUpPerSecond, upstream.coldUntil, now);
}

auto SlotBroker::takeInWarmUp(Upstream &upstream, const UpstreamEntry &entry, Instant now) -> void
{
    const auto &former = upstream.entry;
    const auto isKnown = former.id == entry.id;
    const auto hasChanged = !isKnown || former.remainingWarmUp != entry.remainingWarmUp;
    if (hasChanged) {
        upstream.warmUpEnd = now + entry.remainingWarmUp;
    }
    if (hasChanged || former.warmUpRevision != entry.warmUpRevision) {
        upstream.coldUntil = now + entry.remainingWarmUp;
    }
    const auto isBack =
        isKnown ? former.isMissing && !entry.isMissing : this->goneUpstreams.erase(entry.id) > 0;
    // Upstreams may have become cold in the course of an evacuation.
    const auto isTakenBack = entry.evacuationEndedAt > former.evacuationEndedAt
                             && now - entry.evacuationEndedAt < suspicionTime;
    if (isBack || isTakenBack) {
        upstream.coldUntil = std::max(upstream.coldUntil, now + suspicionTime);
    }
    this->updateWarmUp(upstream, now);
}

auto SlotBroker::updateReach(Upstream &upstream, AttemptEnd end, Instant now) -> void
{
    const auto wasUnreached = upstream.isUnreached;
    const auto isSent = end != AttemptEnd::NotSent;
    upstream.isUnreached = upstream.health.hasFailures()
                           && (wasUnreached || !isSent || upstream.health.isLimitedToTrials());
    const auto hasFailed = !isSent || end == AttemptEnd::NoAnswer;
    if (upstream.isUnreached ? hasFailed : wasUnreached) {
        this->suspectCold(upstream, now);
    }
}

auto SlotBroker::rememberGone(const UpstreamId &id) -> void
{
    if (this->goneUpstreams.size() < maxGoneUpstreams) {
        this->goneUpstreams.insert(id);
    }
}

} // namespace gooseberrywall
