#include "dispatch/entrypaths.h"

#include <algorithm>
#include <numeric>

namespace gooseberrywall {

namespace {

/// A daemon that has asked for no permit for this long is forgotten.
constexpr Duration daemonRetention = std::chrono::seconds{30};
/// A path whose requests got no answer is avoided from this number of failures in a row.
constexpr int unansweredLimit = 2;
/// A daemon with this number of failures since an upstream answered it forwards no requests.
constexpr int forwarderFailureLimit = 2;
/// Where a daemon fails at this number of upstreams that answer others, all its links are lost.
constexpr std::ptrdiff_t lostLinksCount = 2;
constexpr Duration advanceInterval = std::chrono::milliseconds{10};

} // namespace

EntryPaths::EntryPaths(EntryPathsSettings settings)
    : settings(settings)
{
}

auto EntryPaths::onRequest(const PermitRequest &request, Instant now) -> bool
{
    auto &daemon = this->daemonAt(request.id.entry, now);
    const auto isOvertaken =
        request.id.incarnation == daemon.incarnation && request.id.sequence < daemon.sequence;
    if (isOvertaken) {
        return false;
    }
    const auto wasIsolated = daemon.isIsolated;
    daemon.domain = request.domain;
    daemon.incarnation = request.id.incarnation;
    daemon.sequence = request.id.sequence;
    daemon.isIsolated = request.isIsolated;
    if (wasIsolated && !daemon.isIsolated) {
        // The failures were those of the daemon's links, which are back.
        daemon.paths.clear();
        daemon.failuresSinceAnswer = 0;
        daemon.avoidance = Avoidance{};
    }
    this->update(daemon, now);
    return daemon.isIsolated && !wasIsolated;
}

auto EntryPaths::onDirectPermit(const Address &daemon, const UpstreamProcess &upstream, Instant now)
    -> void
{
    const auto found = this->impairedCount == 0 ? this->daemons.end() : this->daemons.find(daemon);
    if (found == this->daemons.end()) {
        return;
    }
    const auto delayNext = [&](Avoidance &avoidance) {
        if (avoidance.length > Duration{0} && avoidance.endsAt <= now) {
            avoidance.endsAt = now + avoidance.length;
        }
    };
    delayNext(found->second.avoidance);
    const auto path = found->second.paths.find(upstream);
    if (path != found->second.paths.end()) {
        delayNext(path->second.avoidance);
    }
}

auto EntryPaths::onAnswered(const Address &daemon, const UpstreamProcess &upstream,
                            Instant grantedAt, Instant now) -> void
{
    auto &known = this->daemonAt(daemon, now);
    known.answeredAt = now;
    known.needsAnswer = false;
    known.answeredGrant = std::max(known.answeredGrant, grantedAt);
    // An answer to an older request doesn't show that the path is good again: it may have come on a
    // connection that has been there before.
    const auto path = known.paths.find(upstream);
    if (path != known.paths.end() && path->second.failure.grantedAt <= grantedAt) {
        known.paths.erase(path);
    }
    const auto failedUpstreams = failedUpstreamCount(known);
    if (failedUpstreams == 0) {
        known.failuresSinceAnswer = 0;
    }
    if (failedUpstreams < lostLinksCount && known.avoidance.length > Duration{0}) {
        // The failures were those of the daemon's links, which are back.
        known.paths.clear();
        known.avoidance = Avoidance{};
    }
    this->update(known, now);
}

auto EntryPaths::onFailed(const Address &daemon, const UpstreamProcess &upstream, FailureKind kind,
                          Failure failure) -> void
{
    const auto now = failure.reportedAt;
    auto &known = this->daemonAt(daemon, now);
    auto &path = known.paths[upstream];
    ++path.failures;
    const auto isLost =
        kind == FailureKind::NotSent
        || (kind == FailureKind::UnansweredAlone && path.failures >= unansweredLimit);
    if (isLost) {
        this->avoid(path.avoidance, this->settings.maxPathMemory, failure);
    }
    path.failure.grantedAt = std::max(path.failure.grantedAt, failure.grantedAt);
    path.failure.reportedAt = now;
    if (failure.grantedAt > known.answeredGrant) {
        ++known.failuresSinceAnswer;
        known.failedAt = now;
    }
    this->update(known, now);
}

auto EntryPaths::onLinksInDoubt(const Address &daemon, Failure failure) -> void
{
    auto &known = this->daemonAt(daemon, failure.reportedAt);
    if (failedUpstreamCount(known) >= lostLinksCount) {
        this->avoid(known.avoidance, this->settings.maxLinksMemory, failure);
        this->update(known, failure.reportedAt);
    }
}

auto EntryPaths::avoid(Avoidance &avoidance, Duration maxLength, Failure failure) const -> void
{
    // Requests that were sent at the same time fail together.
    const auto isFurther = failure.grantedAt >= avoidance.failedAt;
    if (avoidance.length == Duration{0}) {
        avoidance.length = this->settings.failureMemory;
    } else if (isFurther) {
        avoidance.length = std::min(2 * avoidance.length, maxLength);
    }
    avoidance.failedAt = failure.reportedAt;
    avoidance.endsAt = failure.reportedAt + avoidance.length;
}

auto EntryPaths::failedUpstreamCount(const Daemon &daemon) -> std::ptrdiff_t
{
    return std::count_if(daemon.paths.begin(), daemon.paths.end(), [&](const auto &row) {
        return row.second.failure.grantedAt > daemon.answeredGrant;
    });
}

auto EntryPaths::onForwarderFailed(const Address &forwarder, Instant now) -> void
{
    auto &daemon = this->daemonAt(forwarder, now);
    daemon.restsUntil = now + this->settings.forwarderRest;
    daemon.needsAnswer = true;
    this->update(daemon, now);
}

auto EntryPaths::onForwardingStart(const Address &forwarder, Instant now) -> void
{
    auto &daemon = this->daemonAt(forwarder, now);
    ++daemon.forwarding;
    this->update(daemon, now);
}

auto EntryPaths::onForwardingEnd(const Address &forwarder, Instant now) -> void
{
    auto &daemon = this->daemonAt(forwarder, now);
    daemon.forwarding = std::max(0, daemon.forwarding - 1);
    this->update(daemon, now);
}

auto EntryPaths::advance(Instant now) -> void
{
    if (now < this->advanceDue) {
        return;
    }
    this->advanceDue = now + advanceInterval;
    for (auto row = this->daemons.begin(); row != this->daemons.end();) {
        auto &daemon = row->second;
        std::erase_if(daemon.paths, [&](const auto &path) {
            return std::max(path.second.avoidance.endsAt, path.second.failure.reportedAt)
                       + std::max(path.second.avoidance.length, this->settings.maxLinksMemory)
                   <= now;
        });
        if (daemon.failedAt + 2 * this->settings.maxLinksMemory <= now) {
            daemon.failuresSinceAnswer = 0;
            daemon.avoidance = Avoidance{};
        }
        const auto isForgotten = daemon.seenAt + daemonRetention <= now && daemon.forwarding == 0;
        if (isForgotten) {
            daemon.isIsolated = false;
            daemon.paths.clear();
            daemon.avoidance = Avoidance{};
            daemon.needsAnswer = true;
        }
        this->update(daemon, now);
        row = isForgotten ? this->daemons.erase(row) : std::next(row);
    }
}

auto EntryPaths::isIsolated(const Address &daemon) const -> bool
{
    const auto *known = this->impairedCount == 0 ? nullptr : this->find(daemon);
    return known != nullptr && known->isIsolated;
}

auto EntryPaths::isImpaired(const Address &daemon) const -> bool
{
    const auto *known = this->impairedCount == 0 ? nullptr : this->find(daemon);
    return known != nullptr && known->isImpaired;
}

auto EntryPaths::reaches(const Address &daemon, const UpstreamProcess &upstream, Instant now) const
    -> bool
{
    const auto *known = this->impairedCount == 0 ? nullptr : this->find(daemon);
    if (known == nullptr) {
        return true;
    }
    const auto path = known->paths.find(upstream);
    return !known->isIsolated && known->avoidance.endsAt <= now
           && (path == known->paths.end() || path->second.avoidance.endsAt <= now);
}

auto EntryPaths::hasFailed(const Address &daemon, Instant now) const -> bool
{
    const auto *known = this->find(daemon);
    return known != nullptr && known->failuresSinceAnswer > 0
           && now < known->failedAt + 2 * this->settings.maxLinksMemory;
}

auto EntryPaths::hasForwarder(const Address &entry) const -> bool
{
    return std::any_of(this->forwarders.begin(), this->forwarders.end(),
                       [&](const Daemon *daemon) { return daemon->address != entry; });
}

auto EntryPaths::mayGetForwarder(const Address &entry, Instant now) const -> bool
{
    return std::any_of(this->daemons.begin(), this->daemons.end(), [&](const auto &row) {
        return row.first != entry && this->isCandidate(row.second, now);
    });
}

auto EntryPaths::isolatedCount() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->daemons.begin(), this->daemons.end(),
                      [](const auto &row) { return row.second.isIsolated; }));
}

auto EntryPaths::forwardedCount() const -> int
{
    return std::accumulate(this->daemons.begin(), this->daemons.end(), 0,
                           [](int sum, const auto &row) { return sum + row.second.forwarding; });
}

auto EntryPaths::find(const Address &daemon) const -> const Daemon *
{
    const auto found = this->daemons.find(daemon);
    return found == this->daemons.end() ? nullptr : &found->second;
}

auto EntryPaths::daemonAt(const Address &address, Instant now) -> Daemon &
{
    auto &daemon = this->daemons[address];
    daemon.address = address;
    daemon.seenAt = now;
    return daemon;
}

auto EntryPaths::isProven(const Daemon &daemon, Instant now) const -> bool
{
    return daemon.answeredAt && now < *daemon.answeredAt + this->settings.answerValidity;
}

auto EntryPaths::isCandidate(const Daemon &daemon, Instant now) const -> bool
{
    if (daemon.isIsolated || daemon.needsAnswer || now < daemon.restsUntil) {
        return false;
    }
    if (this->isProven(daemon, now)) {
        return daemon.failuresSinceAnswer < forwarderFailureLimit;
    }
    return daemon.failuresSinceAnswer == 0 && now < daemon.seenAt + this->settings.answerValidity;
}

auto EntryPaths::canForward(const Daemon &daemon, const Address &entry,
                            const UpstreamProcess &upstream, Instant now) const -> bool
{
    if (daemon.address == entry) {
        return false;
    }
    const auto path = daemon.paths.find(upstream);
    return path == daemon.paths.end() || path->second.avoidance.endsAt <= now;
}

auto EntryPaths::rankOf(const Daemon &daemon, ForwarderFit fit, const FailureDomain &domain,
                        Instant now) const -> ForwarderRank
{
    const auto isFar = daemon.domain != domain;
    const auto load = daemon.forwarding + (isFar ? this->settings.nearForwarderLead : 0)
                      + (fit == ForwarderFit::Proven ? 0 : this->settings.provenPathLead);
    return ForwarderRank{!this->isProven(daemon, now), daemon.failuresSinceAnswer > 0, load, isFar};
}

auto EntryPaths::update(Daemon &daemon, Instant now) -> void
{
    const auto isImpaired =
        daemon.isIsolated || !daemon.paths.empty() || daemon.avoidance.length > Duration{0};
    if (isImpaired != daemon.isImpaired) {
        daemon.isImpaired = isImpaired;
        this->impairedCount += isImpaired ? 1 : -1;
    }
    const auto isForwarder =
        this->isCandidate(daemon, now) && daemon.forwarding < this->settings.forwarderLimit;
    if (isForwarder == daemon.isForwarder) {
        return;
    }
    daemon.isForwarder = isForwarder;
    if (isForwarder) {
        this->forwarders.push_back(&daemon);
    } else {
        std::erase(this->forwarders, &daemon);
    }
}

} // namespace gooseberrywall
