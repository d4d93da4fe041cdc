#pragma once

#include "common/types/fence.h"
#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/shardid.h"
#include "protocol/types/upstreammessages.h"

#include <optional>

namespace gooseberrywall {

/// One run that took a slot. Times are on the clock of the driver, not on the upstream's own.
struct RunRecord
{
    /// The upstream's incarnation that started the run.
    Incarnation incarnation;
    RequestId id;
    AttemptId attempt;
    ShardId shard;
    Fence fence;
    Key key;
    bool idempotent = true;
    Instant start{};
    /// Without a value while the run is in progress, and for good if the upstream crashed.
    std::optional<Instant> end;
    /// Whether the run passed the check of grant and deadline at its end and so took effect.
    bool effect = false;
    RunStatus status = RunStatus::Aborted;

    auto operator==(const RunRecord &) const -> bool = default;
};

} // namespace gooseberrywall
