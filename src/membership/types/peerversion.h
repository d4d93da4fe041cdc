#pragma once

#include "common/types/ids.h"

#include <cstdint>

namespace gooseberrywall {

/// The versions of the table and of the configuration that a peer reported.
struct PeerVersion
{
    DaemonId daemon;
    RecordVersion tableVersion;
    std::uint64_t configurationGeneration = 0;

    auto operator==(const PeerVersion &) const -> bool = default;
};

} // namespace gooseberrywall
