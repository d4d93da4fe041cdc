#include "common/hash.h"
#include "edge/grantordirectory.h"
#include "edge/grantorrole.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

auto GrantorRole::tellSuspects(Instant moment) -> void
{
    const auto isInTurn = moment >= this->suspectTurnDue;
    const auto isChanged = moment >= this->suspectNoticeDue && this->quarantine->hasNotices(moment);
    if (!isInTurn && !isChanged) {
        return;
    }
    this->suspectNoticeDue = moment + this->settings.suspectNoticeEvery;
    this->suspectTurnDue = moment + this->settings.suspectTurnEvery;
    auto addresses = this->daemons.addresses();
    std::erase(addresses, this->settings.peerAddress);
    // Just after an election, the daemons may not have been read yet.
    if (addresses.empty()) {
        return;
    }
    auto suspects = this->quarantine->takeNotices(SuspectNotice::maxSuspects, moment);
    if (suspects.empty()) {
        return;
    }
    constexpr auto bytesPerSuspect = 40;
    const auto bytes = static_cast<double>(bytesPerSuspect * suspects.size() * addresses.size());
    const std::chrono::duration<double> turn(bytes / this->settings.suspectTurnBytesPerSecond);
    this->suspectTurnDue =
        std::max(this->suspectTurnDue, moment + std::chrono::duration_cast<Duration>(turn));
    this->forgetAnswered(suspects);
    const SuspectNotice notice{this->spec.name, std::move(suspects)};
    for (const auto &daemon : addresses) {
        this->datagrams.push_back(PermitDatagram{daemon, notice});
    }
}

auto GrantorRole::logCrashes() -> void
{
    for (const auto &crash : this->quarantine->takeCrashes()) {
        LogLine line(crash.isQuarantined ? "request_quarantined" : "request_suspected");
        line.with("service", this->spec.name.value)
            .with("fingerprint", std::to_string(crash.fingerprint.value))
            .with("upstream", crash.upstream.value)
            .with("life", static_cast<std::int64_t>(crash.incarnation.value))
            .with("entry", crash.entry.value)
            .with("crashes", static_cast<std::int64_t>(crash.crashCount));
        this->log(crash.isQuarantined ? LogLevel::Warning : LogLevel::Info, line);
    }
}

auto GrantorRole::onSuspectNotice(const Address &from, const SuspectNotice &notice) -> void
{
    const auto moment = this->now();
    this->mustAskSuspects = this->mustAskSuspects && (this->serving || notice.suspects.empty());
    this->quarantine->adopt(notice.suspects, moment, this->serving);
    this->forgetAnswered(notice.suspects);
    const auto isAsked = notice.suspects.empty() && this->serving && this->hasAuthority(moment);
    if (!isAsked) {
        return;
    }
    auto suspects = this->quarantine->worstSuspects(SuspectNotice::maxSuspects, moment);
    if (!suspects.empty()) {
        this->datagrams.push_back(
            PermitDatagram{from, SuspectNotice{this->spec.name, std::move(suspects)}});
    }
}

auto GrantorRole::forgetAnswered(const std::vector<SuspectRequest> &suspects) -> void
{
    for (const auto &suspect : suspects) {
        if (suspect.crashes.empty()) {
            this->ownCrashes.onAnswered(suspect.fingerprint);
        }
    }
}

auto GrantorRole::onAttemptEnd(const EndedAttempt &attempt) -> void
{
    if (attempt.end == AttemptEnd::NoAnswer) {
        this->ownCrashes.onUnanswered(attempt.fingerprint, attempt.upstream, attempt.incarnation,
                                      this->now(), this->settings.peerAddress);
    } else if (attempt.end == AttemptEnd::Answered || attempt.end == AttemptEnd::Failed) {
        this->ownCrashes.onAnswered(attempt.fingerprint);
    }
}

auto GrantorRole::noteLostUpstreams(const std::vector<UpstreamEntry> &former, Instant moment)
    -> void
{
    // The lists are long, and most changes of them aren't crashes of own requests.
    if (!this->ownCrashes.hasUnanswered(moment)) {
        return;
    }
    for (const auto &entry : former) {
        const auto isKnown =
            std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto &each) {
                return each.id == entry.id && each.incarnation == entry.incarnation;
            });
        if (!isKnown) {
            this->ownCrashes.onUpstreamLost(entry.id, entry.incarnation, moment);
        }
    }
    const auto isCrash = !this->ownCrashes.takeCrashes().empty();
    // The request may have had its permit from the grantor before.
    if (isCrash && moment - this->handoverTermAt <= this->settings.ownCrashLifetime) {
        this->handoversLeft = this->settings.handoverRepeats;
        this->handoverDue = moment;
    }
}

auto GrantorRole::onDaemonCount(std::uint64_t count) -> void
{
    const auto moment = this->now();
    if (count >= this->daemonCount
        || moment - this->daemonCountAt > this->settings.daemonCountMemory) {
        this->daemonCount = count;
        this->daemonCountAt = moment;
    }
}

auto GrantorRole::isHandoverSender(StoreRevision grantorTerm) const -> bool
{
    return this->daemonCount <= this->settings.handoverDaemons
           || stableHash(this->settings.daemon.value, grantorTerm.value) % this->daemonCount
                  < this->settings.handoverDaemons;
}

auto GrantorRole::scheduleHandover(const ElectedGrantor &grantor, Instant moment) -> void
{
    if (grantor.term <= this->handoverTerm) {
        return;
    }
    this->handoverTerm = grantor.term;
    this->handoverTermAt = moment;
    this->handoversLeft = this->settings.handoverRepeats;
    this->handoverDue = moment;
}

auto GrantorRole::handOverSuspects(Instant moment) -> void
{
    if (this->handoversLeft == 0 || moment < this->handoverDue || !this->knownGrantor) {
        return;
    }
    --this->handoversLeft;
    this->handoverDue = moment + this->settings.suspectNoticeEvery;
    auto suspects = this->ownCrashes.worstSuspects(this->settings.handoverLimit, moment);
    const auto grantor = GrantorDirectory::addressOf(*this->knownGrantor);
    if (grantor == this->settings.peerAddress) {
        this->quarantine->adopt(suspects, moment, this->serving);
        return;
    }
    if (this->isHandoverSender(this->handoverTerm)) {
        const auto told = this->quarantine->worstSuspects(this->settings.handoverLimit, moment);
        suspects.insert(suspects.end(), told.begin(), told.end());
    }
    if (this->mustAskSuspects && moment - this->startedAt <= this->settings.suspectAskTime) {
        this->datagrams.push_back(PermitDatagram{grantor, SuspectNotice{this->spec.name, {}}});
    }
    for (std::size_t first = 0; first < suspects.size(); first += SuspectNotice::maxSuspects) {
        const auto last = std::min(suspects.size(), first + SuspectNotice::maxSuspects);
        const auto at = [&](std::size_t index) {
            return suspects.begin() + static_cast<std::ptrdiff_t>(index);
        };
        this->datagrams.push_back(PermitDatagram{
            grantor, SuspectNotice{this->spec.name, std::vector(at(first), at(last))}});
    }
}

} // namespace gooseberrywall
