#pragma once

#include "common/types/instant.h"

#include <cstddef>

namespace gooseberrywall {

/// Thresholds and budgets of StickyPlacement. Ratios are of an upstream's load to the mean of its
/// service.
struct PlacementSettings
{
    /// Time constant of the exponential smoothing of loads.
    Duration smoothingTime = std::chrono::seconds{15};
    /// Loads are weighed again at most this often; calls in between only place unowned shards.
    Duration evaluationInterval = std::chrono::milliseconds{900};
    /// Loads must have been observed for this long before anything is balanced.
    Duration minObservationTime = std::chrono::seconds{20};

    /// Balancing starts where the hottest upstream stays above this ratio by more than twice the
    /// standard deviation of its measured load ...
    double startRatio = 1.13;
    /// ... for this long ...
    Duration startDelay = std::chrono::seconds{20};
    /// ... and ends below this one.
    double stopRatio = 1.08;
    /// Services whose mean use of slots is below this share are not balanced.
    double minUtilisation = 0.02;
    /// Balancing starts only for a move that lowers the higher of the two loads by this share of
    /// the mean ...
    double minStartGain = 0.03;
    /// ... and goes on with moves that do so by this one.
    double minGain = 0.01;
    /// Moves of a service that balancing may begin in a second.
    double movesPerSecond = 2.0;
    /// Moves of a service that may be under way at once.
    int maxMovesInProgress = 8;
    /// A shard that was moved stays for this long.
    Duration moveCooldown = std::chrono::seconds{60};
    /// A planned move that the record doesn't show after this time is given up.
    Duration moveTimeout = std::chrono::seconds{10};

    /// A new upstream receives at most this multiple of its fair share of shards ...
    double maxJoinRatio = 1.1;
    /// ... within this time.
    Duration joinWindow = std::chrono::minutes{10};
    /// The share of a warm upstream's load that a new one is given at first; grows to one over the
    /// service's cold start time.
    double initialColdShare = 0.25;

    /// A key is pinned where its load stays above this share of the mean upstream's load ...
    double pinShare = 0.1;
    /// ... and above this share of its shard's load ...
    double pinShardShare = 0.25;
    /// ... for this long; at least this many busy slots.
    Duration pinDelay = std::chrono::seconds{10};
    double minPinSlots = 0.02;
    /// It is unpinned below this share of the mean upstream's load ...
    double unpinShare = 0.03;
    /// ... for this long.
    Duration unpinDelay = std::chrono::seconds{60};
    /// Pinned keys of one service at most.
    std::size_t maxPinnedKeys = 256;

    auto operator==(const PlacementSettings &) const -> bool = default;
};

} // namespace gooseberrywall
