#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/shardid.h"

#include <cstddef>

namespace gooseberrywall {

/// Settings of the grantor side of requests.
struct DispatcherSettings
{
    /// How long after its deadline a running request still waits for the upstream's answer.
    Duration runGrace = std::chrono::milliseconds{50};
    /// Short work that would wait longer than this in the queue is refused, so that the queue
    /// drains quickly after a load peak.
    Duration maximalQueueDelay = std::chrono::milliseconds{250};
    Duration firstBackoff = std::chrono::milliseconds{5};
    /// Limit on tries to run one request, including the first.
    int maximalTries = 3;
    /// A mirror message that isn't acknowledged is sent again after this time.
    Duration mirrorResendInterval = std::chrono::milliseconds{20};
    /// Requests that need the mirror are refused after this time without an acknowledgement.
    Duration mirrorTimeout = std::chrono::milliseconds{500};
    /// Whether to run non-idempotent requests also where the record names no stand-by; their
    /// outcomes are then remembered by the grantor alone.
    bool runWithoutStandby = false;
    /// Answer bodies up to this size are kept, so that a resent request gets the same answer.
    std::size_t keptAnswerLimitBytes = std::size_t{16} * 1024;
    /// Approximate limit on the size of a mirror or handover message.
    std::size_t messageLimitBytes = std::size_t{128} * 1024;
    /// How far callers' clocks may differ from a daemon's, when times of issue in request ids are
    /// compared with its clock.
    std::chrono::milliseconds clockSkew{2000};
    /// How long a new grantor waits for the outcome memory of the previous one.
    Duration handoverReceiveTimeout = std::chrono::seconds{1};
    /// A handover message that isn't acknowledged is sent again after this time.
    Duration handoverResendInterval = std::chrono::milliseconds{50};
    /// How long the previous grantor repeats a handover message.
    Duration handoverSendTimeout = std::chrono::seconds{5};
    /// A request whose connection broke, or that got no answer, this shortly before its upstream is
    /// found lost counts as running at the crash.
    Duration crashWindow = std::chrono::seconds{10};
    /// A request that is suspected of a crash is forgotten after this time.
    Duration suspectRetention = std::chrono::minutes{10};

    auto operator==(const DispatcherSettings &) const -> bool = default;
};

/// A request that an upstream completed, for load measurement.
struct CompletedRun
{
    ShardId shard;
    Key key;
    Duration serviceTime{0};
    UpstreamId upstream;

    auto operator==(const CompletedRun &) const -> bool = default;
};

} // namespace gooseberrywall
