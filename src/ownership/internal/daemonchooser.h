#pragma once

#include "membership/types/membershipview.h"
#include "protocol/types/cellrecord.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// Chooses grantors and stand-bys: alive daemons in the right failure domains, the least burdened
/// first.
class DaemonChooser
{
public:
    DaemonChooser(const MembershipView &view, const CellRecord &record);

    /// @returns a daemon outside the upstream's failure domain; one inside it where there is no
    ///          other; nothing where no daemon is alive
    [[nodiscard]] auto grantorFor(const UpstreamEntry &upstream) -> std::optional<MemberClaim>;

    /// @returns a daemon in a third failure domain, or at least not in the grantor's
    [[nodiscard]] auto standbyFor(const UpstreamEntry &upstream) -> std::optional<MemberClaim>;

    /// @returns whether the upstream's stand-by is alive and may become its grantor
    [[nodiscard]] auto standbyAsGrantor(const UpstreamEntry &upstream) const
        -> std::optional<MemberClaim>;

private:
    [[nodiscard]] auto findAlive(const DaemonId &id) const -> const MemberClaim *;

    const MembershipView &view;
    std::map<DaemonId, int> roleWeights;
};

/// @returns the daemons that may try for the coordinator's lease, in order of rank, in differing
///          failure domains as far as there are
[[nodiscard]] auto coordinatorCandidates(const MembershipView &view) -> std::vector<DaemonId>;

} // namespace gooseberrywall
