#pragma once

#include "common/types/instant.h"

#include <chrono>
#include <cstdint>

namespace gooseberrywall {

/// Settings of ConfigurationKeeper, set at the start of the daemon.
struct KeeperSettings
{
    /// Number of daemons of a cell that watch the store.
    std::size_t readerCount = 2;
    /// Maximum number of daemons to which each daemon forwards an update.
    std::size_t fanOut = 6;
    /// How long one watch waits at the store for a change.
    Duration watchTimeout = std::chrono::seconds{20};
    /// Pause between two watches, so that changes in quick succession are read together.
    Duration watchPause = std::chrono::milliseconds{200};
    /// How long the other readers wait for an update from the first reader before they read the
    /// changed sections from the store themselves.
    Duration sectionReadDelay = std::chrono::milliseconds{200};
    /// Maximum interval at which daemons that don't watch the store poll it for changes, in case
    /// the readers can't reach it. Jittered, so that daemons poll at different times.
    Duration pollInterval = std::chrono::seconds{60};
    /// Timeout of calls to the store; added to watchTimeout for watches.
    Duration callTimeout = std::chrono::seconds{1};
    /// The delay before a retry doubles from the minimum to the maximum.
    Duration minimumRetryDelay = std::chrono::milliseconds{100};
    Duration maximumRetryDelay = std::chrono::seconds{5};
    /// How long a daemon that sees a newer generation in a heartbeat waits for the update before it
    /// requests it from a peer.
    Duration requestDelay = std::chrono::milliseconds{50};
    /// How long it waits for the answer before it sends the request to another peer.
    Duration requestTimeout = std::chrono::milliseconds{200};
    /// How long a starting daemon only requests the document from peers, before it also reads the
    /// store.
    Duration peerStartupTimeout = std::chrono::milliseconds{800};

    auto operator==(const KeeperSettings &) const -> bool = default;
};

/// Reads, messages and bytes of one daemon's keeper, counted since its start.
struct KeeperCounters
{
    std::uint64_t storeReads = 0;
    std::uint64_t storeWatches = 0;
    std::uint64_t storeBytes = 0;
    std::uint64_t updatesSent = 0;
    std::uint64_t updatesReceived = 0;
    /// Received updates that were not newer than the document in force.
    std::uint64_t staleUpdates = 0;
    /// Received updates that were based on a document other than the one in force.
    std::uint64_t mismatchedUpdates = 0;
    std::uint64_t requestsSent = 0;
    /// Names, versions and texts of updates and requests sent, without framing.
    std::uint64_t peerBytesSent = 0;

    auto operator==(const KeeperCounters &) const -> bool = default;
};

} // namespace gooseberrywall
