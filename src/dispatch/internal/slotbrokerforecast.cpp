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

} // namespace

auto SlotBroker::hasRoom(const Upstream &upstream, Instant now) const -> bool
{
    if (upstream.entry.isDraining || upstream.health.isBlocked(now)) {
        return false;
    }
    if (upstream.health.isLimitedToTrials() || this->isSilent(upstream, now)) {
        return upstream.inFlight == 0;
    }
    const auto otherRequests = now < upstream.otherRequestsValidUntil ? upstream.otherRequests : 0;
    return upstream.inFlight + otherRequests < upstream.entry.slots;
}

auto SlotBroker::isSilent(const Upstream &upstream, Instant now) const -> bool
{
    if (upstream.inFlight == 0) {
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
        || now - lastUse->second > this->settings.connectionKeepAlive) {
        cost += static_cast<double>(this->settings.connectionPenalty.count());
    }
    // Upstreams slow down as they fill.
    cost *= 1 + 0.1 * upstream.inFlight / std::max(1, upstream.entry.slots);
    const auto isAvoided = std::find(request.avoid.begin(), request.avoid.end(), upstream.entry.id)
                           != request.avoid.end();
    return isAvoided ? cost * 100 : cost;
}

auto SlotBroker::forecast(const WaitingRequest &waiting, Instant now) const -> Forecast
{
    const auto ranksAhead = [&](const WaitingRequest &other) {
        return this->ranksBefore(other, waiting, now);
    };
    if (this->isKeyed(waiting.request) && waiting.owner == nullptr) {
        const auto *owned = this->rangeOf(*waiting.request.key);
        const auto readyAt = owned == nullptr ? now : owned->readyAt;
        return Forecast{std::max(Duration{0}, Duration{readyAt - now}), this->meanLatency};
    }
    if (waiting.owner != nullptr) {
        const auto &upstream = *waiting.owner;
        const auto latency = this->latencyOf(upstream, now);
        const auto ahead = std::count_if(
            this->backlog.begin(), this->backlog.end(), [&](const WaitingRequest &other) {
                return other.owner == waiting.owner && ranksAhead(other);
            });
        const auto blocked = std::max(Duration{0}, Duration{upstream.health.blockedUntil() - now});
        const auto isFree = this->hasRoom(upstream, now) && ahead == 0;
        const auto servedPerSecond =
            upstream.entry.slots / std::max(0.001, std::chrono::duration<double>(latency).count());
        const auto overtakingPerSecond =
            this->isLate(waiting, now) ? upstream.onTimeArrivals.perSecond(now) : 0.0;
        const auto queue =
            isFree ? Duration{0} : this->queueTime(ahead, servedPerSecond, overtakingPerSecond);
        return Forecast{std::max(blocked, queue), latency};
    }
    double requestsPerMicrosecond = 0;
    auto isFree = false;
    for (const auto &[id, upstream] : this->upstreams) {
        if (upstream.entry.isDraining || upstream.health.isLimitedToTrials()
            || this->isSilent(upstream, now)) {
            continue;
        }
        isFree = isFree || this->hasRoom(upstream, now);
        requestsPerMicrosecond += static_cast<double>(upstream.entry.slots)
                                  / static_cast<double>(std::max<std::int64_t>(
                                      1, this->latencyOf(upstream, now).count()));
    }
    const auto ahead = std::count_if(this->backlog.begin(), this->backlog.end(), ranksAhead);
    if (isFree && ahead == 0) {
        return Forecast{Duration{0}, this->meanLatency};
    }
    if (requestsPerMicrosecond <= 0) {
        // There is no usable upstream; one may join or recover while the request waits.
        return Forecast{waiting.request.remaining / 2, this->meanLatency};
    }
    const auto overtakingPerSecond =
        this->isLate(waiting, now) ? this->onTimeArrivals.perSecond(now) : 0.0;
    return Forecast{this->queueTime(ahead, requestsPerMicrosecond * 1e6, overtakingPerSecond),
                    this->meanLatency};
}

auto SlotBroker::isLate(const WaitingRequest &waiting, Instant now) const -> bool
{
    return now + this->meanLatency > waiting.target;
}

auto SlotBroker::queueTime(std::ptrdiff_t ahead, double servedPerSecond,
                           double overtakingPerSecond) const -> Duration
{
    const auto availablePerSecond =
        std::max(servedPerSecond - overtakingPerSecond, minShareForLate * servedPerSecond);
    return Duration{
        static_cast<std::int64_t>(1e6 * static_cast<double>(ahead + 1) / availablePerSecond)};
}

auto SlotBroker::ranksBefore(const WaitingRequest &left, const WaitingRequest &right,
                             Instant now) const -> bool
{
    if (left.request.priority != right.request.priority) {
        return left.request.priority < right.request.priority;
    }
    // Requests that can still meet their target go first: under overload, serving strictly by age
    // would make every answer late.
    const auto isLeftLate = this->isLate(left, now);
    const auto isRightLate = this->isLate(right, now);
    if (isLeftLate != isRightLate) {
        return isRightLate;
    }
    return left.deadline < right.deadline;
}

auto SlotBroker::hasNoOwnerInTime(const WaitingRequest &waiting, Instant now) const -> bool
{
    if (!this->isKeyed(waiting.request)) {
        return false;
    }
    const auto *owned = this->rangeOf(*waiting.request.key);
    return owned != nullptr && !owned->owner
           && std::max(now, owned->readyAt) + this->meanLatency > waiting.deadline;
}

} // namespace gooseberrywall
