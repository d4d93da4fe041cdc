#pragma once

#include <compare>
#include <cstdint>

namespace gooseberrywall {

/// Fencing token: orders the grants of one shard. The grantor's term is the high part, so that
/// after a takeover orders of the former grantor that are still in flight are outdated as well.
struct Fence
{
    std::uint32_t term = 0;
    std::uint32_t sequence = 0;

    auto operator<=>(const Fence &) const = default;
};

} // namespace gooseberrywall
