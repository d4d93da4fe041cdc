#include "dispatch/slotbroker.h"

#include "common/durations.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberrywall {

namespace {

using std::chrono::milliseconds;

/// An upstream that the entry daemon reaches itself is used first, unless it costs far more.
constexpr double forwardedCostFactor = 100;
/// How often waiting requests are checked for those that can't meet their deadline any more.
constexpr Duration backlogCheckInterval = milliseconds{20};
/// How often permits are checked for expiry while no request waits.
constexpr Duration permitCheckInterval = milliseconds{250};
/// Shortest time after which a refused caller is asked to retry.
constexpr Duration minRetryAfter = milliseconds{25};
/// Longest such time; callers wait for at most a third of their remaining time.
constexpr Duration maxRetryAfter = milliseconds{600};

} // namespace

auto ArrivalRate::record(Instant now) -> void
{
    this->rate = this->perSecond(now) + 1;
    this->updatedAt = now;
}

auto ArrivalRate::perSecond(Instant now) const -> double
{
    const auto seconds = std::chrono::duration<double>(now - this->updatedAt).count();
    return this->rate * std::exp(-std::max(0.0, seconds));
}

auto SlotBroker::IdHash::operator()(const PermitId &id) const noexcept -> std::size_t
{
    return std::hash<std::uint64_t>{}(id.incarnation * 1000003U + id.sequence);
}

SlotBroker::SlotBroker(ServiceName service, bool isSharded, SlotBrokerSettings settings,
                       RetryWindowSettings retries, std::uint64_t seed,
                       std::shared_ptr<RequestQuarantine> quarantine)
    : service(std::move(service))
    , isSharded(isSharded)
    , settings(settings)
    , retryWindow(retries)
    , quarantine(std::move(quarantine))
    , paths(settings.paths)
    , random(seed)
    , meanLatency(settings.initialLatency)
{
}

auto SlotBroker::setAuthority(const AuthorityPeriod &period) -> void
{
    this->retryWindow.setAuthority(period);
}

auto SlotBroker::setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void
{
    std::map<UpstreamId, Incarnation> former;
    for (const auto &[id, upstream] : this->upstreams) {
        former.emplace(id, upstream.entry.incarnation);
    }
    std::map<UpstreamId, Upstream> next;
    for (const auto &entry : entries) {
        const auto known = this->upstreams.find(entry.id);
        const auto isSameIncarnation =
            known != this->upstreams.end() && known->second.entry.incarnation == entry.incarnation;
        Upstream upstream = isSameIncarnation ? std::move(known->second) : Upstream{};
        this->takeInWarmUp(upstream, entry, now);
        upstream.entry = entry;
        upstream.process = UpstreamProcess{entry.id, entry.incarnation};
        next.emplace(entry.id, std::move(upstream));
    }
    for (const auto &[id, incarnation] : former) {
        const auto found = next.find(id);
        if (found == next.end()) {
            this->rememberGone(id);
        }
        if (found == next.end() || found->second.entry.incarnation != incarnation) {
            this->quarantine->onUpstreamLost(id, incarnation, now);
        }
    }
    this->upstreams = std::move(next);
    this->updateAllEvacuated();
    this->capacity.recalculateAt = now;
    this->fillQueues();
    this->grantFreeSlots(now);
}

auto SlotBroker::setOwners(std::vector<OwnedRange> ranges, Instant now) -> void
{
    this->ownedRanges = std::move(ranges);
    std::erase_if(this->turnedAwayKeys, [&](KeyPosition key) {
        const auto *range = this->rangeOf(key);
        return range == nullptr || !range->isLikely;
    });
    this->fillQueues();
    this->grantFreeSlots(now);
}

auto SlotBroker::ask(const PermitRequest &request, Instant now) -> void
{
    if (this->paths.onRequest(request, now)) {
        this->strand(request.id.entry, now);
    }
    if (const auto known = this->permits.find(request.id); known != this->permits.end()) {
        if (this->isRepeatable(known->first, known->second, now)) {
            this->issue(request, known->second.verdict, VerdictBasis{});
            return;
        }
        // The verdict was lost, and its upstream leaves or pauses meanwhile: another one is chosen.
        // An entry daemon uses only the first verdict that reaches it.
        this->rememberExpired(known->first, known->second, now);
        this->release(known->first, known->second, now);
        this->permits.erase(known);
    }
    if (this->backlog.contains(request.id)) {
        this->issue(request, PermitVerdict{}, VerdictBasis{});
        return;
    }
    if (!request.isRetry) {
        this->retryWindow.onRequest(now);
    }
    if (request.key) {
        ++this->keyCounts[*request.key];
    }
    WaitingRequest waiting{request, now + request.remaining, now + request.untilTarget, {}};
    const auto isLate = this->isLate(waiting, now);
    waiting.rank = WaitingRank{request.priority, isLate, waiting.deadline, this->nextArrival++};
    if (!isLate) {
        auto *owner = this->ownerOf(request);
        (owner != nullptr ? owner->onTimeArrivals : this->onTimeArrivals).record(now);
    }
    if (this->quarantine->isQuarantined(RequestFingerprint{request.fingerprint}, now)) {
        this->refuse(waiting, Reason::Quarantined, maxRetryAfter, now);
        return;
    }
    if (this->isUnreachable(request, now)) {
        this->refuse(waiting, Reason::UpstreamUnreachable,
                     this->unreachableRetryAfter(request.id.entry, now), now);
        return;
    }
    if (request.isRetry && !this->retryWindow.tryTake(now)) {
        this->refuse(waiting, Reason::RetryBudgetEmpty, this->jittered(this->meanLatency), now);
        return;
    }
    // A free slot means that no request waits for it: waiting requests get slots as they are freed.
    if (auto *upstream = this->pickUpstream(waiting, now)) {
        this->grant(waiting, *upstream, now);
        return;
    }
    const auto forecast = this->forecast(waiting, now);
    if (forecast.wait + forecast.latency > request.remaining || this->isEvacuatedAway(request)
        || this->backlog.size() >= this->settings.backlogLimit) {
        this->refuse(waiting, this->refusalReason(waiting, Reason::QueueFull, now),
                     this->jittered(std::max(forecast.wait / 2, this->meanLatency / 2)), now);
        return;
    }
    this->issue(request, PermitVerdict{}, this->verdictBasis(waiting, forecast, now));
    auto &placed = this->backlog.emplace(request.id, std::move(waiting)).first->second;
    this->queueOf(placed.request).insert(placed);
}

auto SlotBroker::report(const PermitReport &report, Instant now) -> void
{
    const auto permit = this->permits.find(report.id);
    if (permit == this->permits.end() || permit->second.upstream != report.upstream) {
        this->reportExpired(report, now);
        return;
    }
    const auto found = this->upstreams.find(report.upstream);
    if (found != this->upstreams.end()) {
        this->learn(report, found->second, now);
    }
    this->release(permit->first, permit->second, now);
    this->takeIn(UpstreamStatement{report.upstream, permit->second.verdict.incarnation,
                                   report.id.entry, permit->second.request, report.isLeaving,
                                   report.pause, report.leaveHint},
                 report.forwarder, permit->second.grantedAt, now);
    if (report.end == AttemptEnd::WrongOwner) {
        this->onTurnedAway(permit->second);
    }
    this->permits.erase(permit);
    if (found != this->upstreams.end()) {
        this->grantFreeSlotsOf(found->second, now);
    }
}

auto SlotBroker::cancel(const PermitId &id, Instant now) -> void
{
    this->removeWaiting(id);
    const auto permit = this->permits.find(id);
    if (permit == this->permits.end()) {
        return;
    }
    this->release(permit->first, permit->second, now);
    const auto upstream = this->upstreams.find(permit->second.upstream);
    this->permits.erase(permit);
    if (upstream != this->upstreams.end()) {
        upstream->second.limiter.onNotSent(now);
        this->grantFreeSlotsOf(upstream->second, now);
    }
}

auto SlotBroker::advance(Instant now) -> void
{
    this->paths.advance(now);
    this->checkPermits(now);
    this->endPauses(now);
    this->sharedQueue.updateLateness(this->meanLatency, now);
    this->ownerlessQueue.updateLateness(this->meanLatency, now);
    for (auto &[id, upstream] : this->upstreams) {
        upstream.waiting.updateLateness(this->meanLatency, now);
    }
    this->refuseUnservable(now);
    this->grantFreeSlots(now);
}

auto SlotBroker::checkPermits(Instant now) -> void
{
    for (auto &[id, permit] : this->permits) {
        if (permit.expiresAt <= now) {
            this->release(id, permit, now);
            this->rememberExpired(id, permit, now);
        } else if (permit.repeatAt <= now && this->isRepeatable(id, permit, now)) {
            permit.repeatAfter *= 2;
            permit.repeatAt = now + permit.repeatAfter;
            this->verdicts.push_back(
                IssuedVerdict{id, permit.request, permit.fingerprint, permit.verdict, {}});
        }
    }
    std::erase_if(this->permits, [&](const auto &entry) { return entry.second.expiresAt <= now; });
}

auto SlotBroker::nextDue(Instant now) const -> std::optional<Instant>
{
    if (!this->backlog.empty()) {
        return now + backlogCheckInterval;
    }
    if (!this->permits.empty()) {
        return now + permitCheckInterval;
    }
    return std::nullopt;
}

auto SlotBroker::takeVerdicts() -> std::vector<IssuedVerdict>
{
    return std::exchange(this->verdicts, {});
}

auto SlotBroker::takeKeyCounts() -> std::map<KeyPosition, std::uint32_t>
{
    return std::exchange(this->keyCounts, {});
}

auto SlotBroker::upstreamStatuses(Instant now) const -> std::vector<UpstreamStatus>
{
    std::vector<UpstreamStatus> result;
    for (const auto &[id, upstream] : this->upstreams) {
        result.push_back(UpstreamStatus{
            id, upstream.slotReduction.slotsOf(upstream.entry.slots, now),
            this->latencyOf(upstream, now), upstream.health.failureShare(now),
            upstream.entry.takesNewWork() && !upstream.health.isLimitedToTrials()
                && !this->isSilent(upstream, now),
            upstream.entry.isDraining, upstream.limiter.limit(now), upstream.grants.perSecond(now),
            upstream.entry.isEvacuated, upstream.limiter.isCold(now)});
    }
    return result;
}

auto SlotBroker::grantFreeSlots(Instant now) -> void
{
    for (auto &[id, upstream] : this->upstreams) {
        if (this->backlog.empty()) {
            return;
        }
        this->grantFreeSlotsOf(upstream, now);
    }
}

auto SlotBroker::grantFreeSlotsOf(Upstream &upstream, Instant now) -> void
{
    while (this->hasRoom(upstream, now)) {
        const auto *best = this->firstFor(upstream, now);
        if (best == nullptr) {
            return;
        }
        // Another upstream with a free slot may be better for the request than this one.
        auto *preferred = this->pickUpstream(*best, now);
        if (preferred == nullptr) {
            return;
        }
        this->grant(*best, *preferred, now);
        this->removeWaiting(PermitId{best->request.id});
    }
}

auto SlotBroker::isKeyed(const PermitRequest &request) const -> bool
{
    return this->isSharded && request.key.has_value();
}

auto SlotBroker::grant(const WaitingRequest &waiting, Upstream &upstream, Instant now) -> void
{
    PermitVerdict verdict;
    verdict.kind = PermitVerdict::Kind::Granted;
    verdict.upstream = upstream.entry.id;
    verdict.incarnation = upstream.entry.incarnation;
    verdict.address = upstream.entry.address;
    verdict.forwarder = this->forwarderFor(waiting.request.id.entry, upstream, now);
    if (this->isSharded && waiting.request.key) {
        verdict.ownedRange = this->rangeOf(*waiting.request.key)->keys;
    }
    if (upstream.inFlight == upstream.stranded) {
        upstream.noReportSince = now;
    }
    upstream.usage.onChange(++upstream.inFlight, now);
    const auto isTrial = !upstream.suspectedBy.empty();
    upstream.trials += isTrial ? 1 : 0;
    upstream.grants.record(now);
    upstream.limiter.onSent(now);
    upstream.pauses.onGranted(waiting.request.id.entry);
    if (verdict.forwarder.empty()) {
        upstream.lastUse[waiting.request.id.entry].grantedAt = now;
        this->paths.onDirectPermit(waiting.request.id.entry, upstream.process, now);
    } else {
        upstream.pauses.onGranted(verdict.forwarder);
        upstream.lastUse[verdict.forwarder].grantedAt = now;
        this->paths.onForwardingStart(verdict.forwarder, now);
    }
    const Forecast forecast{Duration{0}, this->latencyOf(upstream, now)};
    const auto repeatAfter = std::max(this->settings.minRepeatAfter,
                                      scaled(forecast.latency, this->settings.repeatLatencyFactor));
    this->permits[waiting.request.id] = Permit{waiting.request.request,
                                               upstream.entry.id,
                                               waiting.request.key,
                                               waiting.deadline + this->settings.permitGrace,
                                               verdict,
                                               RequestFingerprint{waiting.request.fingerprint},
                                               now + repeatAfter,
                                               repeatAfter,
                                               now,
                                               false,
                                               isTrial};
    this->issue(waiting.request, std::move(verdict), this->verdictBasis(waiting, forecast, now));
}

auto SlotBroker::refuse(const WaitingRequest &waiting, Reason reason, Duration retryAfter,
                        Instant now) -> void
{
    PermitVerdict verdict;
    verdict.kind = PermitVerdict::Kind::Refused;
    verdict.reason = reason;
    const auto pause = this->hinderingPause(waiting, now);
    verdict.retryAfter = pause && reason == Reason::UpstreamPaused
                             ? *pause
                             : std::clamp(retryAfter, minRetryAfter, maxRetryAfter);
    this->issue(waiting.request, std::move(verdict),
                this->verdictBasis(waiting, this->forecast(waiting, now), now));
}

auto SlotBroker::verdictBasis(const WaitingRequest &waiting, const Forecast &forecast, Instant now)
    -> VerdictBasis
{
    VerdictBasis basis;
    basis.backlogSize = this->backlog.size();
    basis.remaining = waiting.deadline - now;
    basis.expectedWait = forecast.wait;
    basis.expectedLatency = forecast.latency;
    if (this->isKeyed(waiting.request)) {
        basis.key = waiting.request.key;
        const auto *owner = this->ownerOf(waiting.request);
        basis.owner = owner != nullptr ? owner->entry.id : UpstreamId{};
    }
    return basis;
}

auto SlotBroker::issue(const PermitRequest &request, PermitVerdict verdict, VerdictBasis basis)
    -> void
{
    this->verdicts.push_back(IssuedVerdict{request.id, request.request,
                                           RequestFingerprint{request.fingerprint},
                                           std::move(verdict), std::move(basis)});
}

auto SlotBroker::rangeOf(KeyPosition key) const -> const OwnedRange *
{
    const auto after = std::upper_bound(
        this->ownedRanges.begin(), this->ownedRanges.end(), key,
        [](KeyPosition position, const OwnedRange &range) { return position < range.keys.first; });
    if (after == this->ownedRanges.begin()) {
        return nullptr;
    }
    const auto &range = *std::prev(after);
    return range.keys.contains(key) ? &range : nullptr;
}

auto SlotBroker::ownerOf(const PermitRequest &request) -> Upstream *
{
    const auto *owned = this->isKeyed(request) ? this->rangeOf(*request.key) : nullptr;
    if (owned == nullptr || !this->hasOwner(*owned, *request.key)) {
        return nullptr;
    }
    const auto found = this->upstreams.find(*owned->owner);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

auto SlotBroker::pickUpstream(const WaitingRequest &waiting, Instant now) -> Upstream *
{
    const auto &request = waiting.request;
    if (this->isKeyed(request)) {
        auto *owner = this->ownerOf(request);
        const auto isFree = owner != nullptr && this->hasRoom(*owner, now)
                            && this->maySend(request.id.entry, *owner, now);
        return isFree ? owner : nullptr;
    }
    Upstream *best = nullptr;
    double lowestCost = 0;
    const auto isIsolated = this->paths.isIsolated(request.id.entry);
    const auto isImpaired = !isIsolated && this->paths.isImpaired(request.id.entry);
    for (auto &[id, upstream] : this->upstreams) {
        if (upstream.entry.isEvacuated || !this->hasRoom(upstream, now)
            || !upstream.pauses.allows(request.id.entry, now)
            || (isIsolated && !this->hasForwarder(request.id.entry, upstream, now))) {
            continue;
        }
        const auto needsForwarder =
            isImpaired && !this->paths.reaches(request.id.entry, upstream.process, now);
        const auto cost =
            this->costOf(upstream, request, now) * (needsForwarder ? forwardedCostFactor : 1);
        if (best == nullptr || cost < lowestCost) {
            best = &upstream;
            lowestCost = cost;
        }
    }
    return best;
}

auto SlotBroker::jittered(Duration base) -> Duration
{
    std::uniform_real_distribution<double> factor(0.7, 1.5);
    return scaled(base, factor(this->random));
}

} // namespace gooseberrywall
