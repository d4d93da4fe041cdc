#pragma once

#include "common/types/instant.h"

#include <chrono>
#include <cstdint>

namespace gooseberrywall {

/// Settings of the keeper, from the daemon's own start settings.
struct KeeperSettings
{
    /// How many daemons of a cell watch the store.
    std::size_t readerCount = 2;
    /// To how many daemons each one passes a change on.
    std::size_t fanOut = 6;
    /// How long one watch waits at the store.
    Duration watchTimeout = std::chrono::seconds{20};
    /// Between two watches, so that changes in quick succession are read together.
    Duration watchPause = std::chrono::milliseconds{200};
    /// How long the readers but the first wait for a change to reach them through the first one,
    /// before they read its sections at the store too.
    Duration sectionReadDelay = std::chrono::milliseconds{200};
    /// How often the other daemons ask the store whether there is a change, in case that the
    /// readers can't reach it; each at times of its own.
    Duration pollInterval = std::chrono::seconds{60};
    /// How long any other call to the store may take.
    Duration callTimeout = std::chrono::seconds{1};
    Duration minimumRetryDelay = std::chrono::milliseconds{100};
    Duration maximumRetryDelay = std::chrono::seconds{5};
    /// How long a daemon that hears of a newer generation waits for it before it asks.
    Duration requestDelay = std::chrono::milliseconds{50};
    /// How long it then waits for the answer before it asks another daemon.
    Duration requestTimeout = std::chrono::milliseconds{200};
    /// How long a starting daemon asks others before it reads the store itself.
    Duration peerStartupTimeout = std::chrono::milliseconds{800};

    auto operator==(const KeeperSettings &) const -> bool = default;
};

/// What keeping the configuration costs a daemon, counted since its start.
struct KeeperCounters
{
    std::uint64_t storeReads = 0;
    std::uint64_t storeWatches = 0;
    std::uint64_t storeBytes = 0;
    std::uint64_t updatesSent = 0;
    std::uint64_t updatesReceived = 0;
    /// Updates that were not newer than what the daemon had.
    std::uint64_t staleUpdates = 0;
    /// Updates that did not fit what the daemon had.
    std::uint64_t mismatchedUpdates = 0;
    std::uint64_t requestsSent = 0;
    /// Names, versions and texts of updates and requests sent; framing comes on top.
    std::uint64_t peerBytesSent = 0;

    auto operator==(const KeeperCounters &) const -> bool = default;
};

} // namespace gooseberrywall
