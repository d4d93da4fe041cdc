#include "common/durations.h"
#include "dispatch/slotbroker.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

using std::chrono::milliseconds;

/// Weight of one answer in the moving average of the service's latency.
constexpr double meanLatencyWeight = 0.02;
/// An upstream that has answered another daemon within this time isn't lost because one daemon
/// can't connect.
constexpr Duration answerRelevance = milliseconds{500};
/// A daemon that is isolated finds within about this time that its links are back.
constexpr Duration linkProbeTime = milliseconds{500};

} // namespace

auto SlotBroker::learn(const PermitReport &report, Upstream &upstream, Instant now) -> void
{
    const auto &permit = this->permits.at(report.id);
    const auto isSameProcess = permit.verdict.incarnation == upstream.entry.incarnation;
    const auto evidence =
        isSameProcess ? this->learnPath(report, permit, upstream, now) : Evidence::Full;
    this->updateQuarantine(report, upstream, evidence, now);
    if (report.end == AttemptEnd::Answered) {
        this->meanLatency += scaled(report.latency - this->meanLatency, meanLatencyWeight);
    }
    if (!isSameProcess) {
        return;
    }
    if (evidence == Evidence::Full) {
        upstream.health.onAttemptEnd(report.end, report.latency, now);
        this->updateReach(upstream, report.end, now);
    } else if (evidence == Evidence::Uncertain) {
        upstream.health.onUncertainFailure(now);
    }
    upstream.noReportSince = now;
    if (report.load) {
        upstream.load.onReported(*report.load, upstream.inFlight, now);
    }
    if (report.requestLimit) {
        upstream.limiter.onStated(*report.requestLimit, permit.grantedAt, now);
    }
    if (report.end == AttemptEnd::NotSent) {
        upstream.limiter.onNotSent(now);
    }
    if (report.end == AttemptEnd::Answered) {
        upstream.pauses.onServed(report.id.entry, permit.grantedAt);
        upstream.pauses.onServed(report.forwarder, permit.grantedAt);
    }
}

auto SlotBroker::learnPath(const PermitReport &report, const Permit &permit, Upstream &upstream,
                           Instant now) -> Evidence
{
    if (report.end == AttemptEnd::NotSent && !report.forwarder.empty()) {
        this->learnForwarderFailure(report.forwarder, permit, upstream, now);
        return Evidence::None;
    }
    const auto &daemon = report.forwarder.empty() ? report.id.entry : report.forwarder;
    switch (report.end) {
    case AttemptEnd::Unused:
        return this->isInDoubt(daemon) ? Evidence::None : Evidence::Full;
    case AttemptEnd::Answered:
    case AttemptEnd::Failed:
    case AttemptEnd::NotRun:
    case AttemptEnd::WrongOwner:
        this->paths.onAnswered(daemon, upstream.process, permit.grantedAt, now);
        upstream.answers.onAnswered(UpstreamAnswers::Answer{daemon, permit.grantedAt, now});
        upstream.lastUse[daemon].answeredAt = now;
        upstream.suspectedBy = Address{};
        return Evidence::Full;
    case AttemptEnd::NotSent:
    case AttemptEnd::NoAnswer:
        return this->learnFailure(daemon, report.end, permit, upstream, now);
    }
    return Evidence::Full;
}

auto SlotBroker::learnFailure(const Address &daemon, AttemptEnd end, const Permit &permit,
                              Upstream &upstream, Instant now) -> Evidence
{
    using FailureKind = EntryPaths::FailureKind;
    const auto *other = upstream.answers.lastToOther(daemon);
    const auto isAlone = other != nullptr && other->grantedAt > permit.grantedAt;
    const auto answersOthers =
        isAlone || (other != nullptr && now - other->reportedAt <= answerRelevance);
    const auto hasFailed = this->paths.hasFailed(daemon, now);
    const auto isInDoubt = this->isInDoubt(daemon) || (hasFailed && isAlone);
    const auto isSent = end == AttemptEnd::NoAnswer;
    const auto sentKind = isAlone ? FailureKind::UnansweredAlone : FailureKind::Unanswered;
    const EntryPaths::Failure failure{permit.grantedAt, now};
    this->paths.onFailed(daemon, upstream.process, isSent ? sentKind : FailureKind::NotSent,
                         failure);
    if (isInDoubt) {
        this->paths.onLinksInDoubt(daemon, failure);
        return Evidence::None;
    }
    if (!answersOthers) {
        return Evidence::Full;
    }
    if (isSent) {
        return hasFailed ? Evidence::Uncertain : Evidence::Full;
    }
    const auto isConfirmed =
        !isAlone && !hasFailed && !upstream.suspectedBy.empty() && upstream.suspectedBy != daemon;
    if (isConfirmed) {
        return Evidence::Full;
    }
    if (!isAlone && upstream.suspectedBy.empty()) {
        upstream.suspectedBy = daemon;
    }
    return Evidence::Uncertain;
}

auto SlotBroker::maySend(const Address &entry, const Upstream &upstream, Instant now) const -> bool
{
    return upstream.pauses.allows(entry, now)
           && (!this->paths.isIsolated(entry) || this->hasForwarder(entry, upstream, now));
}

auto SlotBroker::hasForwarder(const Address &entry, const Upstream &upstream, Instant now) const
    -> bool
{
    const auto isAllowed = [&](const Address &daemon) {
        return upstream.pauses.allows(daemon, now);
    };
    return this->paths.hasForwarder(entry, upstream.process, isAllowed, now);
}

auto SlotBroker::forwarderFor(const Address &entry, const Upstream &upstream, Instant now) const
    -> Address
{
    // The trial of a daemon whose attempts fail elsewhere, too, would tell nothing.
    const auto isTrial = isOnTrial(upstream) && this->paths.hasFailed(entry, now);
    const auto isPathLost = this->paths.isIsolated(entry)
                            || (!this->paths.reaches(entry, upstream.process, now)
                                && !upstream.health.isLimitedToTrials());
    if (!isTrial && !isPathLost) {
        return {};
    }
    const auto fitOf = [&](const Address &daemon) {
        using Fit = EntryPaths::ForwarderFit;
        const auto isAllowed = upstream.pauses.allows(daemon, now)
                               && (isPathLost || !this->paths.hasFailed(daemon, now));
        if (!isAllowed) {
            return Fit::None;
        }
        return this->hasAnswered(upstream, daemon, now) ? Fit::Proven : Fit::Unknown;
    };
    return this->paths.chooseForwarder(entry, upstream.process, fitOf, now);
}

auto SlotBroker::hasAnswered(const Upstream &upstream, const Address &daemon, Instant now) const
    -> bool
{
    const auto found = upstream.lastUse.find(daemon);
    return found != upstream.lastUse.end() && found->second.answeredAt != Instant{}
           && now < found->second.answeredAt + this->settings.paths.answerValidity;
}

auto SlotBroker::learnForwarderFailure(const Address &forwarder, const Permit &permit,
                                       Upstream &upstream, Instant now) -> void
{
    const auto isInDoubt = upstream.health.hasFailures() || !upstream.suspectedBy.empty();
    const auto isPathProven = this->hasAnswered(upstream, forwarder, now);
    if (isInDoubt || !isPathProven) {
        // The forwarder may have been reached, but not the upstream.
        this->paths.onFailed(forwarder, upstream.process, EntryPaths::FailureKind::NotSent,
                             EntryPaths::Failure{permit.grantedAt, now});
    } else {
        this->paths.onForwarderFailed(forwarder, now);
    }
    const auto *other = upstream.answers.lastToOther(forwarder);
    const auto isAlone = other != nullptr && other->grantedAt > permit.grantedAt;
    if (isInDoubt) {
        upstream.health.delayTrial(now);
    } else if (isPathProven && !isAlone) {
        upstream.suspectedBy = forwarder;
    }
}

auto SlotBroker::isUnreachable(const PermitRequest &request, Instant now) -> bool
{
    const auto &entry = request.id.entry;
    if (!this->paths.isIsolated(entry)) {
        return false;
    }
    this->paths.advance(now);
    const auto *owner = this->ownerOf(request);
    return owner == nullptr ? !this->paths.hasForwarder(entry)
                            : !this->paths.hasForwarder(
                                entry, owner->process, [](const Address &) { return true; }, now);
}

auto SlotBroker::hasNoForwarder(const Address &entry, Instant now) const -> bool
{
    return this->paths.isIsolated(entry) && !this->paths.mayGetForwarder(entry, now);
}

auto SlotBroker::unreachableRetryAfter(const Address &entry, Instant now) -> Duration
{
    return this->jittered(this->paths.mayGetForwarder(entry, now) ? this->meanLatency
                                                                  : linkProbeTime);
}

auto SlotBroker::isInDoubt(const Address &daemon) const -> bool
{
    const auto answeredAnother = [&](const UpstreamProcess &process,
                                     const EntryPaths::Failure &failure) {
        const auto found = this->upstreams.find(process.id);
        const auto *other =
            found == this->upstreams.end() ? nullptr : found->second.answers.lastToOther(daemon);
        return other != nullptr
               && (other->grantedAt > failure.grantedAt || other->reportedAt > failure.reportedAt);
    };
    return this->paths.isIsolated(daemon) || this->paths.isContradicted(daemon, answeredAnother);
}

auto SlotBroker::isOnTrial(const Upstream &upstream) -> bool
{
    return upstream.health.isLimitedToTrials() || !upstream.suspectedBy.empty();
}

auto SlotBroker::strand(const Address &entry, Instant now) -> void
{
    for (auto &[id, permit] : this->permits) {
        const auto isHanging =
            id.entry == entry && !permit.isStranded && permit.verdict.forwarder.empty();
        auto *upstream =
            isHanging ? this->findUpstream(permit.upstream, permit.verdict.incarnation) : nullptr;
        if (upstream != nullptr) {
            permit.isStranded = true;
            ++upstream->stranded;
        }
    }
    this->capacity.recalculateAt = now;
}

auto SlotBroker::updateQuarantine(const PermitReport &report, const Upstream &upstream,
                                  Evidence evidence, Instant now) -> void
{
    const auto permit = this->permits.find(report.id);
    const auto fingerprint =
        permit == this->permits.end() ? RequestFingerprint{} : permit->second.fingerprint;
    switch (report.end) {
    case AttemptEnd::NoAnswer:
        if (evidence != Evidence::None) {
            this->quarantine->onUnanswered(fingerprint, upstream.entry.id,
                                           upstream.entry.incarnation, now, report.id.entry);
        }
        return;
    case AttemptEnd::NotSent:
        if (evidence == Evidence::Full) {
            this->quarantine->onUpstreamLost(upstream.entry.id, upstream.entry.incarnation, now);
        }
        return;
    case AttemptEnd::Answered:
    case AttemptEnd::Failed:
        this->quarantine->onAnswered(fingerprint);
        return;
    case AttemptEnd::NotRun:
    case AttemptEnd::WrongOwner:
    case AttemptEnd::Unused:
        return;
    }
}

auto SlotBroker::release(const PermitId &id, const Permit &permit, Instant now) -> void
{
    const auto &forwarder = permit.verdict.forwarder;
    if (!forwarder.empty()) {
        this->paths.onForwardingEnd(forwarder, now);
    }
    auto *upstream = this->findUpstream(permit.upstream, permit.verdict.incarnation);
    if (upstream == nullptr) {
        return;
    }
    upstream->pauses.onReturned(id.entry, permit.grantedAt);
    upstream->pauses.onReturned(forwarder, permit.grantedAt);
    upstream->inFlight = std::max(0, upstream->inFlight - 1);
    upstream->usage.onChange(upstream->inFlight, now);
    upstream->stranded -= permit.isStranded ? 1 : 0;
    upstream->trials -= permit.isTrial ? 1 : 0;
    if (upstream->inFlight == upstream->stranded) {
        upstream->noReportSince = now;
    }
}

} // namespace gooseberrywall
