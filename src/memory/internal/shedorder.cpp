#include "memory/shedorder.h"

#include <algorithm>
#include <tuple>

namespace gooseberrywall {

namespace {

/// Rank of a connection among those to close; the highest goes first.
enum class Class : std::uint8_t { Kept, Waiting, Largest, Slow, Stalled };
using Rank = std::tuple<Class, double>;

/// @returns bytes moved per second; the first second counts in full, so that a connection that has
///          just begun isn't slow
auto bytesPerSecond(const ConnectionLoad &connection, Instant now) -> double
{
    const auto seconds = std::chrono::duration<double>(now - connection.startedAt).count();
    return static_cast<double>(connection.movedBytes) / std::max(1.0, seconds);
}

} // namespace

ShedOrder::ShedOrder(ShedOrderSettings settings)
    : settings(settings)
{
}

auto ShedOrder::next(const std::vector<ConnectionLoad> &connections, Urgency urgency,
                     Instant now) const -> std::optional<std::size_t>
{
    const auto rankOf = [&](const ConnectionLoad &connection) -> Rank {
        if (connection.heldBytes < this->settings.minHeldBytes) {
            return {Class::Kept, 0};
        }
        if (connection.activity == ConnectionLoad::Activity::Waiting) {
            return urgency == Urgency::OverBudget
                       ? Rank{Class::Waiting, static_cast<double>(connection.heldBytes)}
                       : Rank{Class::Kept, 0};
        }
        const auto stalled = now - connection.progressAt;
        if (stalled >= this->settings.stallTime) {
            return {Class::Stalled, static_cast<double>(stalled.count())};
        }
        const auto rate = bytesPerSecond(connection, now);
        const auto isNew = now - connection.startedAt < this->settings.stallTime;
        if (!isNew && rate < this->settings.slowBytesPerSecond) {
            return {Class::Slow, -rate};
        }
        return urgency == Urgency::OverBudget
                   ? Rank{Class::Largest, static_cast<double>(connection.heldBytes)}
                   : Rank{Class::Kept, 0};
    };
    std::optional<std::size_t> result;
    Rank highest{Class::Kept, 0};
    for (std::size_t index = 0; index < connections.size(); ++index) {
        const auto rank = rankOf(connections[index]);
        if (std::get<0>(rank) != Class::Kept && (!result || rank > highest)) {
            result = index;
            highest = rank;
        }
    }
    return result;
}

} // namespace gooseberrywall
