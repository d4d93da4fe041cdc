#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstdint>
#include <string>

namespace gooseberrywall {

/// What an upstream says of itself in the store.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceName service;
    Address address;
    FailureDomain domain;
    /// Requests that it runs at once.
    int slots = 1;
    bool isDraining = false;
    /// How much longer it is slow after its start, counted from the entry's arrival.
    Duration remainingWarmUp{0};
    /// Differs between successive lives under the same id.
    Incarnation incarnation;
    auto operator==(const UpstreamEntry &) const -> bool = default;
};

} // namespace gooseberrywall
