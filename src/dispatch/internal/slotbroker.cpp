#include "dispatch/slotbroker.h"

#include "common/durations.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberrywall {

namespace {

using std::chrono::milliseconds;

/// Weight of one answer in the service's mean latency.
constexpr double meanWeight = 0.02;
/// While requests wait, they are looked at this often for those that can't be served any more.
constexpr Duration waitingTick = milliseconds{20};
/// Lost permits are looked for this often.
constexpr Duration permitTick = milliseconds{250};
/// What an answer says of other daemons' requests is believed for this time.
constexpr Duration foreignFor = milliseconds{200};
/// Share of the expected latency that must be left for an attempt to be worth its slot.
constexpr double leastShareLeft = 0.6;
/// Late requests' chances are forecast anew this often.
constexpr Duration lateCheckEvery = milliseconds{40};
/// Least time after which a refused caller is asked to come back.
constexpr Duration leastRetryAfter = milliseconds{25};
/// Longest such time: callers wait at most a third of their time.
constexpr Duration longestRetryAfter = milliseconds{600};

} // namespace

auto ArrivalRate::count(Instant now) -> void
{
    this->rate = this->perSecond(now) + 1;
    this->countedAt = now;
}

auto ArrivalRate::perSecond(Instant now) const -> double
{
    const auto seconds = std::chrono::duration<double>(now - this->countedAt).count();
    return this->rate * std::exp(-std::max(0.0, seconds));
}

auto SlotBroker::IdHash::operator()(const PermitId &id) const noexcept -> std::size_t
{
    return std::hash<std::uint64_t>{}(id.incarnation * 1000003U + id.sequence);
}

SlotBroker::SlotBroker(ServiceName service, bool isSharded, SlotBrokerSettings settings,
                       RetryWindowSettings retries, std::uint64_t seed)
    : service(std::move(service))
    , isSharded(isSharded)
    , settings(settings)
    , retries(retries)
    , random(seed)
    , meanLatency(settings.firstLatency)
{
}

auto SlotBroker::setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void
{
    std::map<UpstreamId, Upstream> next;
    for (const auto &entry : entries) {
        const auto known = this->upstreams.find(entry.id);
        const auto isSameLife =
            known != this->upstreams.end() && known->second.entry.incarnation == entry.incarnation;
        Upstream upstream = isSameLife ? known->second : Upstream{};
        if (!isSameLife || upstream.entry.remainingWarmUp != entry.remainingWarmUp) {
            upstream.coldUntil = now + entry.remainingWarmUp;
        }
        upstream.entry = entry;
        next.emplace(entry.id, std::move(upstream));
    }
    for (const auto &[id, old] : this->upstreams) {
        const auto found = next.find(id);
        if (found == next.end() || found->second.entry.incarnation != old.entry.incarnation) {
            this->crashes.onLost(id, old.entry.incarnation, now);
        }
    }
    this->upstreams = std::move(next);
    this->assignOwners();
    this->match(now);
}

auto SlotBroker::setOwners(std::vector<OwnedRange> spans, Instant now) -> void
{
    this->owners = std::move(spans);
    this->assignOwners();
    this->match(now);
}

auto SlotBroker::ask(const PermitRequest &request, Instant now) -> void
{
    if (const auto known = this->permits.find(request.id); known != this->permits.end()) {
        this->issue(request, known->second.verdict, VerdictBasis{});
        return;
    }
    const auto isWaiting =
        std::any_of(this->waiting.begin(), this->waiting.end(),
                    [&](const Waiting &w) { return w.request.id == request.id; });
    if (isWaiting) {
        this->issue(request, PermitVerdict{}, VerdictBasis{});
        return;
    }
    if (!request.isRetry) {
        this->retries.onRequest(now);
    }
    if (request.key) {
        ++this->keyCounts[*request.key];
    }
    Waiting entry{request, now + request.remaining, now + request.untilTarget,
                  this->ownerOf(request)};
    if (!this->isLate(entry, now)) {
        (entry.owner != nullptr ? entry.owner->fresh : this->fresh).count(now);
    }
    if (this->crashes.isQuarantined(RequestPrint{request.fingerprint}, now)) {
        this->refuse(entry, Reason::Quarantined, longestRetryAfter, now);
        return;
    }
    if (request.isRetry && !this->retries.take(now)) {
        this->refuse(entry, Reason::RetryBudgetEmpty, this->spread(this->meanLatency), now);
        return;
    }
    // Where a slot is free nobody waits for it: whoever waited has been given one before.
    if (auto *upstream = this->pick(entry, now)) {
        this->grant(entry, *upstream, now);
        return;
    }
    const auto outlook = this->forecast(entry, now);
    if (outlook.wait + outlook.service > request.remaining
        || this->waiting.size() >= this->settings.waitingLimit) {
        const auto isAway = this->isOwnerAway(entry, now);
        this->refuse(entry, isAway ? Reason::NoOwner : Reason::QueueFull,
                     this->spread(std::max(outlook.wait / 2, this->meanLatency / 2)), now);
        return;
    }
    this->issue(request, PermitVerdict{}, this->basisOf(entry, outlook, now));
    this->waiting.push_back(std::move(entry));
}

auto SlotBroker::report(const PermitReport &report, Instant now) -> void
{
    const auto found = this->upstreams.find(report.upstream);
    if (found != this->upstreams.end()) {
        auto &upstream = found->second;
        this->learnCrashes(report, upstream, now);
        upstream.health.onEnd(report.end, report.latency, now);
        upstream.busySince = now;
        if (report.load) {
            const auto theirs = report.load->running + report.load->waiting - upstream.inFlight;
            upstream.foreign = std::max(0, theirs);
            upstream.foreignUntil = now + foreignFor;
        }
        if (report.end == AttemptEnd::Answered) {
            const auto difference = report.latency - this->meanLatency;
            this->meanLatency += scaled(difference, meanWeight);
        }
    }
    if (const auto permit = this->permits.find(report.id); permit != this->permits.end()) {
        this->release(permit->second, now);
        this->permits.erase(permit);
    }
    if (found != this->upstreams.end()) {
        this->matchFreed(found->second, now);
    }
}

auto SlotBroker::learnCrashes(const PermitReport &report, const Upstream &upstream, Instant now)
    -> void
{
    const auto permit = this->permits.find(report.id);
    const auto print = permit == this->permits.end() ? RequestPrint{} : permit->second.print;
    switch (report.end) {
    case AttemptEnd::NoAnswer:
        this->crashes.onUnanswered(print, upstream.entry.id, upstream.entry.incarnation, now);
        return;
    case AttemptEnd::NotSent:
        this->crashes.onLost(upstream.entry.id, upstream.entry.incarnation, now);
        return;
    case AttemptEnd::Answered:
    case AttemptEnd::Failed:
        this->crashes.onAnswered(print);
        return;
    case AttemptEnd::NotRun:
    case AttemptEnd::WrongOwner:
    case AttemptEnd::Unused:
        return;
    }
}

auto SlotBroker::cancel(const PermitId &id, Instant now) -> void
{
    std::erase_if(this->waiting, [&](const Waiting &entry) { return entry.request.id == id; });
    const auto permit = this->permits.find(id);
    if (permit == this->permits.end()) {
        return;
    }
    this->release(permit->second, now);
    const auto upstream = this->upstreams.find(permit->second.upstream);
    this->permits.erase(permit);
    if (upstream != this->upstreams.end()) {
        this->matchFreed(upstream->second, now);
    }
}

auto SlotBroker::advance(Instant now) -> void
{
    std::erase_if(this->permits, [&](const auto &row) {
        if (row.second.expires > now) {
            return false;
        }
        this->release(row.second, now);
        return true;
    });
    this->refuseHopeless(now);
    this->match(now);
}

auto SlotBroker::nextDue(Instant now) const -> std::optional<Instant>
{
    if (!this->waiting.empty()) {
        return now + waitingTick;
    }
    if (!this->permits.empty()) {
        return now + permitTick;
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
        result.push_back(UpstreamStatus{id, upstream.entry.slots, this->latencyOf(upstream, now),
                                        upstream.health.failureShare(now),
                                        !upstream.entry.isDraining && !upstream.health.isOnTrial()
                                            && !this->isSilent(upstream, now)});
    }
    return result;
}

auto SlotBroker::match(Instant now) -> void
{
    for (auto &[id, upstream] : this->upstreams) {
        if (this->waiting.empty()) {
            return;
        }
        this->matchFreed(upstream, now);
    }
}

auto SlotBroker::matchFreed(Upstream &upstream, Instant now) -> void
{
    while (!this->waiting.empty() && this->hasRoom(upstream, now)) {
        auto best = this->waiting.end();
        for (auto at = this->waiting.begin(); at != this->waiting.end(); ++at) {
            const auto mayRunHere = this->isKeyed(at->request) ? at->owner == &upstream : true;
            if (mayRunHere && at->deadline > now
                && (best == this->waiting.end() || this->ranksBefore(*at, *best, now))) {
                best = at;
            }
        }
        if (best == this->waiting.end()) {
            return;
        }
        // Another upstream with room may suit the request better than the one that was freed.
        auto *chosen = this->pick(*best, now);
        if (chosen == nullptr) {
            return;
        }
        this->grant(*best, *chosen, now);
        this->waiting.erase(best);
    }
}

auto SlotBroker::assignOwners() -> void
{
    for (auto &entry : this->waiting) {
        entry.owner = this->ownerOf(entry.request);
    }
}

auto SlotBroker::isKeyed(const PermitRequest &request) const -> bool
{
    return this->isSharded && request.key.has_value();
}

auto SlotBroker::grant(const Waiting &waiting, Upstream &upstream, Instant now) -> void
{
    PermitVerdict verdict;
    verdict.kind = PermitVerdict::Kind::Granted;
    verdict.upstream = upstream.entry.id;
    verdict.address = upstream.entry.address;
    if (this->isSharded && waiting.request.key) {
        verdict.ownedRange = this->spanOf(*waiting.request.key)->keys;
    }
    if (upstream.inFlight == 0) {
        upstream.busySince = now;
    }
    ++upstream.inFlight;
    upstream.lastUse[waiting.request.id.entry] = now;
    this->permits[waiting.request.id] =
        Permit{upstream.entry.id, waiting.deadline + this->settings.permitGrace, verdict,
               RequestPrint{waiting.request.fingerprint}};
    const Forecast outlook{Duration{0}, this->latencyOf(upstream, now)};
    this->issue(waiting.request, std::move(verdict), this->basisOf(waiting, outlook, now));
}

auto SlotBroker::refuse(const Waiting &entry, Reason reason, Duration retryAfter, Instant now)
    -> void
{
    PermitVerdict verdict;
    verdict.kind = PermitVerdict::Kind::Refused;
    verdict.reason = reason;
    verdict.retryAfter = std::clamp(retryAfter, leastRetryAfter, longestRetryAfter);
    this->issue(entry.request, std::move(verdict),
                this->basisOf(entry, this->forecast(entry, now), now));
}

auto SlotBroker::basisOf(const Waiting &entry, const Forecast &outlook, Instant now) const
    -> VerdictBasis
{
    VerdictBasis basis;
    basis.backlogSize = this->waiting.size();
    basis.remaining = entry.deadline - now;
    basis.expectedWait = outlook.wait;
    basis.expectedLatency = outlook.service;
    if (this->isKeyed(entry.request)) {
        basis.key = entry.request.key;
        basis.owner = entry.owner != nullptr ? entry.owner->entry.id : UpstreamId{};
    }
    return basis;
}

auto SlotBroker::issue(const PermitRequest &request, PermitVerdict verdict, VerdictBasis basis)
    -> void
{
    this->verdicts.push_back(
        IssuedVerdict{request.id, request.request, std::move(verdict), std::move(basis)});
}

auto SlotBroker::refuseHopeless(Instant now) -> void
{
    const auto isLateChecked = now >= this->lateCheckAt;
    if (isLateChecked) {
        this->lateCheckAt = now + lateCheckEvery;
    }
    std::vector<bool> isHopeless(this->waiting.size(), false);
    for (std::size_t index = 0; index < this->waiting.size(); ++index) {
        const auto &entry = this->waiting[index];
        const auto left = entry.deadline - now;
        const auto service =
            entry.owner != nullptr ? this->latencyOf(*entry.owner, now) : this->meanLatency;
        isHopeless[index] = left < scaled(service, leastShareLeft);
        if (!isHopeless[index] && isLateChecked && this->isLate(entry, now)) {
            const auto outlook = this->forecast(entry, now);
            isHopeless[index] = outlook.wait + scaled(outlook.service, leastShareLeft) > left;
        }
        if (isHopeless[index] || this->isOwnerAway(entry, now)) {
            isHopeless[index] = true;
            this->refuse(entry,
                         this->isOwnerAway(entry, now) ? Reason::NoOwner : Reason::DeadlineTooShort,
                         this->spread(this->meanLatency / 2), now);
        }
    }
    std::size_t index = 0;
    std::erase_if(this->waiting, [&](const Waiting &) { return isHopeless[index++]; });
}

auto SlotBroker::release(const Permit &permit, Instant now) -> void
{
    const auto found = this->upstreams.find(permit.upstream);
    if (found == this->upstreams.end()) {
        return;
    }
    found->second.inFlight = std::max(0, found->second.inFlight - 1);
    if (found->second.inFlight == 0) {
        found->second.busySince = now;
    }
}

auto SlotBroker::spanOf(KeyPosition key) const -> const OwnedRange *
{
    const auto after =
        std::upper_bound(this->owners.begin(), this->owners.end(), key,
                         [](KeyPosition k, const OwnedRange &span) { return k < span.keys.first; });
    if (after == this->owners.begin()) {
        return nullptr;
    }
    const auto &span = *std::prev(after);
    return span.keys.contains(key) ? &span : nullptr;
}

auto SlotBroker::ownerOf(const PermitRequest &request) -> Upstream *
{
    const auto *owned = this->isKeyed(request) ? this->spanOf(*request.key) : nullptr;
    if (owned == nullptr || !owned->owner) {
        return nullptr;
    }
    const auto found = this->upstreams.find(*owned->owner);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

auto SlotBroker::pick(const Waiting &waiting, Instant now) -> Upstream *
{
    const auto &request = waiting.request;
    if (this->isKeyed(request)) {
        const auto isFree = waiting.owner != nullptr && this->hasRoom(*waiting.owner, now);
        return isFree ? waiting.owner : nullptr;
    }
    Upstream *best = nullptr;
    double bestScore = 0;
    for (auto &[id, upstream] : this->upstreams) {
        if (!this->hasRoom(upstream, now)) {
            continue;
        }
        const auto cost = this->score(upstream, request, now);
        if (best == nullptr || cost < bestScore) {
            best = &upstream;
            bestScore = cost;
        }
    }
    return best;
}

auto SlotBroker::spread(Duration base) -> Duration
{
    std::uniform_real_distribution<double> factor(0.7, 1.5);
    return scaled(base, factor(this->random));
}

} // namespace gooseberrywall
