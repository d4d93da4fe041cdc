#pragma once

#include "membership/types/membershipview.h"
#include "ownership/internal/servicepolicies.h"
#include "protocol/types/storemessages.h"

#include <map>
#include <optional>
#include <vector>

namespace gooseberrywall {

/// What a daemon knows about its cell apart from the record: daemons, VMs and service policies.
class CellView
{
public:
    /// @param settleTime time after the first membership view from which daemons that aren't listed
    ///        count as gone
    /// @param absenceTime time after which a VM that left the platform's list counts as gone
    CellView(Duration settleTime, Duration absenceTime);

    /// @returns whether anything changed
    auto setMembership(Instant now, const MembershipView &newView) -> bool;
    /// @returns whether anything changed
    auto setVms(Instant now, const std::vector<VmEntry> &newVms) -> bool;

    ServicePolicies policies;

    [[nodiscard]] auto membership() const -> const MembershipView & { return this->membershipView; }
    [[nodiscard]] auto vms() const -> const std::vector<VmEntry> & { return this->vmList; }

    /// @returns the VM's entry in the platform's list, or nullptr
    [[nodiscard]] auto vm(const std::string &id) const -> const VmEntry *;

    /// @returns whether the VM was in the platform's list and has been missing for the absence time
    [[nodiscard]] auto isVmGone(Instant now, const std::string &id) const -> bool;

    /// @returns whether the membership shows that this incarnation of the daemon has ended, or
    ///          lacks the daemon after the settle time; it may still run, see daemonEndedAt()
    [[nodiscard]] auto isDaemonGone(Instant now, const DaemonId &id, Incarnation incarnation) const
        -> bool;

    [[nodiscard]] auto isDaemonAlive(const DaemonId &id, Incarnation incarnation) const -> bool;

    /// @returns whether more daemons were removed lately than are left, so that it may be this
    ///          daemon that is cut off
    [[nodiscard]] auto seemsCutOff(Instant now) const -> bool;

    /// @returns from when on it is certain that this incarnation of the daemon has ended, because a
    ///          later incarnation was seen, or because it is gone from both the membership and the
    ///          platform's list; nothing if it isn't certain
    [[nodiscard]] auto daemonEndedAt(Instant now, const DaemonId &id, Incarnation incarnation) const
        -> std::optional<Instant>;

private:
    auto updateRemoval(Instant now, const MemberClaim &member) -> void;

    MembershipView membershipView;
    std::optional<Instant> firstViewAt;
    std::vector<VmEntry> vmList;
    /// Since when each VM that was ever listed has been missing; nothing while it is listed.
    std::map<std::string, std::optional<Instant>> missingSince;
    /// The latest incarnation of each daemon and when it was first seen.
    std::map<DaemonId, std::pair<Incarnation, Instant>> latestIncarnations;
    std::map<DaemonId, Instant> removedAt;
    Duration settleTime;
    Duration absenceTime;
};

} // namespace gooseberrywall
