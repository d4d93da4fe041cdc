#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstdint>
#include <string>

namespace gooseberrywall {

/// Everything that an edge daemon learns from its settings file.
struct EdgeSettings
{
    DaemonId id;
    FailureDomain domain;
    Address callerListen;
    Address readyListen;
    Address peerListen;
    Address metricsListen;
    Address store;
    /// Repeated sendings allowed for each request, and besides, within the window.
    double retryRatio = 0;
    double retryExtra = 0;
    Duration retryWindow{0};
    /// Longest time for which upstreams take a grant.
    Duration longestHold{0};
    /// From SIGTERM to the process's end.
    Duration shutdownTimeout{0};
    std::string logLevel;
    std::int64_t logLinesPerSecond = 0;
    /// Each n-th request is logged whole; 0: none.
    std::uint64_t logSampleOneIn = 0;
    /// Cores that this VM may use, as a number that may be below one.
    double processorCores = 0;
    /// Callers' connections at most.
    std::size_t connectionLimit = 0;
    auto operator==(const EdgeSettings &) const -> bool = default;
};

} // namespace gooseberrywall
