#pragma once

#include "common/types/ids.h"

#include <cstdint>

namespace gooseberrywall {

/// The versions that another daemon said it has.
struct PeerVersion
{
    DaemonId daemon;
    RecordVersion tableVersion;
    std::uint64_t configurationGeneration = 0;

    auto operator==(const PeerVersion &) const -> bool = default;
};

} // namespace gooseberrywall
