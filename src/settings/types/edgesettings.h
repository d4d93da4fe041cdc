#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstdint>
#include <string>

namespace gooseberrywall {

/// All settings of an edge daemon, from its settings file.
struct EdgeSettings
{
    DaemonId id;
    FailureDomain domain;
    Address callerListen;
    Address readyListen;
    Address peerListen;
    Address metricsListen;
    Address store;
    /// Retries allowed within the window, per request.
    double retryRatio = 0;
    /// Retries allowed within the window in addition, independent of the number of requests.
    double retryExtra = 0;
    Duration retryWindow{0};
    /// The whole system starts for the first time.
    bool startsWithSystem = true;
    /// Longest grant that upstreams accept.
    Duration longestHold{0};
    /// Time from an upstream's first statement that it leaves until requests may not reach it.
    Duration drainTime{0};
    /// How often upstreams renew their entries in the store; zero: unknown.
    Duration upstreamHeartbeat{0};
    /// Weight of an upstream's utilisation against its latency in the choice of upstreams.
    double loadWeight = 0.1;
    /// Time from SIGTERM to the end of the process.
    Duration shutdownTimeout{0};
    std::string logLevel;
    std::int64_t logLinesPerSecond = 0;
    /// Every n-th request is logged in full; 0: none.
    std::uint64_t logSampleOneIn = 0;
    /// Number of cores that this VM may use; may be below one.
    double processorCores = 0;
    /// Memory of this VM that the daemon may use; zero: what the system reports.
    std::size_t memoryBytes = 0;
    /// Maximum number of open connections from callers.
    std::size_t connectionLimit = 0;
    auto operator==(const EdgeSettings &) const -> bool = default;
};

} // namespace gooseberrywall
