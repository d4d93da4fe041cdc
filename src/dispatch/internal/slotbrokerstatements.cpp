#include "dispatch/slotbroker.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

/// For this long the report on an expired permit is still taken in.
constexpr Duration expiredRetention = std::chrono::seconds{10};
constexpr std::size_t maxExpiredPermits = 4096;
/// An entry daemon that has got no permit for an upstream for this long doesn't use it.
constexpr Duration useRetention = std::chrono::seconds{10};
/// The stated number of slots is wrong where an upstream pauses one in this many of the entry
/// daemons that use it.
constexpr std::size_t overloadDivisor = 3;
/// A single pause may be due to that entry daemon alone.
constexpr std::size_t minPausedDaemons = 2;

} // namespace

auto SlotBroker::onStatement(const UpstreamStatement &statement, Instant now) -> void
{
    this->takeIn(statement, Address{}, now, now);
}

auto SlotBroker::reportExpired(const PermitReport &report, Instant now) -> void
{
    const auto found = this->expiredPermits.find(report.id);
    if (found == this->expiredPermits.end() || found->second.upstream != report.upstream) {
        return;
    }
    const auto permit = found->second;
    this->expiredPermits.erase(found);
    this->takeIn(UpstreamStatement{permit.upstream, permit.incarnation, report.id.entry,
                                   permit.request, report.isLeaving, report.pause,
                                   report.leaveHint},
                 report.forwarder, permit.grantedAt, now);
}

auto SlotBroker::rememberExpired(const PermitId &id, const Permit &permit, Instant now) -> void
{
    if (this->expiredPermits.size() >= maxExpiredPermits) {
        return;
    }
    this->expiredPermits[id] =
        ExpiredPermit{permit.upstream, permit.verdict.incarnation, permit.request, permit.grantedAt,
                      now + expiredRetention};
}

auto SlotBroker::takeIn(const UpstreamStatement &statement, const Address &forwarder,
                        Instant grantedAt, Instant now) -> void
{
    if (statement.leaveHint != LeaveHint::Unknown) {
        auto answered = statement;
        answered.askedAt = grantedAt;
        this->changes.push_back(
            UpstreamChange{UpstreamChange::Kind::Answered, std::move(answered)});
    }
    const auto isPausing = statement.pause && *statement.pause > Duration{0};
    if (!statement.isLeaving && !isPausing) {
        return;
    }
    auto *upstream = this->findUpstream(statement.upstream, statement.incarnation);
    if (statement.isLeaving && (upstream == nullptr || !upstream->entry.isDraining)) {
        this->changes.push_back(UpstreamChange{UpstreamChange::Kind::Leaving, statement});
    }
    if (upstream == nullptr) {
        return;
    }
    if (statement.isLeaving && !upstream->entry.isDraining) {
        // No later answer ends it: an upstream that leaves stays so until its process has ended.
        upstream->entry.isDraining = true;
        this->updateAllEvacuated();
        this->capacity.recalculateAt = now;
    }
    if (isPausing) {
        this->takeInPause(*upstream, statement, forwarder, grantedAt, now);
    }
}

auto SlotBroker::takeInPause(Upstream &upstream, const UpstreamStatement &statement,
                             const Address &forwarder, Instant grantedAt, Instant now) -> void
{
    const auto isForwarded = !forwarder.empty();
    upstream.pauses.onStated(statement.entry, *statement.pause, isForwarded, now);
    if (isForwarded) {
        upstream.pauses.onStated(forwarder, *statement.pause, false, now);
    }
    if (!upstream.lastPause) {
        this->changes.push_back(UpstreamChange{UpstreamChange::Kind::Paused, statement});
        ++this->pausingCount;
    }
    upstream.lastPause = statement;
    const auto paused = upstream.pauses.count(now);
    const auto isWide =
        paused >= minPausedDaemons && paused * overloadDivisor >= this->userCount(upstream, now);
    if (isWide || upstream.slotReduction.isReduced(now)) {
        upstream.slotReduction.onOverload(grantedAt, now);
    }
    this->capacity.recalculateAt = now;
}

auto SlotBroker::findUpstream(const UpstreamId &id, Incarnation incarnation) -> Upstream *
{
    const auto found = this->upstreams.find(id);
    return found != this->upstreams.end() && found->second.entry.incarnation == incarnation
               ? &found->second
               : nullptr;
}

auto SlotBroker::isRepeatable(const PermitId &id, const Permit &permit, Instant now) const -> bool
{
    const auto found = this->upstreams.find(permit.upstream);
    if (found == this->upstreams.end()) {
        return false;
    }
    const auto &entry = found->second.entry;
    return (permit.verdict.ownedRange ? entry.isOwnerServing(now) : entry.takesNewWork())
           && found->second.pauses.remaining(id.entry, now) == Duration{0}
           && found->second.pauses.remaining(permit.verdict.forwarder, now) == Duration{0};
}

auto SlotBroker::updateAllEvacuated() -> void
{
    const auto isAny = [this](auto matches) {
        return std::any_of(this->upstreams.begin(), this->upstreams.end(),
                           [&](const auto &row) { return matches(row.second.entry); });
    };
    this->areAllEvacuated =
        isAny([](const auto &entry) { return !entry.isDraining && entry.isEvacuated; })
        && !isAny([](const auto &entry) { return entry.takesNewWork(); });
}

auto SlotBroker::isEvacuatedAway(const PermitRequest &request) -> bool
{
    return this->areAllEvacuated && this->ownerOf(request) == nullptr;
}

auto SlotBroker::userCount(const Upstream &upstream, Instant now) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(upstream.lastUse.begin(), upstream.lastUse.end(),
                      [&](const auto &row) { return now - row.second.grantedAt <= useRetention; }));
}

auto SlotBroker::endPauses(Instant now) -> void
{
    std::erase_if(this->expiredPermits, [&](const auto &row) { return row.second.dropAt <= now; });
    this->pausingCount = 0;
    for (auto &[id, upstream] : this->upstreams) {
        upstream.pauses.advance(now);
        if (upstream.lastPause && upstream.pauses.count(now) == 0) {
            this->changes.push_back(
                UpstreamChange{UpstreamChange::Kind::Resumed, *upstream.lastPause});
            upstream.lastPause.reset();
        }
        this->pausingCount += upstream.lastPause ? 1 : 0;
    }
}

auto SlotBroker::hinderingPause(const WaitingRequest &waiting, Instant now)
    -> std::optional<Duration>
{
    const auto left = [&]() -> Duration {
        if (!this->isKeyed(waiting.request)) {
            const auto shared = this->capacityFor(waiting.request.id.entry, now);
            return shared.requestsPerSecond > 0 ? Duration{0}
                                                : shared.pauseLeft.value_or(Duration{0});
        }
        const auto *owner = this->ownerOf(waiting.request);
        return owner == nullptr ? Duration{0}
                                : owner->pauses.remaining(waiting.request.id.entry, now);
    }();
    return left > Duration{0} && now + left + this->meanLatency > waiting.deadline
               ? std::optional(left)
               : std::nullopt;
}

auto SlotBroker::takeChanges() -> std::vector<UpstreamChange>
{
    return std::exchange(this->changes, {});
}

auto SlotBroker::pausedUpstreamCount(Instant now) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->upstreams.begin(), this->upstreams.end(),
                      [&](const auto &row) { return row.second.pauses.count(now) > 0; }));
}

} // namespace gooseberrywall
