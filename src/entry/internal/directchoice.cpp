#include "entry/directchoice.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// An upstream that failed is passed over for this time.
constexpr Duration avoidFor = std::chrono::milliseconds{500};

} // namespace

DirectChoice::DirectChoice(std::uint64_t seed)
    : random(seed)
{
}

auto DirectChoice::setUpstreams(const std::vector<UpstreamEntry> &entries) -> void
{
    this->services.clear();
    for (const auto &entry : entries) {
        this->services[entry.service].push_back(entry);
    }
}

auto DirectChoice::learn(const ServiceName &service, const PermitVerdict &verdict) -> void
{
    this->avoidedUntil.erase(verdict.upstream);
    if (!verdict.ownedRange) {
        return;
    }
    auto &spans = this->owners[service];
    const auto span = *verdict.ownedRange;
    auto at = spans.upper_bound(span.first);
    if (at != spans.begin()) {
        --at;
    }
    while (at != spans.end() && at->second.span.first <= span.last) {
        const auto isApart = at->second.span.last < span.first;
        at = isApart ? std::next(at) : spans.erase(at);
    }
    spans[span.first] = DirectOwner{span, verdict.upstream, verdict.address};
}

auto DirectChoice::setOwners(const ServiceName &service, const std::vector<DirectOwner> &owners)
    -> void
{
    auto &spans = this->owners[service];
    spans.clear();
    for (const auto &owner : owners) {
        spans[owner.span.first] = owner;
    }
}

auto DirectChoice::onEnd(const UpstreamId &upstream, AttemptEnd end, Instant now) -> void
{
    auto &count = this->inFlight[upstream];
    count = std::max(0, count - 1);
    if (end == AttemptEnd::NotSent || end == AttemptEnd::NoAnswer || end == AttemptEnd::NotRun) {
        this->avoidedUntil[upstream] = now + avoidFor;
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
        const auto &spans = this->owners[request.service];
        auto at = spans.upper_bound(*request.key);
        if (at == spans.begin()) {
            return std::nullopt;
        }
        const auto &owned = std::prev(at)->second;
        if (!owned.span.contains(*request.key) || isAvoided(owned.upstream)) {
            return std::nullopt;
        }
        verdict.upstream = owned.upstream;
        verdict.address = owned.address;
        const auto isGone =
            known != this->services.end()
            && std::none_of(known->second.begin(), known->second.end(), [&](const auto &entry) {
                   return entry.id == owned.upstream && !entry.isDraining;
               });
        return isGone ? std::nullopt : std::optional(verdict);
    }
    if (known == this->services.end()) {
        return std::nullopt;
    }
    const UpstreamEntry *best = nullptr;
    double bestCost = 0;
    std::uniform_real_distribution<double> tieBreak(0, 1);
    for (const auto &entry : known->second) {
        if (entry.isDraining || isAvoided(entry.id)) {
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
    verdict.address = best->address;
    return verdict;
}

auto DirectChoice::isUsable(const UpstreamId &id, Instant now) const -> bool
{
    const auto found = this->avoidedUntil.find(id);
    return found == this->avoidedUntil.end() || found->second <= now;
}

} // namespace gooseberrywall
