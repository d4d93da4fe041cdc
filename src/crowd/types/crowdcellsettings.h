#pragma once

#include <cstddef>
#include <string>

namespace gooseberrywall {

struct CrowdCellSettings
{
    /// Path of gooseberrywall-edge.
    std::string program;
    /// Where the settings and the log are written; created if it doesn't exist.
    std::string folder;
    /// Name of the settings file without its extension.
    std::string name;
    /// The daemon's setting of this name, in MiB. Left out for a build that doesn't know it.
    std::size_t memoryMb = 64;
    /// The operators' limit of this name.
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t largeAnswerBytes = 0;
    /// Faulty upstreams of each kind of endless answer, in services of their own.
    int endlessUpstreamsPerAnswer = 0;
    /// Whether a second daemon with the same settings runs, through which the first one can reach
    /// upstreams.
    bool hasForwarder = false;
    auto operator==(const CrowdCellSettings &) const -> bool = default;
};

} // namespace gooseberrywall
