#pragma once

#include <sys/types.h>
#include <vector>

namespace gooseberrywall {

/// Finds out which process has opened a connection over loopback. Daemons need no setting for it,
/// such as an address of their own.
/// @param descriptor the accepted connection
/// @returns the one of `processes` that has the other end; zero if none of them has
[[nodiscard]] auto peerProcess(int descriptor, const std::vector<pid_t> &processes) -> pid_t;

} // namespace gooseberrywall
