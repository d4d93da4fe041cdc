#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <string>

namespace gooseberrywall {

/// One request of a load run.
struct PlannedRequest
{
    /// Planned send time, relative to the start of the run. The latency is measured from this time,
    /// even if the request is sent later.
    Duration at{0};
    RequestId id;
    CallerId caller;
    Key key;
    std::string operation;
    bool idempotent = true;

    auto operator==(const PlannedRequest &) const -> bool = default;
};

} // namespace gooseberrywall
