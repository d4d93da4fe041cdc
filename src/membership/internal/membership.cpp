#include "membership/membership.h"

#include "common/logline.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration urgentGossipInterval = std::chrono::milliseconds{20};
/// Periods without an answer after which a daemon takes itself for isolated.
constexpr int isolationPeriods = 2;

auto stateName(MemberState state) -> std::string_view
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Removed:
        return "removed";
    }
    return "unknown";
}

} // namespace

Membership::Membership(DaemonIdentity self, MembershipSettings settings,
                       const std::vector<MemberClaim> &seeds, std::uint64_t randomSeed)
    : self(std::move(self))
    , settings(settings)
    , random(randomSeed)
    , members(this->self)
{
    for (const auto &seed : seeds) {
        this->members.addContact(seed);
    }
}

auto Membership::tick(Instant now, Outbox &out) -> void
{
    this->compensateStall(now);
    if (now >= this->nextPeriod) {
        this->startPeriod(now, out);
    }
    this->checkProbes(now, out);
    this->checkSuspects(now, out);
    this->sendUrgentGossip(now, out);
    this->members.refresh();
}

auto Membership::onVmList(Instant now, const std::vector<VmEntry> &vms) -> void
{
    std::set<DaemonId> ids;
    for (const auto &vm : vms) {
        if (vm.role != VmRole::Daemon) {
            continue;
        }
        const DaemonId id{vm.id};
        ids.insert(id);
        this->members.addContact({id, Incarnation{}, vm.domain, vm.address, MemberState::Alive, 0});
    }
    this->listedDaemons = std::move(ids);
    this->forgetExpired(now);
    this->members.refresh();
}

auto Membership::leave(Instant now, Outbox &out) -> void
{
    this->members.updateOwnClaim(now, MemberState::Leaving, this->members.ownClaim().refutation);
    this->members.refresh();
    for (const auto &id : this->presentPeers()) {
        auto message = this->heartbeatFor(id, 0);
        message.claims = {this->members.ownClaim()};
        out.toPeer(id, std::move(message));
    }
}

auto Membership::setVersions(RecordVersion tableVersion, std::uint64_t configurationGeneration)
    -> void
{
    this->tableVersion = tableVersion;
    this->configurationGeneration = configurationGeneration;
}

auto Membership::takePeerVersions() -> std::vector<PeerVersion>
{
    std::vector<PeerVersion> versions;
    for (const auto &[id, version] : this->peerVersions) {
        versions.push_back(version);
    }
    this->peerVersions.clear();
    return versions;
}

auto Membership::addressOf(const DaemonId &id) const -> std::optional<Address>
{
    const auto *member = this->members.find(id);
    if (member == nullptr) {
        return std::nullopt;
    }
    return member->claim.address;
}

/// A stall of this process is no evidence against other daemons. A short one is added to the
/// running timers; after one longer than a period all probes are dropped and suspicions start
/// again.
auto Membership::compensateStall(Instant now) -> void
{
    const auto gap = this->lastCallAt ? now - *this->lastCallAt : Duration{0};
    this->lastCallAt = now;
    if (gap <= this->settings.stallThreshold) {
        return;
    }
    if (gap > this->settings.period) {
        this->probes.clear();
        this->lastAnswerAt.reset();
        this->restartSuspicions(now);
        return;
    }
    for (auto &[sequence, probe] : this->probes) {
        probe.sentAt += gap;
    }
    for (auto &[id, member] : this->members.all()) {
        member.stateSince += gap;
    }
}

auto Membership::startPeriod(Instant now, Outbox &out) -> void
{
    // Periods vary by 5 % either way, so that the daemons' heartbeats don't synchronise.
    const auto jitter = Duration{static_cast<Duration::rep>(this->random() % 1000)}
                        * this->settings.period.count() / 10000;
    this->nextPeriod = now + this->settings.period * 19 / 20 + jitter;
    for (std::size_t sent = 0; sent < this->settings.fanOut; ++sent) {
        const auto target = this->nextTarget();
        if (!target) {
            break;
        }
        this->sendProbe(now, *target, std::nullopt, out);
    }
    this->contactAbsentMember(out);
    this->forgetExpired(now);
}

/// Sends one heartbeat to a daemon of which only the address is known or that was removed, taking
/// them in turn. New cells form and healed partitions merge this way.
auto Membership::contactAbsentMember(Outbox &out) -> void
{
    auto &all = this->members.all();
    for (std::size_t visited = 0; visited < all.size(); ++visited) {
        auto entry = all.upper_bound(this->absentMemberCursor);
        if (entry == all.end()) {
            entry = all.begin();
        }
        this->absentMemberCursor = entry->first;
        if (!entry->second.isPresent()) {
            this->lastSequence += 1;
            out.toPeer(entry->first, this->heartbeatFor(entry->first, this->lastSequence));
            return;
        }
    }
}

auto Membership::sendProbe(Instant now, const DaemonId &target,
                           std::optional<RelayRequest> relayRequest, Outbox &out) -> void
{
    this->lastSequence += 1;
    this->probes[this->lastSequence] = {target, now, false, std::move(relayRequest)};
    out.toPeer(target, this->heartbeatFor(target, this->lastSequence));
}

auto Membership::checkProbes(Instant now, Outbox &out) -> void
{
    const auto probeTimeout = this->settings.directTimeout + this->settings.indirectTimeout;
    std::vector<DaemonId> unresponsive;
    for (auto entry = this->probes.begin(); entry != this->probes.end();) {
        auto &probe = entry->second;
        if (now - probe.sentAt >= probeTimeout) {
            this->handleProbeTimeout(now, probe, out);
            entry = this->probes.erase(entry);
            continue;
        }
        const auto isOwn = !probe.relayRequest.has_value();
        if (isOwn && !probe.relaysAsked && now - probe.sentAt >= this->settings.directTimeout) {
            probe.relaysAsked = true;
            this->askRelays(probe.target, entry->first, out);
            unresponsive.push_back(probe.target);
        }
        ++entry;
    }
    for (const auto &target : unresponsive) {
        this->probeDomainOf(now, target, out);
    }
}

/// Daemons of one failure domain are often lost together. If one doesn't answer, a few others of
/// its domain are probed at once instead of in their turn.
auto Membership::probeDomainOf(Instant now, const DaemonId &unresponsive, Outbox &out) -> void
{
    const auto *member = this->members.find(unresponsive);
    if (member == nullptr) {
        return;
    }
    const auto domain = member->claim.domain;
    auto neighbours = this->presentPeers();
    std::erase_if(neighbours, [this, &domain](const DaemonId &id) {
        const auto &claim = this->members.find(id)->claim;
        return claim.domain != domain || claim.state != MemberState::Alive || this->isProbed(id);
    });
    std::shuffle(neighbours.begin(), neighbours.end(), this->random);
    neighbours.resize(std::min(neighbours.size(), this->settings.fanOut));
    for (const auto &id : neighbours) {
        this->sendProbe(now, id, std::nullopt, out);
    }
}

/// Relays in a third failure domain are preferred, because a cut between the domains of this daemon
/// and of the target doesn't affect them.
auto Membership::askRelays(const DaemonId &target, std::uint64_t sequence, Outbox &out) -> void
{
    const auto *unresponsive = this->members.find(target);
    if (unresponsive == nullptr) {
        return;
    }
    auto relays = this->presentPeers();
    std::erase(relays, target);
    std::shuffle(relays.begin(), relays.end(), this->random);
    std::stable_partition(relays.begin(), relays.end(), [this, unresponsive](const DaemonId &id) {
        const auto &domain = this->members.find(id)->claim.domain;
        return domain != unresponsive->claim.domain && domain != this->self.domain;
    });
    relays.resize(std::min(relays.size(), this->settings.relayCount));
    for (const auto &relay : relays) {
        out.toPeer(relay, IndirectProbe{target, sequence});
    }
}

auto Membership::handleProbeTimeout(Instant now, const Probe &probe, Outbox &out) -> void
{
    auto *member = this->members.find(probe.target);
    if (probe.relayRequest || member == nullptr || !member->isPresent()) {
        return;
    }
    // The target may have missed this daemon's claim, without which it can't answer.
    member->ownClaimSent = false;
    if (!this->hadAnswerSince(probe.sentAt) && !this->isUnlisted(probe.target)) {
        return;
    }
    if (member->claim.state == MemberState::Alive) {
        this->setState(now, *member, MemberState::Suspect, out);
        out.toPeer(probe.target, this->heartbeatFor(probe.target, 0));
        return;
    }
    if (member->claim.state == MemberState::Leaving) {
        this->setState(now, *member, MemberState::Removed, out);
    }
}

auto Membership::checkSuspects(Instant now, Outbox &out) -> void
{
    this->members.refresh();
    if (!this->members.hasSuspects()) {
        return;
    }
    for (auto &[id, member] : this->members.all()) {
        if (member.claim.state != MemberState::Suspect || member.claim.incarnation.value == 0) {
            continue;
        }
        const auto unlisted = this->isUnlisted(id);
        const auto timeout =
            unlisted ? this->settings.unlistedSuspicionTimeout : this->settings.suspicionTimeout;
        if (now - member.stateSince < timeout || (this->seemsIsolated(now) && !unlisted)) {
            continue;
        }
        this->setState(now, member, MemberState::Removed, out);
    }
}

auto Membership::sendUrgentGossip(Instant now, Outbox &out) -> void
{
    if (now < this->nextUrgentGossip || !this->members.takeUrgentRound()) {
        return;
    }
    this->nextUrgentGossip = now + urgentGossipInterval;
    auto targets = this->presentPeers();
    std::shuffle(targets.begin(), targets.end(), this->random);
    targets.resize(std::min(targets.size(), this->settings.fanOut));
    for (const auto &target : targets) {
        out.toPeer(target, this->heartbeatFor(target, 0));
    }
}

auto Membership::forgetExpired(Instant now) -> void
{
    std::vector<DaemonId> expired;
    for (const auto &[id, member] : this->members.all()) {
        const auto isContact = member.claim.incarnation.value == 0;
        const auto isOld = now - member.stateSince >= this->settings.removedRetention;
        const auto isExpired =
            isContact ? this->isUnlisted(id) : member.claim.state == MemberState::Removed && isOld;
        if (isExpired) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        this->members.erase(id);
    }
}

auto Membership::restartSuspicions(Instant now) -> void
{
    for (auto &[id, member] : this->members.all()) {
        if (member.claim.state == MemberState::Suspect) {
            member.stateSince = now;
        }
    }
}

auto Membership::setState(Instant now, Member &member, MemberState state, Outbox &out) -> void
{
    auto claim = member.claim;
    claim.state = state;
    if (!this->members.apply(now, claim)) {
        return;
    }
    out.log(LogLine("member_" + std::string(stateName(state)))
                .with("daemon", claim.id.value)
                .with("incarnation", static_cast<std::int64_t>(claim.incarnation.value))
                .text());
}

auto Membership::isProbed(const DaemonId &id) const -> bool
{
    return std::any_of(this->probes.begin(), this->probes.end(), [&id](const auto &entry) {
        return entry.second.target == id && !entry.second.relayRequest;
    });
}

auto Membership::hadAnswerSince(Instant since) const -> bool
{
    return this->lastAnswerAt.has_value() && *this->lastAnswerAt >= since;
}

auto Membership::seemsIsolated(Instant now) const -> bool
{
    return !this->hadAnswerSince(now - isolationPeriods * this->settings.period);
}

auto Membership::isUnlisted(const DaemonId &id) const -> bool
{
    // A list that lacks this daemon itself is out of date.
    return this->listedDaemons.has_value() && this->listedDaemons->contains(this->self.id)
           && !this->listedDaemons->contains(id);
}

auto Membership::presentPeers() -> std::vector<DaemonId>
{
    std::vector<DaemonId> ids;
    for (const auto &[id, member] : this->members.all()) {
        if (id != this->self.id && member.isPresent()) {
            ids.push_back(id);
        }
    }
    return ids;
}

/// Returns each present member once a round, in a new random order each round.
auto Membership::nextTarget() -> std::optional<DaemonId>
{
    if (this->probeOrder.empty()) {
        this->probeOrder = this->presentPeers();
        std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), this->random);
    }
    while (!this->probeOrder.empty()) {
        auto target = std::move(this->probeOrder.back());
        this->probeOrder.pop_back();
        const auto *member = this->members.find(target);
        if (member != nullptr && member->isPresent()) {
            return target;
        }
    }
    return std::nullopt;
}

} // namespace gooseberrywall
