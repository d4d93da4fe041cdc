#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <optional>

namespace gooseberrywall {

/// A run reported by an upstream stand-in. Times are of the host's monotonic clock, so that runs of
/// different stand-ins on one host can be compared.
struct ObservedRun
{
    /// Address and incarnation of the upstream, and number of the run in that incarnation.
    Address upstream;
    Incarnation incarnation;
    std::uint64_t number = 0;

    RequestId id;
    Key key;
    bool idempotent = true;
    Instant start{};
    std::optional<Instant> end;
    bool effect = false;

    auto operator==(const ObservedRun &) const -> bool = default;
};

} // namespace gooseberrywall
