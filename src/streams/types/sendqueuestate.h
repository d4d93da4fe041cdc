#pragma once

#include "common/types/instant.h"

#include <cstdint>
#include <optional>

namespace gooseberrywall {

/// What the kernel tells of the bytes that were written to a connection.
struct SendQueueState
{
    /// Bytes that the peer's system has acknowledged since the connection was opened.
    std::uint64_t acknowledgedBytes = 0;
    /// Bytes in the kernel's queue: sent and not acknowledged, or not sent yet.
    std::uint64_t queuedBytes = 0;
    /// Segments that were sent and not acknowledged. None while the peer's window is closed.
    std::uint32_t unacknowledgedSegments = 0;
    /// Probes of a closed window that were sent since the last acknowledgement.
    std::uint32_t unansweredProbes = 0;
    /// Whether the last acknowledgement came after the last segment that was sent; empty where the
    /// kernel doesn't tell. Repeated segments that are acknowledged come to a peer whose buffer is
    /// full.
    std::optional<bool> isLastSegmentAnswered;
    auto operator==(const SendQueueState &) const -> bool = default;
};

} // namespace gooseberrywall
