#pragma once

#include "common/types/instant.h"

#include <string>

namespace gooseberrywall {

/// Settings of a cell's coordinator; docs/design/ownership.md says how the times depend on each
/// other.
struct CoordinatorSettings
{
    /// Name of the cell; part of the keys of the lease and the record in the store.
    std::string cell = "cell";
    Duration leaseTimeToLive = std::chrono::milliseconds{2000};
    Duration leaseRenewInterval = std::chrono::milliseconds{900};
    /// Time between attempts to take the lease while its holder seems gone.
    Duration leaseTryInterval = std::chrono::milliseconds{250};
    /// Time between attempts to take the lease while its holder seems present.
    Duration leaseIdleInterval = std::chrono::seconds{5};
    /// Time for which a daemon that seems cut off from the others doesn't try for the lease, so
    /// that one of them can take it.
    Duration leaseYieldTime = std::chrono::seconds{3};
    Duration storeTimeout = std::chrono::milliseconds{400};
    /// Upper limit of the delay between lease attempts while the store doesn't answer; also the
    /// delay of the next write after a record was too large.
    Duration storeBackoffLimit = std::chrono::seconds{2};
    /// Minimum time between two writes of the record.
    Duration writeInterval = std::chrono::milliseconds{20};
    Duration planningInterval = std::chrono::seconds{1};
    /// Maximum number of moves of owned shards between live upstreams, and of changes of pinned
    /// keys, that begin in one planning interval.
    int moveBudget = 4;
    /// Moves off leaving upstreams begin only while fewer transfers than this are under way.
    int drainBudget = 64;
    /// A VM that was in the platform's list counts as gone after it was missing for this time.
    Duration vmAbsenceTime = std::chrono::seconds{30};
    /// Daemons that the membership view doesn't list count as gone this long after the first view.
    Duration membershipSettleTime = std::chrono::seconds{2};

    auto operator==(const CoordinatorSettings &) const -> bool = default;
};

} // namespace gooseberrywall
