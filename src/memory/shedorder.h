#pragma once

#include "memory/types/connectionload.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace gooseberrywall {

struct ShedOrderSettings
{
    /// A connection on which nothing has moved for this long is stalled.
    Duration stallTime = std::chrono::seconds{1};
    /// A connection on which fewer bytes move per second is slow: a body of a hundred kilobytes
    /// takes longer than callers wait.
    double slowBytesPerSecond = 16'384;
    /// Connections that hold less aren't closed; that would release next to nothing.
    std::size_t minHeldBytes = std::size_t{8} * 1024;
    auto operator==(const ShedOrderSettings &) const -> bool = default;
};

/// Decides which connections are closed where memory is short: those whose peers make it last the
/// longest. Stalled ones go first, the longest stalled before others; then slow ones, the slowest
/// first; then, only where the budget is exceeded, the one that holds the most. The last are
/// connections whose requests wait for their answers, as these requests may be running.
class ShedOrder
{
public:
    enum class Urgency : std::uint8_t {
        /// Room is wanted for another request, which can be refused instead.
        RoomWanted,
        /// More is held than the budget allows.
        OverBudget,
    };

    explicit ShedOrder(ShedOrderSettings settings);

    /// @returns the index of the connection to close next; nothing where none is to be closed
    [[nodiscard]] auto next(const std::vector<ConnectionLoad> &connections, Urgency urgency,
                            Instant now) const -> std::optional<std::size_t>;

private:
    ShedOrderSettings settings;
};

} // namespace gooseberrywall
