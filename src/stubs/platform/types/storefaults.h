#pragma once

#include "common/types/instant.h"

namespace gooseberrywall {

/// Faults that a PlatformStore simulates.
struct StoreFaults
{
    /// All calls and waiting watches are answered with Unavailable.
    bool down = false;
    /// Delay of answers; the calls still take effect on arrival.
    Duration answerDelay{0};
    /// Number of writes that take effect but whose answers are lost.
    int lostWriteAnswers = 0;
    /// Number of writes that are lost before they take effect. The caller can't tell them from
    /// lost answers.
    int lostWrites = 0;
    /// Delay after which watches report a change.
    Duration watchDelay{0};
    /// Number of changes that are reported to watches twice.
    int doubleWatchEvents = 0;

    auto operator==(const StoreFaults &) const -> bool = default;
};

} // namespace gooseberrywall
