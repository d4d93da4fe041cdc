#pragma once

#include "common/types/instant.h"
#include "common/types/shardid.h"
#include "placement/hotkeys.h"
#include "placement/types/loadmetersettings.h"
#include "protocol/types/peermessages.h"

#include <map>
#include <optional>
#include <vector>

namespace gooseberrywall {

/// Measures the work that a grantor's upstreams do for each shard and hot key. Shards without work
/// for about a minute are forgotten, which bounds the memory.
class LoadMeter
{
public:
    explicit LoadMeter(LoadMeterSettings settings = {});

    /// Counts one run.
    /// @param serviceTime how long the run held a slot, by the grantor's own clock
    auto recordRun(Instant now, const ShardId &shard, const Key &key, Duration serviceTime) -> void;

    /// @returns a report on the time since the last call, without upstream loads: an entry for each
    ///          busy shard, followed by entries for its heaviest keys
    auto takeReport(Instant now) -> LoadReport;

private:
    struct ShardWork
    {
        /// Time for which runs held slots since the last report.
        double busySeconds = 0.0;
        /// Exponentially decayed total of the busy time.
        double decayedBusySeconds = 0.0;
        HotKeys keys;
    };

    auto addKeys(const ShardId &shard, const ShardWork &work, std::vector<ShardLoad> &loads) const
        -> void;

    LoadMeterSettings settings;
    std::map<ShardId, ShardWork> shards;
    std::optional<Instant> intervalBegin;
    /// Exponentially decayed total of the measured time, to relate decayedBusySeconds to.
    double decayedSeconds = 0.0;
};

} // namespace gooseberrywall
