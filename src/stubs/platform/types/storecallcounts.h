#pragma once

#include <cstdint>

namespace gooseberrywall {

/// Number of calls that a PlatformStore has received, by kind. A watch counts once, however long
/// it waits.
struct StoreCallCounts
{
    std::uint64_t gets = 0;
    std::uint64_t compareAndSwaps = 0;
    std::uint64_t lists = 0;
    std::uint64_t leases = 0;
    std::uint64_t releases = 0;
    std::uint64_t watches = 0;
    std::uint64_t vmLists = 0;

    auto operator==(const StoreCallCounts &) const -> bool = default;

    /// @returns the number of calls that can change the store
    [[nodiscard]] auto writes() const -> std::uint64_t
    {
        return this->compareAndSwaps + this->leases + this->releases;
    }

    /// @returns the number of calls that only read, including watches
    [[nodiscard]] auto reads() const -> std::uint64_t
    {
        return this->gets + this->lists + this->watches + this->vmLists;
    }
};

} // namespace gooseberrywall
