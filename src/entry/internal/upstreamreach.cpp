#include "entry/upstreamreach.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

UpstreamReach::UpstreamReach(UpstreamReachSettings settings)
    : settings(settings)
{
}

auto UpstreamReach::onSent(const Address &upstream, Instant now) -> void
{
    auto &known = this->upstreams[upstream];
    known.usedAt = now;
    known.openSince.insert(now);
}

auto UpstreamReach::onEnd(const Address &upstream, AttemptEnd end, Instant sentAt, Instant now)
    -> void
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end()) {
        return;
    }
    auto &known = found->second;
    if (const auto open = known.openSince.find(sentAt); open != known.openSince.end()) {
        known.openSince.erase(open);
    }
    switch (end) {
    case AttemptEnd::Unused:
        return;
    case AttemptEnd::NotSent:
    case AttemptEnd::NoAnswer:
        known.hasFailed = true;
        return;
    case AttemptEnd::Answered:
    case AttemptEnd::Failed:
    case AttemptEnd::NotRun:
    case AttemptEnd::WrongOwner:
        this->onContact(now);
        return;
    }
}

auto UpstreamReach::onContact(Instant now) -> void
{
    this->contactAt = now;
    for (auto &[address, known] : this->upstreams) {
        known.hasFailed = false;
    }
}

auto UpstreamReach::onProbeEnd(bool isOpen, Instant now) -> void
{
    this->openProbes -= std::min<std::size_t>(this->openProbes, 1);
    if (isOpen) {
        this->onContact(now);
        this->isolated = false;
        return;
    }
    // An answer on a connection that is still open says nothing of new ones.
    if (this->openProbes == 0 && this->contactAt < this->probeDue - this->settings.probeInterval
        && !std::exchange(this->isolated, true)) {
        ++this->isolations;
    }
}

auto UpstreamReach::advance(Instant now) -> void
{
    if (this->openProbes > 0 || now < this->probeDue) {
        return;
    }
    this->forgetUnused(now);
    if (this->isolated || this->areLinksInDoubt(now)) {
        this->startProbes(now);
    }
}

auto UpstreamReach::isDoubtful(const Known &known, Instant now) const -> bool
{
    const auto isSilent = !known.openSince.empty()
                          && now - *known.openSince.begin() >= this->settings.silence
                          && now - this->contactAt >= this->settings.silence;
    return known.hasFailed || isSilent;
}

auto UpstreamReach::areEnough(std::size_t doubtful) const -> bool
{
    const auto needed = std::min(this->settings.failedUpstreams, this->upstreams.size());
    return doubtful > 0 && doubtful >= needed;
}

auto UpstreamReach::areLinksInDoubt(Instant now) const -> bool
{
    return this->areEnough(static_cast<std::size_t>(
        std::count_if(this->upstreams.begin(), this->upstreams.end(),
                      [&](const auto &row) { return this->isDoubtful(row.second, now); })));
}

auto UpstreamReach::startProbes(Instant now) -> void
{
    const auto count = std::min(this->settings.probesAtOnce, this->upstreams.size());
    auto next = this->upstreams.upper_bound(this->lastProbed);
    while (this->openProbes < count) {
        if (next == this->upstreams.end()) {
            next = this->upstreams.begin();
        }
        this->lastProbed = next->first;
        this->probes.push_back(next->first);
        ++this->openProbes;
        ++next;
    }
    this->probeDue = now + this->settings.probeInterval;
}

auto UpstreamReach::forgetUnused(Instant now) -> void
{
    std::erase_if(this->upstreams, [&](const auto &row) {
        return row.second.openSince.empty() && now - row.second.usedAt >= this->settings.retention;
    });
    if (this->upstreams.empty()) {
        this->isolated = false;
    }
}

auto UpstreamReach::takeProbes() -> std::vector<Address>
{
    return std::exchange(this->probes, {});
}

auto UpstreamReach::nextDue() const -> std::optional<Instant>
{
    if (this->openProbes > 0) {
        return std::nullopt;
    }
    if (this->isolated) {
        return this->probeDue;
    }
    std::optional<Instant> due;
    std::size_t failed = 0;
    for (const auto &[address, known] : this->upstreams) {
        failed += known.hasFailed ? 1 : 0;
        if (known.openSince.empty()) {
            continue;
        }
        const auto silentAt =
            std::max(*known.openSince.begin(), this->contactAt) + this->settings.silence;
        due = due ? std::min(*due, silentAt) : silentAt;
    }
    if (this->areEnough(failed)) {
        return this->probeDue;
    }
    return due ? std::optional(std::max(*due, this->probeDue)) : std::nullopt;
}

} // namespace gooseberrywall
