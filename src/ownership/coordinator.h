#pragma once

#include "ownership/coordinatorcore.h"

#include <utility>

namespace gooseberrywall {

/// The coordinator role of one daemon with a placement policy; see CoordinatorCore.
/// @tparam Placement decides which shards move where
template<PlacementPolicy Placement>
class Coordinator : public CoordinatorCore
{
public:
    /// @param seed differs between incarnations of a process; makes operation ids unique and
    ///        randomises the delay of retries
    Coordinator(DaemonIdentity self, CoordinatorSettings settings, Placement placement,
                std::uint64_t seed)
        : CoordinatorCore(
            std::move(self), std::move(settings),
            [policy = std::move(placement)](Instant now, const PlacementInput &input) mutable {
                return policy.plan(now, input);
            },
            seed)
    {
    }
};

} // namespace gooseberrywall
