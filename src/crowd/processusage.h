#pragma once

#include <cstddef>
#include <sys/types.h>

namespace gooseberrywall {

/// The resources that a process holds.
struct ProcessUsage
{
    /// The highest resident size since the process was started (VmHWM).
    std::size_t peakMemoryKiB = 0;
    std::size_t descriptors = 0;
    auto operator==(const ProcessUsage &) const -> bool = default;
};

/// @returns what the system reports of a process; zeros if it has ended
[[nodiscard]] auto readProcessUsage(pid_t process) -> ProcessUsage;

} // namespace gooseberrywall
