#pragma once

#include "common/types/instant.h"

#include <cstddef>

namespace gooseberrywall {

/// Limits of a LoadMeter.
struct LoadMeterSettings
{
    /// Keys that are counted in each shard.
    std::size_t countedKeys = 16;
    /// Keys of a shard that are reported at most.
    std::size_t maxReportedKeys = 4;
    /// A key is reported from this share of its shard's load.
    double minKeyShare = 0.1;
    /// Time constant after which past work of a key counts less.
    Duration keyTimeConstant = std::chrono::seconds{10};
    /// Loads below this many busy slots are left out; no entry means no load.
    double minBusySlots = 0.0005;

    auto operator==(const LoadMeterSettings &) const -> bool = default;
};

} // namespace gooseberrywall
