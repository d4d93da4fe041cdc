#pragma once

#include "common/types/instant.h"

#include <algorithm>
#include <sys/time.h>

namespace gooseberrywall {

/// @param span negative spans count as zero
[[nodiscard]] inline auto toTimeval(Duration span) -> timeval
{
    const auto micros = std::max<Duration::rep>(0, span.count());
    constexpr Duration::rep microsPerSecond = 1'000'000;
    return {micros / microsPerSecond, micros % microsPerSecond};
}

} // namespace gooseberrywall
