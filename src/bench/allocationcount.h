#pragma once

#include <cstdint>

namespace gooseberrywall {

/// Counts the memory in use. Linking allocationcount.cpp replaces the global operators new and
/// delete.
/// @returns usable bytes of all live allocations by operator new
[[nodiscard]] auto allocatedBytes() -> std::uint64_t;

} // namespace gooseberrywall
