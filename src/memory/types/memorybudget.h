#pragma once

#include <cstddef>

namespace gooseberrywall {

/// How many bytes a process may hold for its callers and upstreams.
struct MemoryBudget
{
    /// For all of them together.
    std::size_t totalBytes = 0;
    /// Kept free of large messages, so that requests with small bodies are still served while large
    /// ones fill the rest.
    std::size_t reservedBytes = 0;
    auto operator==(const MemoryBudget &) const -> bool = default;

    /// @param vmBytes memory of the VM that the process may use
    /// @returns the budget that leaves room for the process itself: its code, its tables, and the
    ///          fragmentation of its memory
    [[nodiscard]] static auto ofVm(std::size_t vmBytes) -> MemoryBudget;
};

} // namespace gooseberrywall
