#include "entry/directchoice.h"

#include "common/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gooseberrywall {

namespace {

/// An upstream that didn't run or answer an attempt is avoided for this time where there are
/// others.
constexpr Duration avoidDuration = std::chrono::milliseconds{500};
/// How long refused callers wait where all upstreams are evacuated; operators take longer to
/// withdraw an evacuation, and upstreams elsewhere to start.
constexpr Duration evacuatedRetryAfter = std::chrono::milliseconds{600};
/// As grantors refuse such requests.
constexpr Duration quarantinedRetryAfter = std::chrono::milliseconds{600};
/// A larger number of daemons counts for this long.
constexpr Duration daemonCountMemory = std::chrono::seconds{30};
/// Ranks of upstreams that are chosen only where there are none of a lower rank.
constexpr int avoidedRank = 1;
constexpr int leavingRank = 2;
/// Draws after which all upstreams are compared: each draw finds a usable one with a probability of
/// about a third where most are usable.
constexpr int maxDraws = 32;

auto isAvoided(const PermitRequest &request, const UpstreamId &id) -> bool
{
    return std::find(request.avoid.begin(), request.avoid.end(), id) != request.avoid.end();
}

auto granted(const UpstreamId &upstream, Incarnation incarnation, const Address &address)
    -> std::optional<PermitVerdict>
{
    PermitVerdict verdict;
    verdict.kind = PermitVerdict::Kind::Granted;
    verdict.upstream = upstream;
    verdict.incarnation = incarnation;
    verdict.address = address;
    return verdict;
}

auto refused(Reason reason, Duration retryAfter) -> std::optional<PermitVerdict>
{
    PermitVerdict verdict;
    verdict.kind = PermitVerdict::Kind::Refused;
    verdict.reason = reason;
    verdict.retryAfter = retryAfter;
    return verdict;
}

} // namespace

DirectChoice::DirectChoice(std::uint64_t seed, UpstreamStatements &statements,
                           IsQuarantined isQuarantined, OnAttemptEnd onAttemptEnd)
    : seed(seed)
    , statements(statements)
    , isQuarantined(std::move(isQuarantined))
    , onAttemptEnd(std::move(onAttemptEnd))
    , random(seed)
    , coldShares(seed)
{
}

auto DirectChoice::setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void
{
    this->coldShares.setUpstreams(entries, now);
    this->services.clear();
    std::set<UpstreamId> listed;
    for (const auto &entry : entries) {
        this->services[entry.service].push_back(entry);
        listed.insert(entry.id);
    }
    this->loads.retain(listed);
    std::erase_if(this->staysAt, [&](const auto &row) { return !listed.contains(row.first); });
}

auto DirectChoice::onGranted(const ServiceName &service, const PermitVerdict &verdict) -> void
{
    this->avoidedUntil.erase(verdict.upstream);
    if (!verdict.ownedRange) {
        return;
    }
    auto &ranges = this->owners[service];
    const auto range = *verdict.ownedRange;
    auto it = ranges.upper_bound(range.first);
    if (it != ranges.begin()) {
        --it;
    }
    while (it != ranges.end() && it->second.range.first <= range.last) {
        const auto isBefore = it->second.range.last < range.first;
        it = isBefore ? std::next(it) : ranges.erase(it);
    }
    ranges[range.first] =
        DirectOwner{range, verdict.upstream, verdict.address, verdict.incarnation};
}

auto DirectChoice::setOwners(const ServiceName &service, const std::vector<DirectOwner> &owners)
    -> void
{
    auto &ranges = this->owners[service];
    ranges.clear();
    for (const auto &owner : owners) {
        ranges[owner.range.first] = owner;
    }
}

auto DirectChoice::onSent(const UpstreamId &upstream, Instant now) -> void
{
    this->loads.onSent(upstream);
    this->coldShares.onSent(upstream, now);
    if (const auto share = this->limitShares.find(upstream); share != this->limitShares.end()) {
        share->second.onSent(now);
    }
}

auto DirectChoice::onLimitStated(const UpstreamId &upstream, RequestLimit limit, Instant sentAt,
                                 Instant now) -> void
{
    auto share = this->limitShares.find(upstream);
    if (share == this->limitShares.end()) {
        if (!limit.isLimited()) {
            return;
        }
        const auto shareSeed = stableHash(upstream.value, this->seed);
        share = this->limitShares.emplace(upstream, RequestLimitShare(shareSeed)).first;
    }
    share->second.onStated(limit, sentAt, now);
}

auto DirectChoice::onEnd(const UpstreamId &upstream, AttemptEnd end, Instant now) -> void
{
    this->loads.onEnd(upstream);
    this->coldShares.onEnd(upstream, end, now);
    if (end == AttemptEnd::NotSent || end == AttemptEnd::NoAnswer || end == AttemptEnd::NotRun) {
        this->avoidedUntil[upstream] = now + avoidDuration;
    }
}

auto DirectChoice::onAnswered(const ServiceName &service, const UpstreamId &upstream,
                              const std::optional<ReportedLoad> &load, Duration latency,
                              Instant now) -> void
{
    this->loads.onAnswered(service, upstream, load, latency, now);
}

auto DirectChoice::choose(const PermitRequest &request, Instant now) -> Verdict
{
    if (this->isQuarantined && this->isQuarantined(request)) {
        return refused(Reason::Quarantined, quarantinedRetryAfter);
    }
    if (!this->isTrusted) {
        return std::nullopt;
    }
    const auto verdict =
        request.key ? this->chooseOwner(request, now) : this->chooseAny(request, now);
    return !verdict && this->areAllEvacuated(request.service)
               ? refused(Reason::NoOwner, evacuatedRetryAfter)
               : verdict;
}

auto DirectChoice::chooseOwner(const PermitRequest &request, Instant now) -> Verdict
{
    const auto &ranges = this->owners[request.service];
    auto it = ranges.upper_bound(*request.key);
    if (it == ranges.begin()) {
        return std::nullopt;
    }
    const auto &owned = std::prev(it)->second;
    if (!owned.range.contains(*request.key) || isAvoided(request, owned.upstream)
        || !this->limitAllows(owned.upstream, now)) {
        return std::nullopt;
    }
    auto incarnation = owned.incarnation;
    if (const auto known = this->services.find(request.service); known != this->services.end()) {
        const auto &entries = known->second;
        const auto entry = std::find_if(entries.begin(), entries.end(), [&](const auto &each) {
            return each.id == owned.upstream && each.isOwnerServing(now)
                   && !this->mayHaveLeft(each, now);
        });
        if (entry == entries.end()) {
            return std::nullopt;
        }
        incarnation = std::max(incarnation, entry->incarnation);
    }
    const auto hold = this->statements.holdOf(owned.upstream, incarnation, now);
    if (hold && hold->pause) {
        return refused(Reason::UpstreamPaused, *hold->pause);
    }
    // Nobody else has the key, and no grantor can move it.
    if (hold && !hold->allowsLastResort) {
        return std::nullopt;
    }
    return granted(owned.upstream, incarnation, owned.address);
}

auto DirectChoice::chooseAny(const PermitRequest &request, Instant now) -> Verdict
{
    const auto known = this->services.find(request.service);
    if (known == this->services.end()) {
        return std::nullopt;
    }
    const auto drawn = this->drawBetterOfTwo(request, known->second, now);
    if (drawn.entry != nullptr) {
        return granted(drawn.entry->id, drawn.entry->incarnation, drawn.entry->address);
    }
    const UpstreamEntry *best = nullptr;
    std::pair<int, double> bestCost;
    auto areAllPaused = true;
    std::optional<Duration> shortestPause;
    std::uniform_real_distribution<double> tieBreak(0, 1);
    for (const auto &entry : known->second) {
        if (!entry.takesNewWork() || isAvoided(request, entry.id)
            || this->mayHaveLeft(entry, now)) {
            continue;
        }
        const auto hold = this->statements.holdOf(entry.id, entry.incarnation, now);
        if (hold && hold->pause) {
            shortestPause = std::min(shortestPause.value_or(*hold->pause), *hold->pause);
            continue;
        }
        areAllPaused = false;
        if ((hold && !hold->allowsLastResort) || !this->limitAllows(entry.id, now)) {
            continue;
        }
        const std::pair cost{(this->isUsable(entry.id, now) ? 0 : avoidedRank)
                                 + (hold || entry.isMissing ? leavingRank : 0),
                             this->loads.cost(entry.service, entry.id, entry.slots, now)
                                 * (1 + tieBreak(this->random))};
        if (best == nullptr || cost < bestCost) {
            best = &entry;
            bestCost = cost;
        }
    }
    if (best != nullptr) {
        return granted(best->id, best->incarnation, best->address);
    }
    return areAllPaused && shortestPause ? refused(Reason::UpstreamPaused, *shortestPause)
                                         : std::nullopt;
}

auto DirectChoice::areAllEvacuated(const ServiceName &service) const -> bool
{
    const auto known = this->services.find(service);
    const auto isAny = [&](auto matches) {
        return known != this->services.end()
               && std::any_of(known->second.begin(), known->second.end(), matches);
    };
    return isAny([](const auto &entry) { return !entry.isDraining && entry.isEvacuated; })
           && !isAny([](const auto &entry) { return entry.takesNewWork(); });
}

auto DirectChoice::drawBetterOfTwo(const PermitRequest &request,
                                   const std::vector<UpstreamEntry> &entries, Instant now)
    -> Candidate
{
    if (entries.size() < 2) {
        return {};
    }
    Candidate better;
    const UpstreamEntry *first = nullptr;
    std::uniform_int_distribution<std::size_t> position(0, entries.size() - 1);
    std::uniform_real_distribution<double> share(0, 1);
    for (auto draw = 0; draw < maxDraws; ++draw) {
        const auto &entry = entries[position(this->random)];
        if (&entry == first || !entry.takesNewWork() || entry.isMissing
            || this->mayHaveLeft(entry, now)
            || share(this->random) >= this->loads.drawWeight(entry.service, entry.id, entry.slots)
            || isAvoided(request, entry.id) || !this->isUsable(entry.id, now)
            || !this->limitAllows(entry.id, now)
            || this->statements.holdOf(entry.id, entry.incarnation, now)) {
            continue;
        }
        const auto cost = this->loads.cost(entry.service, entry.id, entry.slots, now);
        if (first != nullptr) {
            return cost < better.cost ? Candidate{&entry, cost} : better;
        }
        first = &entry;
        better = Candidate{&entry, cost};
    }
    return {};
}

auto DirectChoice::mayHaveLeft(const UpstreamEntry &entry, Instant now) const -> bool
{
    if (!this->outdated) {
        return false;
    }
    const auto found = this->staysAt.find(entry.id);
    const auto answeredAt = found == this->staysAt.end() ? Instant{} : found->second;
    return now - std::max(this->outdated->confirmedAt, answeredAt)
           >= this->outdated->useAfterLastStay;
}

auto DirectChoice::isUsable(const UpstreamId &id, Instant now) const -> bool
{
    const auto found = this->avoidedUntil.find(id);
    return found == this->avoidedUntil.end() || found->second <= now;
}

auto DirectChoice::onDaemonCount(std::size_t count, Instant now) -> void
{
    if (count >= this->daemonCount || now - this->daemonCountAt > daemonCountMemory) {
        this->daemonCount = count;
        this->daemonCountAt = now;
    }
}

auto DirectChoice::limitAllows(const UpstreamId &id, Instant now) const -> bool
{
    const auto isCountKnown = this->daemonCountAt != Instant{};
    if (!this->coldShares.allows(id, isCountKnown ? this->daemonCount : maxDaemonCount, now)) {
        return false;
    }
    const auto share = this->limitShares.find(id);
    return share == this->limitShares.end() || share->second.allows(this->daemonCount, now);
}

} // namespace gooseberrywall
