#include "common/logline.h"
#include "membership/membership.h"

#include <utility>
#include <variant>

namespace gooseberrywall {

auto Membership::onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                           Outbox &out) -> bool
{
    this->compensateStall(now);
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
    this->applyClaims(now, message.claims, out);
    this->members.refresh();
    this->recordVersions(from, message.tableVersion, message.configurationGeneration);
    const auto *sender = this->members.find(from);
    if (message.sequence == 0 || sender == nullptr) {
        return;
    }
    HeartbeatAnswer answer{
        message.sequence, this->tableVersion, this->configurationGeneration, {}, 0};
    answer.claims = this->claimsFor(from);
    answer.viewDigest = this->members.digest();
    if (answer.viewDigest == message.viewDigest) {
        this->members.countCopyOfEachClaim();
    } else if (this->tryStartRepair(now)) {
        this->members.addClaimsInOrder(answer.claims, this->settings.maxClaimsPerMessage,
                                       this->random());
    }
    out.toPeer(from, std::move(answer));
}

auto Membership::onAnswer(Instant now, const DaemonId &from, const HeartbeatAnswer &message,
                          Outbox &out) -> void
{
    if (this->seemsIsolated(now)) {
        this->restartSuspicions(now);
    }
    this->applyClaims(now, message.claims, out);
    this->members.refresh();
    this->recordVersions(from, message.tableVersion, message.configurationGeneration);
    const auto entry = this->probes.find(message.sequence);
    if (entry != this->probes.end() && entry->second.target == from) {
        this->lastAnswerAt = now;
        const auto probe = std::move(entry->second);
        this->probes.erase(entry);
        if (auto *member = this->members.find(from)) {
            member->answeredAt = now;
        }
        if (probe.relayRequest) {
            out.toPeer(probe.relayRequest->requester,
                       IndirectProbeAnswer{from, probe.relayRequest->sequence, true});
        }
    }
    if (message.viewDigest == this->members.digest()) {
        this->members.countCopyOfEachClaim();
    } else if (this->tryStartRepair(now)) {
        auto repair = this->heartbeatFor(from, 0);
        this->members.addClaimsInOrder(repair.claims, this->settings.maxClaimsPerMessage,
                                       this->random());
        out.toPeer(from, std::move(repair));
    }
}

auto Membership::onIndirectProbe(Instant now, const DaemonId &from, const IndirectProbe &message,
                                 Outbox &out) -> void
{
    const auto *target = this->members.find(message.target);
    if (target != nullptr && message.target != this->self.id) {
        this->sendProbe(now, message.target, RelayRequest{from, message.sequence}, out);
    }
}

auto Membership::onIndirectAnswer(Instant now, const IndirectProbeAnswer &message) -> void
{
    const auto entry = this->probes.find(message.sequence);
    if (!message.reachable || entry == this->probes.end()
        || entry->second.target != message.target) {
        return;
    }
    this->lastAnswerAt = now;
    this->probes.erase(entry);
}

auto Membership::applyClaims(Instant now, const std::vector<MemberClaim> &claims, Outbox &out)
    -> void
{
    for (auto claim : claims) {
        if (claim.id == this->self.id) {
            this->refuteClaim(now, claim, out);
            continue;
        }
        const auto *known = this->members.find(claim.id);
        const auto answeredRecently = known != nullptr && known->answeredAt.has_value()
                                      && now - *known->answeredAt <= this->settings.period;
        if (claim.state == MemberState::Removed && answeredRecently
            && known->claim.state == MemberState::Alive) {
            // The daemon answered within the last period: give it time to refute the claim.
            claim.state = MemberState::Suspect;
        }
        this->members.apply(now, claim);
    }
}

/// Raises the refutation number if a claim says that this daemon is suspect or removed.
auto Membership::refuteClaim(Instant now, const MemberClaim &claim, Outbox &out) -> void
{
    const auto own = this->members.ownClaim();
    const auto claimsLoss =
        claim.state == MemberState::Suspect || claim.state == MemberState::Removed;
    if (claim.incarnation != own.incarnation || claim.refutation < own.refutation || !claimsLoss) {
        return;
    }
    this->members.updateOwnClaim(now, own.state, claim.refutation);
    out.log(LogLine("membership_refuted")
                .with("refutation", static_cast<std::int64_t>(claim.refutation + 1))
                .text());
}

auto Membership::heartbeatFor(const DaemonId &target, std::uint64_t sequence) -> Heartbeat
{
    Heartbeat message{sequence, this->tableVersion, this->configurationGeneration, {}, 0};
    message.claims = this->claimsFor(target);
    message.viewDigest = this->members.digest();
    return message;
}

/// Includes this daemon's own claim if the target may lack it, and the claim about the target if it
/// isn't alive, so that the target can refute it. The rest is gossip.
auto Membership::claimsFor(const DaemonId &target) -> std::vector<MemberClaim>
{
    std::vector<MemberClaim> claims;
    if (auto *member = this->members.find(target)) {
        if (!member->ownClaimSent) {
            claims.push_back(this->members.ownClaim());
        }
        if (member->claim.incarnation.value != 0 && member->claim.state != MemberState::Alive) {
            claims.push_back(member->claim);
        }
        member->ownClaimSent = member->isPresent();
    }
    this->members.addGossip(claims, this->settings.maxClaimsPerMessage);
    return claims;
}

auto Membership::tryStartRepair(Instant now) -> bool
{
    if (now < this->nextRepair) {
        return false;
    }
    this->nextRepair = now + this->settings.repairInterval;
    return true;
}

auto Membership::recordVersions(const DaemonId &from, RecordVersion tableVersion,
                                std::uint64_t configurationGeneration) -> void
{
    this->peerVersions[from] = {from, tableVersion, configurationGeneration};
}

} // namespace gooseberrywall
