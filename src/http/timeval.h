#pragma once

#include "common/types/instant.h"

#include <algorithm>
#include <sys/time.h>

namespace gooseberrywall {

/// @param duration a negative one is taken as zero
[[nodiscard]] inline auto toTimeval(Duration duration) -> timeval
{
    const auto micros = std::max<Duration::rep>(0, duration.count());
    constexpr Duration::rep microsPerSecond = 1'000'000;
    return {micros / microsPerSecond, micros % microsPerSecond};
}

} // namespace gooseberrywall
