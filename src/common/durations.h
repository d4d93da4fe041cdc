#pragma once

#include "common/types/instant.h"

#include <cstdint>

namespace gooseberrywall {

/// @returns the span times a factor, without its fraction of a microsecond
[[nodiscard]] inline auto scaled(Duration span, double factor) -> Duration
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(span.count()) * factor)};
}

/// @returns the span in whole milliseconds, as logs have it
[[nodiscard]] inline auto toMilliseconds(Duration span) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace gooseberrywall
