#pragma once

#include "common/types/ids.h"

namespace gooseberrywall {

/// Finds a port that is free for TCP and UDP, below the system's range of ephemeral ports.
/// @returns its loopback address; a process gets an address again only after a search of
///          the whole port range
/// @throws std::runtime_error if no port is free
[[nodiscard]] auto freeAddress() -> Address;

} // namespace gooseberrywall
