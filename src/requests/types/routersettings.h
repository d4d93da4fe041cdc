#pragma once

#include "common/types/instant.h"

#include <cstddef>

namespace gooseberrywall {

/// Settings of the entry side of requests.
struct RouterSettings
{
    /// Each exchange ends at the latest this long after its deadline.
    Duration endMargin = std::chrono::milliseconds{150};
    Duration firstBackoff = std::chrono::milliseconds{5};
    Duration maximalBackoff = std::chrono::milliseconds{100};
    /// How long a replaced grantor may still answer before the request goes to its successor.
    Duration takeoverGrace = std::chrono::milliseconds{100};
    /// Deadline of an outcome query, from its arrival.
    Duration outcomeQueryTimeout = std::chrono::seconds{1};
    /// Retry hint in refusals that have no estimate of their own.
    Duration defaultRetryAfter = std::chrono::milliseconds{200};
    /// Limit on open exchanges; more are refused.
    std::size_t maximalExchanges = 20000;

    auto operator==(const RouterSettings &) const -> bool = default;
};

} // namespace gooseberrywall
