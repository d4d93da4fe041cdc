#pragma once

#include "membership/types/membershipview.h"
#include "protocol/types/cellrecord.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// Chooses grantors and stand-bys among the alive daemons: by failure domain first, then those with
/// the least weight of roles.
class DaemonChooser
{
public:
    DaemonChooser(const MembershipView &view, const CellRecord &record);

    /// @returns a daemon outside the upstream's failure domain; one inside it if there is no other;
    ///          nothing if no daemon is alive
    [[nodiscard]] auto grantorFor(const UpstreamEntry &upstream) -> std::optional<MemberClaim>;

    /// @returns a daemon outside the failure domains of grantor and upstream if there is one, else
    ///          preferably one outside the grantor's; nothing if no daemon but the grantor is alive
    [[nodiscard]] auto standbyFor(const UpstreamEntry &upstream) -> std::optional<MemberClaim>;

    /// @returns the upstream's stand-by if that incarnation is alive and in another failure
    ///          domain than the upstream; else nothing
    [[nodiscard]] auto standbyAsGrantor(const UpstreamEntry &upstream) const
        -> std::optional<MemberClaim>;

private:
    [[nodiscard]] auto findAlive(const DaemonId &id) const -> const MemberClaim *;

    const MembershipView &view;
    /// Sum of each daemon's roles as grantor and stand-by, in stand-by roles.
    std::map<DaemonId, int> roleWeights;
};

/// @returns the daemons that may try for the coordinator's lease, in different failure domains if
///          possible; the same on all daemons with the same view
[[nodiscard]] auto coordinatorCandidates(const MembershipView &view) -> std::vector<DaemonId>;

} // namespace gooseberrywall
