#pragma once

#include "streams/types/sendqueuestate.h"

#include <optional>

namespace gooseberrywall {

/// Tells a silent peer, whose path is broken, from one that is there and doesn't read. A peer that
/// doesn't read closes its window, but its system acknowledges what was sent and answers probes.
class PeerSilence
{
public:
    /// @param limit a peer is silent once its acknowledgement is overdue for this long
    explicit PeerSilence(Duration limit)
        : limit(limit)
    {
    }

    /// To be called at least each `longestStep` while bytes are undelivered.
    /// @param moment when the state was read
    /// @returns whether the peer is silent
    [[nodiscard]] auto observe(const SendQueueState &state, Instant moment) -> bool;

    /// Longer times between two observations count as this: the process may have been suspended,
    /// and an acknowledgement may wait to be processed.
    static constexpr Duration longestStep = std::chrono::milliseconds{1000};

private:
    struct Observation
    {
        std::uint64_t acknowledgedBytes = 0;
        Instant moment{};
    };

    Duration limit;
    /// The last observation at which an acknowledgement was due.
    std::optional<Observation> last;
    Duration overdue{0};
};

} // namespace gooseberrywall
