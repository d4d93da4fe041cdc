#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrywall {

/// A daemon of the cell that is contacted first.
struct SeedPeer
{
    DaemonId id;
    Address address;
    auto operator==(const SeedPeer &) const -> bool = default;
};

/// All settings of a daemon, from its settings file and command line.
struct DaemonSettings
{
    DaemonId id;
    FailureDomain domain;
    std::string cell;
    Address callerListen;
    Address adminListen;
    Address peerListen;
    std::vector<SeedPeer> seeds;
    std::string peerSecret;
    Address platform;
    std::string logLevel;
    /// Maximum number of log lines per second; further ones are counted and dropped.
    std::int64_t logLinesPerSecond = 0;
    std::size_t bodyLimitBytes = 0;
    int connectionLimit = 0;
    Duration receiveTimeout{0};
    int upstreamConnections = 0;
    Duration shutdownTimeout{0};
    /// Token that operators must send with orders; empty: all orders are refused.
    std::string operatorToken;
    std::string adminCertificateFile;
    std::string adminKeyFile;

    auto operator==(const DaemonSettings &) const -> bool = default;
};

} // namespace gooseberrywall
