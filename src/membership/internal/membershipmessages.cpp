#include "common/logline.h"
#include "membership/membership.h"

#include <utility>
#include <variant>

namespace gooseberrywall {

auto Membership::onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                           Outbox &out) -> bool
{
    this->noticeStall(now);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        this->onHeartbeat(now, from, *heartbeat, out);
    } else if (const auto *answer = std::get_if<HeartbeatAnswer>(&message)) {
        this->onAnswer(now, from, *answer, out);
    } else if (const auto *probe = std::get_if<IndirectProbe>(&message)) {
        this->onIndirectProbe(now, from, *probe, out);
    } else if (const auto *relayed = std::get_if<IndirectProbeAnswer>(&message)) {
        this->onIndirectAnswer(now, *relayed);
    } else {
        return false;
    }
    this->members.refresh();
    return true;
}

auto Membership::onHeartbeat(Instant now, const DaemonId &from, const Heartbeat &message,
                             Outbox &out) -> void
{
    this->absorb(now, message.claims, out);
    this->members.refresh();
    this->noteVersions(from, message.tableVersion, message.configurationGeneration);
    const auto *sender = this->members.find(from);
    if (message.sequence == 0 || sender == nullptr) {
        return;
    }
    HeartbeatAnswer answer{message.sequence, this->table, this->configuration, {}, 0};
    answer.claims = this->claimsFor(from);
    answer.viewDigest = this->members.digest();
    if (answer.viewDigest == message.viewDigest) {
        this->members.countCopyKnown();
    } else if (this->mayRepair(now)) {
        this->members.addSlice(answer.claims, this->settings.claimsPerMessage, this->random());
    }
    out.toPeer(from, std::move(answer));
}

auto Membership::onAnswer(Instant now, const DaemonId &from, const HeartbeatAnswer &message,
                          Outbox &out) -> void
{
    if (this->doubtsItself(now)) {
        this->restartSuspicions(now);
    }
    this->absorb(now, message.claims, out);
    this->members.refresh();
    this->noteVersions(from, message.tableVersion, message.configurationGeneration);
    const auto entry = this->probes.find(message.sequence);
    if (entry != this->probes.end() && entry->second.target == from) {
        this->lastAnswer = now;
        const auto probe = std::move(entry->second);
        this->probes.erase(entry);
        if (auto *member = this->members.find(from)) {
            member->confirmedAt = now;
        }
        if (probe.relay) {
            out.toPeer(probe.relay->requester,
                       IndirectProbeAnswer{from, probe.relay->sequence, true});
        }
    }
    if (message.viewDigest == this->members.digest()) {
        this->members.countCopyKnown();
    } else if (this->mayRepair(now)) {
        auto repair = this->heartbeatFor(from, 0);
        this->members.addSlice(repair.claims, this->settings.claimsPerMessage, this->random());
        out.toPeer(from, std::move(repair));
    }
}

auto Membership::onIndirectProbe(Instant now, const DaemonId &from, const IndirectProbe &message,
                                 Outbox &out) -> void
{
    const auto *target = this->members.find(message.target);
    if (target != nullptr && message.target != this->self.id) {
        this->sendProbe(now, message.target, Relay{from, message.sequence}, out);
    }
}

auto Membership::onIndirectAnswer(Instant now, const IndirectProbeAnswer &message) -> void
{
    const auto entry = this->probes.find(message.sequence);
    if (!message.reachable || entry == this->probes.end()
        || entry->second.target != message.target) {
        return;
    }
    this->lastAnswer = now;
    this->probes.erase(entry);
}

auto Membership::absorb(Instant now, const std::vector<MemberClaim> &claims, Outbox &out) -> void
{
    for (auto claim : claims) {
        if (claim.id == this->self.id) {
            this->defendOwn(now, claim, out);
            continue;
        }
        const auto *known = this->members.find(claim.id);
        const auto confirmedLately = known != nullptr && known->confirmedAt.has_value()
                                     && now - *known->confirmedAt <= this->settings.period;
        if (claim.state == MemberState::Removed && confirmedLately
            && known->claim.state == MemberState::Alive) {
            // It answered just now: give it the time to refute.
            claim.state = MemberState::Suspect;
        }
        this->members.apply(now, claim);
    }
}

/// Contradicts claims that this daemon is lost.
auto Membership::defendOwn(Instant now, const MemberClaim &claim, Outbox &out) -> void
{
    const auto own = this->members.ownClaim();
    const auto isHarmful =
        claim.state == MemberState::Suspect || claim.state == MemberState::Removed;
    if (claim.incarnation != own.incarnation || claim.refutation < own.refutation || !isHarmful) {
        return;
    }
    this->members.raiseOwn(now, own.state, claim.refutation);
    out.log(LogLine("membership_refuted")
                .with("refutation", static_cast<std::int64_t>(claim.refutation + 1))
                .text());
}

auto Membership::heartbeatFor(const DaemonId &target, std::uint64_t sequence) -> Heartbeat
{
    Heartbeat message{sequence, this->table, this->configuration, {}, 0};
    message.claims = this->claimsFor(target);
    message.viewDigest = this->members.digest();
    return message;
}

/// This daemon's own claim goes to those that may not have it, and a daemon is always told what
/// is said against it; the rest is gossip.
auto Membership::claimsFor(const DaemonId &target) -> std::vector<MemberClaim>
{
    std::vector<MemberClaim> claims;
    if (auto *member = this->members.find(target)) {
        if (!member->introduced) {
            claims.push_back(this->members.ownClaim());
        }
        if (member->claim.incarnation.value != 0 && member->claim.state != MemberState::Alive) {
            claims.push_back(member->claim);
        }
        member->introduced = member->isPresent();
    }
    this->members.addGossip(claims, this->settings.claimsPerMessage);
    return claims;
}

auto Membership::mayRepair(Instant now) -> bool
{
    if (now < this->nextRepair) {
        return false;
    }
    this->nextRepair = now + this->settings.repairInterval;
    return true;
}

auto Membership::noteVersions(const DaemonId &from, RecordVersion table,
                              std::uint64_t configuration) -> void
{
    this->heardVersions[from] = {from, table, configuration};
}

} // namespace gooseberrywall
