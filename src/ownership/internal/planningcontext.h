#pragma once

#include "ownership/internal/cellview.h"
#include "ownership/internal/receivedreports.h"
#include "ownership/types/coordinatorsettings.h"
#include "protocol/types/daemonidentity.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// What the next version of the record is derived from, apart from the stored version.
struct PlanningContext
{
    Instant now;
    const DaemonIdentity &self;
    const CoordinatorSettings &settings;
    const CellView &cellView;
    const ReceivedReports &reports;
    /// Since when no other daemon can have given authority to a grantor.
    Instant leaseHeldSince;
    /// When this coordinator last gave authority to each daemon.
    const std::map<DaemonId, Instant> &authorityGivenAt;
};

} // namespace gooseberrywall
