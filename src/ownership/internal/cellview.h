#pragma once

#include "membership/types/membershipview.h"
#include "ownership/internal/servicepolicies.h"
#include "protocol/types/storemessages.h"

#include <map>
#include <optional>
#include <vector>

namespace gooseberrywall {

/// What a daemon knows of its cell's daemons, VMs and policies, beside the record.
class CellView
{
public:
    /// @param settleTime daemons that were never heard of count as gone after this time
    /// @param absenceTime a VM that left the platform's list is gone after this time
    CellView(Duration settleTime, Duration absenceTime);

    /// @returns whether anything changed
    auto setMembership(Instant now, const MembershipView &membershipView) -> bool;
    /// @returns whether anything changed
    auto setVms(Instant now, const std::vector<VmEntry> &vms) -> bool;

    ServicePolicies policies;

    [[nodiscard]] auto membership() const -> const MembershipView & { return this->membershipView; }
    [[nodiscard]] auto vms() const -> const std::vector<VmEntry> & { return this->vmList; }

    /// @returns the VM's entry in the platform's list, or nullptr
    [[nodiscard]] auto vm(const std::string &id) const -> const VmEntry *;

    /// @returns whether the VM was in the list once and hasn't been for the absence time
    [[nodiscard]] auto isVmGone(Instant now, const std::string &id) const -> bool;

    /// @returns whether the heartbeats say that this life of the daemon is over
    [[nodiscard]] auto isDaemonGone(Instant now, const DaemonId &id, Incarnation incarnation) const
        -> bool;

    [[nodiscard]] auto isDaemonAlive(const DaemonId &id, Incarnation incarnation) const -> bool;

    /// @returns whether more daemons were removed lately than are left: it may be this daemon that
    /// is
    ///          cut off
    [[nodiscard]] auto seemsCutOff(Instant now) const -> bool;

    /// @returns since when it is certain that this life of the daemon is over: a later life was
    ///          heard of, or heartbeats and the platform's list agree that it is gone
    [[nodiscard]] auto daemonEndedAt(Instant now, const DaemonId &id, Incarnation incarnation) const
        -> std::optional<Instant>;

private:
    auto updateRemoval(Instant now, const MemberClaim &member) -> void;

    MembershipView membershipView;
    std::optional<Instant> firstViewAt;
    std::vector<VmEntry> vmList;
    /// When a VM that was listed once was first missing.
    std::map<std::string, std::optional<Instant>> missingSince;
    std::map<DaemonId, std::pair<Incarnation, Instant>> latestIncarnations;
    std::map<DaemonId, Instant> removedAt;
    Duration settleTime;
    Duration absenceTime;
};

} // namespace gooseberrywall
