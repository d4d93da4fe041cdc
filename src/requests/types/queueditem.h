#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/reason.h"

#include <cstdint>
#include <vector>

namespace gooseberrywall {

/// Identifies a request within one upstream's channel.
using JobId = Number<struct JobIdTag>;

/// A request in the admission queue.
struct QueuedItem
{
    JobId job;
    CallerId caller;
    Instant deadline{};
    /// How long the request is expected to hold a slot.
    Duration cost{0};
    bool isLong = false;
    /// Whether the request may run; otherwise it waits for markReady.
    bool ready = true;

    auto operator==(const QueuedItem &) const -> bool = default;
};

/// The admission queue's decision on an offered request.
struct Admission
{
    /// Reason::None where the request was admitted.
    Reason reason = Reason::None;
    Duration retryAfter{0};
    /// Items that were removed to make room for the admitted one.
    std::vector<JobId> evicted;

    auto operator==(const Admission &) const -> bool = default;
};

/// Use of an upstream's slots.
struct SlotUse
{
    /// Requests that may run at once.
    int allowed = 0;
    int running = 0;
    int runningLong = 0;

    auto operator==(const SlotUse &) const -> bool = default;
};

/// Limits of an admission queue.
struct QueueLimits
{
    std::size_t maximalItems = 256;
    int longWorkSlots = 1;
    Duration maximalDelay = std::chrono::milliseconds{250};

    auto operator==(const QueueLimits &) const -> bool = default;
};

} // namespace gooseberrywall
