#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstddef>

namespace gooseberrywall {

/// Behaviour of an UpstreamModel.
struct UpstreamModelSettings
{
    UpstreamId id;
    /// Refuses order batches under a lower term than the highest that it accepted.
    bool checksSender = true;
    /// Grants expire; otherwise `until` and the time to live are ignored.
    bool grantsExpire = true;

    int slots = 3;
    /// Maximum number of runs that wait for a slot; further runs are shed.
    std::size_t queueLimit = 8;
    /// Service time of operations that don't specify one; see OperationPlan.
    Duration serviceTime = std::chrono::milliseconds{2};
    /// How long runs are slower after the start of an incarnation: at first by `coldStartFactor`,
    /// then decreasing linearly to the normal service time.
    Duration coldStart{0};
    /// Factor on the service time at the start of an incarnation.
    double coldStartFactor = 4.0;

    /// How long runs of held shards are still accepted after draining has begun.
    Duration drainGrace = std::chrono::seconds{3};
    /// Minimum age at which load, busy slots and draining state in reports are refreshed.
    Duration reportLag{0};

    /// Time of the upstream's clock at the start.
    UpstreamInstant clockStart{};
    /// Drift of the upstream's clock against the driver's time, in parts per million; positive if
    /// it runs faster.
    std::int64_t clockRatePpm = 0;

    auto operator==(const UpstreamModelSettings &) const -> bool = default;
};

} // namespace gooseberrywall
