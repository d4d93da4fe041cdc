#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstdint>
#include <string>

namespace gooseberrywall {

/// An upstream's registration in the store.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceName service;
    Address address;
    FailureDomain domain;
    /// Requests that it can run at once.
    int slots = 1;
    bool isDraining = false;
    /// The store doesn't show it any more, perhaps because of an outage. It may also have left, so
    /// it gets requests only where no other can take them.
    bool isMissing = false;
    /// Time until it has warmed up after its start, counted from the arrival of this entry; it is
    /// slower until then.
    Duration remainingWarmUp{0};
    /// Store revision of the entry that states remainingWarmUp, so that an entry which states the
    /// same time anew differs from the one before; 0 where there is no warm-up.
    std::uint64_t warmUpRevision = 0;
    /// Differs between successive processes with the same id.
    Incarnation incarnation;
    auto operator==(const UpstreamEntry &) const -> bool = default;
};

} // namespace gooseberrywall
