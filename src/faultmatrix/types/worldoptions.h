#pragma once

#include "common/types/instant.h"

#include <cstdint>

namespace gooseberrywall {

/// Settings of a world.
struct WorldOptions
{
    /// Each in a failure domain of its own.
    int daemons = 4;
    int upstreams = 3;
    int shards = 6;
    std::uint64_t seed = 1;
    /// Whether upstreams check the sender of an order.
    bool checksSender = true;
    /// One-way delay between failure domains.
    Duration domainDelay = std::chrono::microseconds{750};
    Duration storeDelay = std::chrono::milliseconds{2};
    Duration tickInterval = std::chrono::milliseconds{10};
    Duration requestInterval = std::chrono::milliseconds{25};
    /// Each request repeats the same steps, so only every n-th of a name is counted; this is n.
    std::uint64_t requestStepInterval = 8;
    /// Time until a lost daemon's VM is replaced.
    Duration replacementTime = std::chrono::seconds{4};
    /// Duration of cuts, freezes and outages; a pause lasts 2 s longer.
    Duration faultTime = std::chrono::seconds{4};

    auto operator==(const WorldOptions &) const -> bool = default;
};

} // namespace gooseberrywall
