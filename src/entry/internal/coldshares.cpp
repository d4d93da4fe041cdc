#include "entry/coldshares.h"

#include "common/hash.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

/// An upstream that may have become cold counts as cold for this long, unless its entry states
/// otherwise before.
constexpr Duration suspicionTime = std::chrono::seconds{2};
/// Bounds the memory of upstreams whose entries have disappeared.
constexpr std::size_t maxGoneUpstreams = 4096;
/// An upstream counts as unreached after this many attempts in a row without an answer, or after
/// one that couldn't be sent: a single answer may be missing because the request took too long.
constexpr int failuresUntilUnreached = 2;
/// A share may be used within this time from the start of a period.
constexpr double usableSeconds = 0.5;
/// Of what an upstream takes in a second, 1.5 times the rate and 8, a grantor may use the rate and
/// 1, and a former one without authority a tenth of the rate and 1. The rest remains.
constexpr double remainingFactor = 0.4;
constexpr double remainingSlack = 6;
/// The starts of the daemons' periods are spread at random, so the mean number of requests in a
/// second stays this many standard deviations below the rest.
constexpr double deviations = 4.5;

} // namespace

ColdShares::ColdShares(std::uint64_t seed)
    : seed(seed)
{
}

auto ColdShares::sharedRate(double warmUpPerSecond) -> double
{
    // The mean m of a Poisson distribution with m + deviations * sqrt(m) = remaining.
    const auto remaining = remainingFactor * warmUpPerSecond + remainingSlack;
    const auto root = (std::sqrt(deviations * deviations + 4 * remaining) - deviations) / 2;
    // Requests in one second belong to periods that began in that second or shortly before.
    return std::min(warmUpPerSecond, root * root / (1 + usableSeconds));
}

auto ColdShares::setServices(const std::vector<ServiceSpec> &services) -> void
{
    this->rates.clear();
    for (const auto &service : services) {
        if (service.warmUpPerSecond > 0) {
            this->rates[service.name] = service.warmUpPerSecond;
        }
    }
}

auto ColdShares::setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void
{
    std::map<UpstreamId, Upstream> next;
    for (const auto &entry : entries) {
        const auto found = this->upstreams.find(entry.id);
        const auto isKnown = found != this->upstreams.end();
        auto upstream = isKnown ? found->second
                                : Upstream{entry, now + entry.remainingWarmUp, 0,
                                           PeriodShare{stableHash(entry.id.value, this->seed)}};
        const auto &former = upstream.entry;
        if (former.incarnation != entry.incarnation
            || former.remainingWarmUp != entry.remainingWarmUp
            || former.warmUpRevision != entry.warmUpRevision) {
            upstream.coldUntil = now + entry.remainingWarmUp;
        }
        const auto isBack = isKnown ? former.isMissing && !entry.isMissing
                                    : this->goneUpstreams.erase(entry.id) > 0;
        // Upstreams may have become cold in the course of an evacuation.
        const auto isTakenBack =
            now - entry.evacuationEndedAt < suspicionTime
            && (!isKnown || entry.evacuationEndedAt > former.evacuationEndedAt);
        if (isBack || isTakenBack) {
            upstream.coldUntil = std::max(upstream.coldUntil, now + suspicionTime);
        }
        upstream.entry = entry;
        next.emplace(entry.id, std::move(upstream));
    }
    for (const auto &[id, upstream] : this->upstreams) {
        if (!next.contains(id) && this->goneUpstreams.size() < maxGoneUpstreams) {
            this->goneUpstreams.insert(id);
        }
    }
    this->upstreams = std::move(next);
}

auto ColdShares::suspectCold(const UpstreamId &id, Instant now) -> void
{
    if (const auto found = this->upstreams.find(id); found != this->upstreams.end()) {
        found->second.coldUntil = std::max(found->second.coldUntil, now + suspicionTime);
    }
}

auto ColdShares::onSent(const UpstreamId &id, Instant now) -> void
{
    if (const auto found = this->upstreams.find(id); found != this->upstreams.end()) {
        found->second.share.onSent(now);
    }
}

auto ColdShares::onEnd(const UpstreamId &id, AttemptEnd end, Instant now) -> void
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end() || end == AttemptEnd::Unused) {
        return;
    }
    auto &failures = found->second.failures;
    const auto wasUnreached = failures >= failuresUntilUnreached;
    failures = end == AttemptEnd::NotSent    ? failuresUntilUnreached
               : end == AttemptEnd::NoAnswer ? std::min(failures + 1, failuresUntilUnreached)
                                             : 0;
    if (wasUnreached || failures >= failuresUntilUnreached) {
        this->suspectCold(id, now);
    }
}

auto ColdShares::allows(const UpstreamId &id, std::size_t daemonCount, Instant now) const -> bool
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end() || now >= found->second.coldUntil) {
        return true;
    }
    const auto rate = this->rates.find(found->second.entry.service);
    return rate == this->rates.end()
           || found->second.share.allows(sharedRate(rate->second), usableSeconds, daemonCount, now);
}

} // namespace gooseberrywall
