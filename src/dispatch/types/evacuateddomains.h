#pragma once

#include "common/types/ids.h"

#include <cstdint>
#include <set>

namespace gooseberrywall {

/// The failure domains that the operators evacuate.
struct EvacuatedDomains
{
    std::set<FailureDomain> domains;
    /// Store revision up to which the set is known; zero: it isn't known.
    std::uint64_t revision = 0;
    auto operator==(const EvacuatedDomains &) const -> bool = default;
};

} // namespace gooseberrywall
