#include "entry/directchoice.h"

#include "common/hash.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// An upstream that didn't run or answer an attempt is avoided for this time where there are
/// others.
constexpr Duration avoidDuration = std::chrono::milliseconds{500};
/// A larger number of daemons counts for this long.
constexpr Duration daemonCountMemory = std::chrono::seconds{30};

} // namespace

DirectChoice::DirectChoice(std::uint64_t seed)
    : seed(seed)
    , random(seed)
{
}

auto DirectChoice::setUpstreams(const std::vector<UpstreamEntry> &entries) -> void
{
    this->services.clear();
    for (const auto &entry : entries) {
        this->services[entry.service].push_back(entry);
    }
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
    ranges[range.first] = DirectOwner{range, verdict.upstream, verdict.address};
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
    ++this->inFlight[upstream];
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
    auto &count = this->inFlight[upstream];
    count = std::max(0, count - 1);
    if (end == AttemptEnd::NotSent || end == AttemptEnd::NoAnswer || end == AttemptEnd::NotRun) {
        this->avoidedUntil[upstream] = now + avoidDuration;
    }
}

auto DirectChoice::choose(const PermitRequest &request, Instant now) -> std::optional<PermitVerdict>
{
    if (!this->isTrusted) {
        return std::nullopt;
    }
    const auto isAvoided = [&](const UpstreamId &id) {
        return std::find(request.avoid.begin(), request.avoid.end(), id) != request.avoid.end();
    };
    const auto known = this->services.find(request.service);
    PermitVerdict verdict;
    verdict.kind = PermitVerdict::Kind::Granted;
    if (request.key) {
        const auto &ranges = this->owners[request.service];
        auto it = ranges.upper_bound(*request.key);
        if (it == ranges.begin()) {
            return std::nullopt;
        }
        const auto &owned = std::prev(it)->second;
        if (!owned.range.contains(*request.key) || isAvoided(owned.upstream)
            || !this->limitAllows(owned.upstream, now)) {
            return std::nullopt;
        }
        verdict.upstream = owned.upstream;
        verdict.address = owned.address;
        const auto isUnavailable =
            known != this->services.end()
            && std::none_of(known->second.begin(), known->second.end(), [&](const auto &entry) {
                   return entry.id == owned.upstream && !entry.isDraining;
               });
        return isUnavailable ? std::nullopt : std::optional(verdict);
    }
    if (known == this->services.end()) {
        return std::nullopt;
    }
    const UpstreamEntry *best = nullptr;
    double bestCost = 0;
    std::uniform_real_distribution<double> tieBreak(0, 1);
    for (const auto &entry : known->second) {
        if (entry.isDraining || isAvoided(entry.id) || !this->limitAllows(entry.id, now)) {
            continue;
        }
        const auto found = this->inFlight.find(entry.id);
        const auto count = found == this->inFlight.end() ? 0 : found->second;
        const auto penalty = this->isUsable(entry.id, now) ? 0.0 : 100.0;
        const auto cost = static_cast<double>(count) / std::max(1, entry.slots) + penalty
                          + tieBreak(this->random);
        if (best == nullptr || cost < bestCost) {
            best = &entry;
            bestCost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    verdict.upstream = best->id;
    verdict.incarnation = best->incarnation;
    verdict.address = best->address;
    return verdict;
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
    const auto share = this->limitShares.find(id);
    return share == this->limitShares.end() || share->second.allows(this->daemonCount, now);
}

} // namespace gooseberrywall
