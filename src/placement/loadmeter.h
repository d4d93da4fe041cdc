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

/// Measures a grantor's work by shard and hot key. Memory is bounded by the shards that saw work
/// within the last minute or so.
class LoadMeter
{
public:
    explicit LoadMeter(LoadMeterSettings settings = {});

    /// Counts one run.
    /// @param serviceTime how long it held a slot, by the grantor's own clock
    auto recordRun(Instant now, const ShardId &shard, const Key &key, Duration serviceTime) -> void;

    /// @returns a report without upstreams on the time since the last call: an entry a busy shard,
    ///          followed by entries for the keys of it that stand out
    auto takeReport(Instant now) -> LoadReport;

private:
    struct ShardWork
    {
        /// Busy seconds since the last report.
        double busySeconds = 0.0;
        /// The same with old work counting less.
        double decayedBusySeconds = 0.0;
        HotKeys keys;
    };

    auto addKeys(const ShardId &shard, const ShardWork &work, std::vector<ShardLoad> &loads) const
        -> void;

    LoadMeterSettings settings;
    std::map<ShardId, ShardWork> shards;
    std::optional<Instant> intervalBegin;
    /// Length of the past that fadingSeconds stands for.
    double decayedSeconds = 0.0;
};

} // namespace gooseberrywall
