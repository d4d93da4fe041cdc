#pragma once

#include "membership/internal/memberlist.h"
#include "membership/types/membershipsettings.h"
#include "membership/types/membershipview.h"
#include "membership/types/peerversion.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"
#include "protocol/types/storemessages.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace gooseberrywall {

/// Finds the daemons of a cell and detects their loss, in the manner of SWIM: it sends
/// heartbeats to a few members each period, probes unresponsive members through relays, suspects
/// members before it removes them, and spreads the claims by gossip.
///
/// The view may be wrong about liveness, so ownership never depends on it alone. Messages may be
/// lost, duplicated, delayed or reordered.
class Membership
{
public:
    /// @param self this daemon
    /// @param settings intervals and limits of failure detection and gossip
    /// @param seeds daemons to contact first; incarnation zero if unknown
    /// @param randomSeed seed for the choice of targets
    Membership(DaemonIdentity self, MembershipSettings settings,
               const std::vector<MemberClaim> &seeds, std::uint64_t randomSeed);

    /// Sends due messages and updates the state of unresponsive members. Must be called about every
    /// 10 ms; a gap above the stall threshold counts as a stall of this process.
    auto tick(Instant now, Outbox &out) -> void;

    /// Handles a peer's message.
    /// @returns false if the message doesn't belong to membership
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &out)
        -> bool;

    /// Takes the platform's VM list, which lags behind. New daemons become contacts, and
    /// unresponsive daemons that the list lacks are removed earlier.
    auto onVmList(Instant now, const std::vector<VmEntry> &vms) -> void;

    /// Announces to all present members that this daemon is leaving. It still answers heartbeats.
    auto leave(Instant now, Outbox &out) -> void;

    /// Sets the versions that this daemon tells its peers.
    /// @param tableVersion version of the table that this daemon has
    /// @param configurationGeneration generation of the configuration that this daemon has
    auto setVersions(RecordVersion tableVersion, std::uint64_t configurationGeneration) -> void;

    /// @returns the latest versions of each daemon that sent some since the last call
    [[nodiscard]] auto takePeerVersions() -> std::vector<PeerVersion>;

    /// @returns all daemons whose incarnation is known, including this one, sorted by id
    [[nodiscard]] auto view() const -> const MembershipView & { return this->members.view(); }

    /// @returns a number that increases with each change of the view
    [[nodiscard]] auto viewVersion() const -> std::uint64_t { return this->members.viewVersion(); }

    /// @returns the address of a daemon, also if it is only a contact; nothing if it is unknown
    [[nodiscard]] auto addressOf(const DaemonId &id) const -> std::optional<Address>;

private:
    /// A peer's request to probe another daemon, with the sequence number of the peer's own probe.
    struct RelayRequest
    {
        DaemonId requester;
        std::uint64_t sequence = 0;
    };
    /// A heartbeat that was sent and not answered yet.
    struct Probe
    {
        DaemonId target;
        Instant sentAt{};
        bool relaysAsked = false;
        std::optional<RelayRequest> relayRequest;
    };

    auto compensateStall(Instant now) -> void;
    auto startPeriod(Instant now, Outbox &out) -> void;
    auto contactAbsentMember(Outbox &out) -> void;
    auto sendProbe(Instant now, const DaemonId &target, std::optional<RelayRequest> relayRequest,
                   Outbox &out) -> void;
    auto checkProbes(Instant now, Outbox &out) -> void;
    auto askRelays(const DaemonId &target, std::uint64_t sequence, Outbox &out) -> void;
    auto probeDomainOf(Instant now, const DaemonId &unresponsive, Outbox &out) -> void;
    auto handleProbeTimeout(Instant now, const Probe &probe, Outbox &out) -> void;
    auto checkSuspects(Instant now, Outbox &out) -> void;
    auto sendUrgentGossip(Instant now, Outbox &out) -> void;
    auto forgetExpired(Instant now) -> void;
    auto restartSuspicions(Instant now) -> void;

    auto onHeartbeat(Instant now, const DaemonId &from, const Heartbeat &message, Outbox &out)
        -> void;
    auto onAnswer(Instant now, const DaemonId &from, const HeartbeatAnswer &message, Outbox &out)
        -> void;
    auto onIndirectProbe(Instant now, const DaemonId &from, const IndirectProbe &message,
                         Outbox &out) -> void;
    auto onIndirectAnswer(Instant now, const IndirectProbeAnswer &message) -> void;

    auto applyClaims(Instant now, const std::vector<MemberClaim> &claims, Outbox &out) -> void;
    auto refuteClaim(Instant now, const MemberClaim &claim, Outbox &out) -> void;
    auto setState(Instant now, Member &member, MemberState state, Outbox &out) -> void;
    auto heartbeatFor(const DaemonId &target, std::uint64_t sequence) -> Heartbeat;
    auto claimsFor(const DaemonId &target) -> std::vector<MemberClaim>;
    auto tryStartRepair(Instant now) -> bool;
    auto recordVersions(const DaemonId &from, RecordVersion tableVersion,
                        std::uint64_t configurationGeneration) -> void;

    [[nodiscard]] auto isProbed(const DaemonId &id) const -> bool;
    [[nodiscard]] auto hadAnswerSince(Instant since) const -> bool;
    [[nodiscard]] auto seemsIsolated(Instant now) const -> bool;
    [[nodiscard]] auto isUnlisted(const DaemonId &id) const -> bool;
    [[nodiscard]] auto presentPeers() -> std::vector<DaemonId>;
    [[nodiscard]] auto nextTarget() -> std::optional<DaemonId>;

    DaemonIdentity self;
    MembershipSettings settings;
    std::mt19937_64 random;
    MemberList members;
    std::map<std::uint64_t, Probe> probes;
    std::uint64_t lastSequence = 0;
    std::vector<DaemonId> probeOrder;
    DaemonId absentMemberCursor;
    std::optional<Instant> lastCallAt;
    std::optional<Instant> lastAnswerAt;
    Instant nextPeriod{};
    Instant nextUrgentGossip{};
    Instant nextRepair{};
    std::optional<std::set<DaemonId>> listedDaemons;
    RecordVersion tableVersion;
    std::uint64_t configurationGeneration = 0;
    std::map<DaemonId, PeerVersion> peerVersions;
};

} // namespace gooseberrywall
