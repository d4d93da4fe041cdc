#pragma once

#include "common/types/instant.h"

#include <cstddef>

namespace gooseberrywall {

/// Limits of a LoadMeter.
struct LoadMeterSettings
{
    /// Maximum number of keys counted for each shard.
    std::size_t countedKeys = 16;
    /// Maximum number of keys reported for each shard.
    std::size_t maxReportedKeys = 4;
    /// Keys below this share of their shard's load are not reported.
    double minKeyShare = 0.1;
    /// Time constant of the exponential decay of past work.
    Duration keyTimeConstant = std::chrono::seconds{10};
    /// Shards with fewer busy slots are left out of the report; a missing entry means no load.
    double minBusySlots = 0.0005;

    auto operator==(const LoadMeterSettings &) const -> bool = default;
};

} // namespace gooseberrywall
