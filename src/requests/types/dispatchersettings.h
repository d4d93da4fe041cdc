#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/shardid.h"

#include <cstddef>

namespace gooseberrywall {

/// How the grantor side queues, mirrors and remembers.
struct DispatcherSettings
{
    /// How long after its deadline a running request waits for the upstream's own word.
    Duration runGrace = std::chrono::milliseconds{50};
    /// Work that would wait longer than this in the queue is refused, so that the queue drains
    /// quickly after a crest.
    Duration maximalQueueDelay = std::chrono::milliseconds{250};
    Duration firstBackoff = std::chrono::milliseconds{5};
    /// Tries to run one request, the first included.
    int maximalTries = 3;
    /// After this time without acknowledgement a mirror message is sent again.
    Duration mirrorResendInterval = std::chrono::milliseconds{20};
    /// After this time without acknowledgement requests that need the mirror are refused.
    Duration mirrorTimeout = std::chrono::milliseconds{500};
    /// Run non-idempotent requests also where the record names no stand-by. An outcome is then
    /// remembered by the grantor alone.
    bool runWithoutStandby = false;
    /// Bodies of answers up to this size are kept for resends.
    std::size_t keptAnswerLimitBytes = std::size_t{16} * 1024;
    /// A mirror or handover message carries about this much at most.
    std::size_t messageLimitBytes = std::size_t{128} * 1024;
    /// How far the clocks of callers may differ from a daemon's; compared with ids' times of issue.
    std::chrono::milliseconds clockSkew{2000};
    /// How long a new grantor waits for the outcome memory of an earlier one.
    Duration handoverReceiveTimeout = std::chrono::seconds{1};
    /// How long an earlier grantor repeats its handover.
    Duration handoverResendInterval = std::chrono::milliseconds{50};
    Duration handoverSendTimeout = std::chrono::seconds{5};
    /// A connection that breaks this shortly before its upstream is found lost counts as broken
    /// by the loss.
    Duration crashWindow = std::chrono::seconds{10};
    /// Suspects of a crash are forgotten after this time.
    Duration suspectRetention = std::chrono::minutes{10};

    auto operator==(const DispatcherSettings &) const -> bool = default;
};

/// One request that an upstream completed, for the load meter.
struct CompletedRun
{
    ShardId shard;
    Key key;
    Duration serviceTime{0};
    UpstreamId upstream;

    auto operator==(const CompletedRun &) const -> bool = default;
};

} // namespace gooseberrywall
