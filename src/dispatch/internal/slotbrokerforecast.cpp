#include "dispatch/slotbroker.h"

#include "common/durations.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

/// An upstream that hasn't answered for this many mean latencies gets no further requests.
constexpr int silenceLatencyFactor = 5;
/// Minimum of that time: where requests are short, a brief pause isn't a loss.
constexpr Duration minSilence = std::chrono::milliseconds{250};
/// Share of the slots that late requests are assumed to get when on-time requests need all of them.
constexpr double minShareForLate = 0.05;
/// Upstreams take about twice as long while they warm up.
constexpr double warmUpLatencyFactor = 2.0;
/// Lower bound of latencies where rates are reckoned from them.
constexpr double minLatencySeconds = 0.001;
/// With a lower mean utilisation, single requests determine which upstream is the busiest.
constexpr double minComparedUtilisation = 0.1;
/// How often the capacity of all upstreams is calculated; it changes little in this time.
constexpr Duration capacityInterval = std::chrono::milliseconds{10};

} // namespace

auto SlotBroker::hasRoom(const Upstream &upstream, Instant now) const -> bool
{
    if (!upstream.entry.isOwnerServing(now) || upstream.health.isBlocked(now)
        || !upstream.limiter.allows(now)) {
        return false;
    }
    if (upstream.health.isLimitedToTrials() || this->isSilent(upstream, now)) {
        return upstream.inFlight == upstream.stranded && upstream.inFlight < upstream.entry.slots;
    }
    // Requests of before may hang at the VMs that caused the suspicion.
    if (!upstream.suspectedBy.empty() && upstream.trials > 0) {
        return false;
    }
    return upstream.inFlight + upstream.load.recentOthers(now)
           < upstream.slotReduction.slotsOf(upstream.entry.slots, now);
}

auto SlotBroker::isSilent(const Upstream &upstream, Instant now) const -> bool
{
    if (upstream.inFlight == upstream.stranded) {
        return false;
    }
    const auto silence = now - std::max(upstream.noReportSince, upstream.health.lastAnswerAt());
    return silence > std::max(minSilence, this->meanLatency * silenceLatencyFactor);
}

auto SlotBroker::latencyOf(const Upstream &upstream, Instant now) const -> Duration
{
    const auto latency = upstream.health.expectedLatency(this->meanLatency, now);
    const auto isWarmingUp = now < upstream.warmUpEnd;
    return isWarmingUp ? std::max(latency, scaled(this->meanLatency, warmUpLatencyFactor))
                       : latency;
}

auto SlotBroker::costOf(const Upstream &upstream, const PermitRequest &request, Instant now) const
    -> double
{
    auto cost = static_cast<double>(this->latencyOf(upstream, now).count());
    const auto failures = upstream.health.failureShare(now);
    cost *= 1 + 2 * failures;
    if (failures > this->settings.unhealthyFailureShare) {
        cost *= 8;
    }
    if (upstream.entry.domain != request.domain) {
        cost += static_cast<double>(this->settings.domainPenalty.count());
    }
    const auto lastUse = upstream.lastUse.find(request.id.entry);
    if (lastUse == upstream.lastUse.end()
        || now - lastUse->second.grantedAt > this->settings.connectionKeepAlive) {
        cost += static_cast<double>(this->settings.connectionPenalty.count());
    }
    // All requests without a key pass through this grantor, so none of others are usual.
    const auto requests = upstream.load.requests(upstream.inFlight, 0, now) + 1;
    // At most full, so that the weight stays below the penalties for failing and avoided upstreams.
    const auto utilisation = std::min(1.0, requests / std::max(1, upstream.entry.slots));
    cost = weightedResponseTime(cost, upstream.load.slowdown(now), utilisation,
                                this->settings.loadWeight);
    cost *= upstream.entry.isMissing ? 100 : 1;
    const auto isAvoided = std::find(request.avoid.begin(), request.avoid.end(), upstream.entry.id)
                           != request.avoid.end();
    return isAvoided ? cost * 100 : cost;
}

auto SlotBroker::busiestShare(Instant now) const -> std::optional<double>
{
    auto busiest = 0.0;
    auto sum = 0.0;
    auto count = 0;
    for (const auto &[id, upstream] : this->upstreams) {
        if (upstream.entry.isDraining || upstream.entry.isMissing) {
            continue;
        }
        const auto utilisation = upstream.usage.mean(now) / std::max(1, upstream.entry.slots);
        busiest = std::max(busiest, utilisation);
        sum += utilisation;
        ++count;
    }
    return count > 0 && sum / count >= minComparedUtilisation ? std::optional(busiest * count / sum)
                                                              : std::nullopt;
}

auto SlotBroker::forecast(const WaitingRequest &waiting, Instant now) -> Forecast
{
    const auto *owner = this->ownerOf(waiting.request);
    if (this->isKeyed(waiting.request) && owner == nullptr) {
        const auto *owned = this->rangeOf(*waiting.request.key);
        const auto readyAt = owned == nullptr ? now : owned->readyAt;
        return Forecast{std::max(Duration{0}, Duration{readyAt - now}), this->meanLatency};
    }
    if (owner != nullptr) {
        const auto &upstream = *owner;
        const auto latency = this->latencyOf(upstream, now);
        const auto ahead = upstream.waiting.countBefore(waiting.rank);
        const auto blocked = std::max({Duration{0}, Duration{upstream.health.blockedUntil() - now},
                                       upstream.pauses.remaining(waiting.request.id.entry, now)});
        if (this->isHeldByLimit(upstream, now)) {
            return Forecast{std::max(blocked, this->limitedWait(waiting, upstream, ahead, now)),
                            latency};
        }
        const auto isFree = this->hasRoom(upstream, now) && ahead == 0;
        const auto servedPerSecond = this->servedPerSecond(upstream, now);
        const auto overtakingPerSecond =
            this->isLate(waiting, now) ? upstream.onTimeArrivals.perSecond(now) : 0.0;
        const auto queue =
            isFree ? Duration{0} : this->queueTime(ahead, servedPerSecond, overtakingPerSecond);
        return Forecast{std::max(blocked, queue), latency};
    }
    const auto shared = this->capacityFor(waiting.request.id.entry, now);
    const auto ahead = this->countBefore(waiting.rank);
    if (shared.hasRoom && ahead == 0) {
        return Forecast{Duration{0}, this->meanLatency};
    }
    if (shared.requestsPerSecond <= 0 && shared.pauseLeft) {
        return Forecast{*shared.pauseLeft, this->meanLatency};
    }
    if (shared.requestsPerSecond <= 0) {
        // There is no usable upstream; one may join or recover while the request waits.
        return Forecast{waiting.request.remaining / 2, this->meanLatency};
    }
    const auto overtakingPerSecond =
        this->isLate(waiting, now) ? this->onTimeArrivals.perSecond(now) : 0.0;
    return Forecast{this->queueTime(ahead, shared.requestsPerSecond, overtakingPerSecond),
                    this->meanLatency};
}

auto SlotBroker::countBefore(const WaitingRank &rank) const -> std::size_t
{
    auto count = this->sharedQueue.countBefore(rank);
    if (this->isSharded) {
        count += this->ownerlessQueue.countBefore(rank);
        for (const auto &[id, upstream] : this->upstreams) {
            count += upstream.waiting.countBefore(rank);
        }
    }
    return count;
}

auto SlotBroker::sharedCapacity(Instant now) -> const SharedCapacity &
{
    if (now < this->capacity.recalculateAt) {
        return this->capacity;
    }
    this->capacity = SharedCapacity{0, false, now + capacityInterval};
    for (const auto &[id, upstream] : this->upstreams) {
        this->addCapacity(upstream, this->capacity, now);
    }
    return this->capacity;
}

auto SlotBroker::capacityFor(const Address &entry, Instant now) -> SharedCapacity
{
    const auto isPaused = [&](const auto &row) {
        return row.second.pauses.remaining(entry, now) > Duration{0};
    };
    if (this->pausingCount == 0
        || std::none_of(this->upstreams.begin(), this->upstreams.end(), isPaused)) {
        return this->sharedCapacity(now);
    }
    SharedCapacity result;
    for (const auto &[id, upstream] : this->upstreams) {
        const auto left = upstream.pauses.remaining(entry, now);
        if (left == Duration{0}) {
            this->addCapacity(upstream, result, now);
        } else if (upstream.entry.takesNewWork()) {
            result.pauseLeft = std::min(result.pauseLeft.value_or(left), left);
        }
    }
    return result;
}

auto SlotBroker::addCapacity(const Upstream &upstream, SharedCapacity &sum, Instant now) const
    -> void
{
    if (!upstream.entry.takesNewWork() || upstream.health.isLimitedToTrials()
        || this->isSilent(upstream, now)) {
        return;
    }
    sum.hasRoom = sum.hasRoom || this->hasRoom(upstream, now);
    sum.requestsPerSecond += this->servedPerSecond(upstream, now);
}

auto SlotBroker::servedPerSecond(const Upstream &upstream, Instant now) const -> double
{
    const auto seconds = std::chrono::duration<double>(this->latencyOf(upstream, now)).count();
    const auto slots = upstream.slotReduction.slotsOf(upstream.entry.slots, now);
    return std::min(slots / std::max(minLatencySeconds, seconds),
                    upstream.limiter.ratePerSecond(now));
}

auto SlotBroker::isHeldByLimit(const Upstream &upstream, Instant now) const -> bool
{
    return this->servedPerSecond(upstream, now) >= upstream.limiter.ratePerSecond(now);
}

auto SlotBroker::limitedWait(const WaitingRequest &waiting, const Upstream &upstream,
                             std::size_t ahead, Instant now) const -> Duration
{
    const auto perSecond = upstream.limiter.ratePerSecond(now);
    const auto next = upstream.limiter.timeToNext(now);
    const auto wait = ahead == 0 ? next : next + this->queueTime(ahead - 1, perSecond, 0);
    // A request that is late by then is overtaken by those that aren't.
    const auto lateAt = std::max(now, waiting.target - this->meanLatency);
    if (now + wait <= lateAt) {
        return wait;
    }
    const auto overtakingPerSecond = upstream.onTimeArrivals.perSecond(now);
    const auto overdueSeconds = std::chrono::duration<double>(now + wait - lateAt).count();
    const auto aheadWhenLate = static_cast<std::size_t>(overdueSeconds * perSecond);
    return (lateAt - now) + this->queueTime(aheadWhenLate, perSecond, overtakingPerSecond);
}

auto SlotBroker::refusalReason(const WaitingRequest &waiting, Reason otherwise, Instant now)
    -> Reason
{
    if (this->hasNoOwnerInTime(waiting, now) || this->isEvacuatedAway(waiting.request)) {
        return Reason::NoOwner;
    }
    if (this->hasNoForwarder(waiting.request.id.entry, now)) {
        return Reason::UpstreamUnreachable;
    }
    if (this->hinderingPause(waiting, now)) {
        return Reason::UpstreamPaused;
    }
    const auto *owner = this->ownerOf(waiting.request);
    return owner != nullptr && this->isHeldByLimit(*owner, now) ? Reason::RequestLimitReached
                                                                : otherwise;
}

auto SlotBroker::isLate(const WaitingRequest &waiting, Instant now) const -> bool
{
    return now + this->meanLatency > waiting.target;
}

auto SlotBroker::queueTime(std::size_t ahead, double servedPerSecond,
                           double overtakingPerSecond) const -> Duration
{
    const auto availablePerSecond =
        std::max(servedPerSecond - overtakingPerSecond, minShareForLate * servedPerSecond);
    return Duration{
        static_cast<std::int64_t>(1e6 * static_cast<double>(ahead + 1) / availablePerSecond)};
}

auto SlotBroker::hasNoOwnerInTime(const WaitingRequest &waiting, Instant now) const -> bool
{
    if (!this->isKeyed(waiting.request)) {
        return false;
    }
    const auto *owned = this->rangeOf(*waiting.request.key);
    return owned != nullptr && !this->hasOwner(*owned, *waiting.request.key)
           && std::max(now, owned->readyAt) + this->meanLatency > waiting.deadline;
}

} // namespace gooseberrywall
