#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstddef>

namespace gooseberrywall {

/// How a stand-in upstream behaves.
struct UpstreamModelSettings
{
    UpstreamId id;
    /// Refuses order batches under a lower term than the highest that it accepted.
    bool checksSender = true;
    /// Grants end by themselves; otherwise `until` and the time to live are ignored.
    bool grantsExpire = true;

    int slots = 3;
    /// Runs that wait for a slot; more are shed.
    std::size_t queueLimit = 8;
    /// Service time of operations that don't name their own; see OperationPlan.
    Duration serviceTime = std::chrono::milliseconds{2};
    /// For this time after the start, runs take longer: at first `coldStartFactor` times as long,
    /// then less in a straight line.
    Duration coldStart{0};
    double coldStartFactor = 4.0;

    /// Once draining, runs of held shards are still taken for this time.
    Duration drainGrace = std::chrono::seconds{3};
    /// Health and load in reports are renewed no more often than this.
    Duration reportLag{0};

    /// What the upstream's clock shows at the start.
    UpstreamInstant clockStart{};
    /// By how much its clock runs faster than the time that is passed in, in parts per million.
    std::int64_t clockRatePpm = 0;

    auto operator==(const UpstreamModelSettings &) const -> bool = default;
};

} // namespace gooseberrywall
