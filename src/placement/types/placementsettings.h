#pragma once

#include "common/types/instant.h"

#include <cstddef>

namespace gooseberrywall {

/// Thresholds and limits of StickyPlacement. Ratios relate an upstream's load to the mean load of
/// its service's upstreams.
struct PlacementSettings
{
    /// Time constant of the exponential smoothing of measured loads.
    Duration smoothingTime = std::chrono::seconds{15};
    /// Minimum time between two evaluations of the loads. Calls in between only assign shards that
    /// need an owner and repeat planned moves.
    Duration evaluationInterval = std::chrono::milliseconds{900};
    /// Time for which a service's loads must have been observed before it is balanced or its keys
    /// are pinned.
    Duration minObservationTime = std::chrono::seconds{20};

    /// Balancing starts when the load of an upstream, less two standard deviations of its
    /// measurement, stays above this ratio for startDelay.
    double startRatio = 1.13;
    Duration startDelay = std::chrono::seconds{20};
    /// Balancing ends when no move is left that relieves an upstream above this ratio.
    double stopRatio = 1.08;
    /// Services whose mean share of busy slots is below this are not balanced.
    double minUtilisation = 0.02;
    /// Balancing starts only if a move would lower the higher of the two loads by at least this
    /// share of the mean.
    double minStartGain = 0.03;
    /// Once started, balancing continues with moves that gain at least this share of the mean.
    double minGain = 0.01;
    /// Rate limit of the moves of a service for balancing, for filling new upstreams and for
    /// unpinning.
    double movesPerSecond = 2.0;
    /// No such move is planned while this many transfers of the service are in progress.
    int maxMovesInProgress = 8;
    /// Time after a move for which the shard is not moved again unless it needs an owner.
    Duration moveCooldown = std::chrono::seconds{60};
    /// A planned move is dropped if the record doesn't show it after this time.
    Duration moveTimeout = std::chrono::seconds{10};

    /// A new upstream receives at most this multiple of the mean number of shards per upstream
    /// within joinWindow.
    double maxJoinRatio = 1.1;
    Duration joinWindow = std::chrono::minutes{10};
    /// Share of a warm upstream's load that a new one is given at first. It grows linearly to one
    /// over the service's cold start time.
    double initialColdShare = 0.25;

    /// A key may be pinned once its load has stayed above this share of the mean upstream's load,
    /// above pinShardShare of its shard's load and above minPinSlots for pinDelay.
    double pinShare = 0.1;
    double pinShardShare = 0.25;
    Duration pinDelay = std::chrono::seconds{10};
    /// Busy slots.
    double minPinSlots = 0.02;
    /// A key is unpinned once its load has stayed below this share of the mean upstream's load, or
    /// below a quarter of minPinSlots if that is more, for unpinDelay.
    double unpinShare = 0.03;
    Duration unpinDelay = std::chrono::seconds{60};
    /// Maximum number of pinned keys of a service.
    std::size_t maxPinnedKeys = 256;

    auto operator==(const PlacementSettings &) const -> bool = default;
};

} // namespace gooseberrywall
