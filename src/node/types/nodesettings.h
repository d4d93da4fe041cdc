#pragma once

#include "common/types/instant.h"
#include "configuration/configurationeditor.h"
#include "configuration/types/keepertypes.h"
#include "membership/types/membershipsettings.h"
#include "ownership/types/coordinatorsettings.h"
#include "ownership/types/grantorsettings.h"
#include "placement/types/placementsettings.h"
#include "protocol/types/peermessages.h"
#include "requests/types/dispatchersettings.h"
#include "requests/types/routersettings.h"

#include <vector>

namespace gooseberrywall {

/// Interval at which the driver calls Node::tick.
inline constexpr Duration nodeTickInterval = std::chrono::milliseconds{5};

/// Settings of all roles of a node.
struct NodeSettings
{
    MembershipSettings membership;
    GrantorSettings grantor;
    CoordinatorSettings coordinator;
    RouterSettings router;
    DispatcherSettings dispatcher;
    KeeperSettings keeper;
    EditorSettings editor;
    PlacementSettings placement;
    /// Daemons to contact first.
    std::vector<MemberClaim> seeds;
    /// Interval between two load reports to the coordinator.
    Duration loadReportInterval = std::chrono::seconds{1};
};

} // namespace gooseberrywall
