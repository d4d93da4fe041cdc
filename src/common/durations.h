#pragma once

#include "common/types/instant.h"

#include <cstdint>

namespace gooseberrywall {

/// @returns the duration times a factor, rounded towards zero to whole microseconds
[[nodiscard]] inline auto scaled(Duration duration, double factor) -> Duration
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor)};
}

/// @returns the duration in whole milliseconds, the unit of durations in logs
[[nodiscard]] inline auto toMilliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace gooseberrywall
