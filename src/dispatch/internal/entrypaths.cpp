#include "dispatch/entrypaths.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// A daemon that has asked for no permit for this long is forgotten.
constexpr Duration daemonRetention = std::chrono::seconds{30};
/// A path whose requests got no answer is avoided from this number of failures in a row.
constexpr int unansweredLimit = 2;
/// A daemon with this number of failures since an upstream answered it forwards no requests.
constexpr int forwarderFailureLimit = 2;
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
    const auto wasCutOff = daemon.isCutOff;
    daemon.domain = request.domain;
    daemon.incarnation = request.id.incarnation;
    daemon.sequence = request.id.sequence;
    daemon.isCutOff = request.isCutOff;
    if (wasCutOff && !daemon.isCutOff) {
        // The failures were those of the daemon's links, which are back.
        daemon.paths.clear();
        daemon.failuresSinceAnswer = 0;
    }
    if (wasCutOff != daemon.isCutOff) {
        this->update(daemon, now);
    }
    return daemon.isCutOff && !wasCutOff;
}

auto EntryPaths::onAnswered(const Address &daemon, const UpstreamProcess &upstream,
                            Instant grantedAt, Instant now) -> void
{
    auto &known = this->daemonAt(daemon, now);
    known.answeredAt = now;
    known.answeredGrant = std::max(known.answeredGrant, grantedAt);
    // An answer to an older request doesn't show that the path is good again: it may have come on a
    // connection that has been there before.
    const auto path = known.paths.find(upstream);
    if (path != known.paths.end() && path->second.failure.grantedAt <= grantedAt) {
        known.paths.erase(path);
    }
    const auto hasLaterFailure =
        std::any_of(known.paths.begin(), known.paths.end(), [&](const auto &row) {
            return row.second.failure.grantedAt > known.answeredGrant;
        });
    known.failuresSinceAnswer = hasLaterFailure ? known.failuresSinceAnswer : 0;
    this->update(known, now);
}

auto EntryPaths::onFailed(const Address &daemon, const UpstreamProcess &upstream, FailureKind kind,
                          Failure failure) -> void
{
    const auto now = failure.reportedAt;
    auto &known = this->daemonAt(daemon, now);
    auto &path = known.paths[upstream];
    // Requests that were sent at the same time fail together.
    const auto isFurther = path.failures == 0 || failure.grantedAt >= path.failure.reportedAt;
    ++path.failures;
    const auto isLost =
        kind == FailureKind::NotSent
        || (kind == FailureKind::UnansweredAlone && path.failures >= unansweredLimit);
    if (isLost) {
        if (path.memory == Duration{0}) {
            path.memory = this->settings.failureMemory;
        } else if (isFurther) {
            path.memory = std::min(2 * path.memory, this->settings.maxFailureMemory);
        }
        path.avoidedUntil = now + path.memory;
    }
    path.failure.grantedAt = std::max(path.failure.grantedAt, failure.grantedAt);
    path.failure.reportedAt = now;
    if (failure.grantedAt > known.answeredGrant) {
        ++known.failuresSinceAnswer;
        known.failedAt = now;
    }
    this->update(known, now);
}

auto EntryPaths::onForwarderFailed(const Address &forwarder, Instant now) -> void
{
    auto &daemon = this->daemonAt(forwarder, now);
    daemon.restsUntil = now + this->settings.forwarderRest;
    daemon.answeredAt.reset();
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
            return std::max(path.second.avoidedUntil, path.second.failure.reportedAt)
                       + this->settings.maxFailureMemory
                   <= now;
        });
        if (daemon.failedAt + this->settings.maxFailureMemory <= now) {
            daemon.failuresSinceAnswer = 0;
        }
        const auto isForgotten = daemon.seenAt + daemonRetention <= now && daemon.forwarding == 0;
        if (isForgotten) {
            daemon.isCutOff = false;
            daemon.paths.clear();
            daemon.answeredAt.reset();
        }
        this->update(daemon, now);
        row = isForgotten ? this->daemons.erase(row) : std::next(row);
    }
}

auto EntryPaths::isCutOff(const Address &daemon) const -> bool
{
    const auto *known = this->impairedCount == 0 ? nullptr : this->find(daemon);
    return known != nullptr && known->isCutOff;
}

auto EntryPaths::reaches(const Address &daemon, const UpstreamProcess &upstream, Instant now) const
    -> bool
{
    const auto *known = this->impairedCount == 0 ? nullptr : this->find(daemon);
    if (known == nullptr) {
        return true;
    }
    const auto path = known->paths.find(upstream);
    return !known->isCutOff && (path == known->paths.end() || path->second.avoidedUntil <= now);
}

auto EntryPaths::hasFailed(const Address &daemon, Instant now) const -> bool
{
    const auto *known = this->find(daemon);
    return known != nullptr && known->failuresSinceAnswer > 0
           && now < known->failedAt + this->settings.maxFailureMemory;
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

auto EntryPaths::cutOffCount() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->daemons.begin(), this->daemons.end(),
                      [](const auto &row) { return row.second.isCutOff; }));
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

auto EntryPaths::isCandidate(const Daemon &daemon, Instant now) const -> bool
{
    return !daemon.isCutOff && daemon.answeredAt
           && now < *daemon.answeredAt + this->settings.answerValidity
           && daemon.failuresSinceAnswer < forwarderFailureLimit && daemon.restsUntil <= now;
}

auto EntryPaths::canForward(const Daemon &daemon, const Address &entry,
                            const UpstreamProcess &upstream, Instant now) const -> bool
{
    if (daemon.address == entry) {
        return false;
    }
    const auto path = daemon.paths.find(upstream);
    return path == daemon.paths.end() || path->second.avoidedUntil <= now;
}

auto EntryPaths::update(Daemon &daemon, Instant now) -> void
{
    const auto isImpaired = daemon.isCutOff || !daemon.paths.empty();
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
