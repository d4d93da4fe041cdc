#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "storelink/types/storecalls.h"

namespace gooseberrywall {

/// A grantor's statement that its configuration was the newest at a time.
struct ConfigurationConfirmation
{
    Address by;
    StoreRevision revision;
    Instant at{};
    auto operator==(const ConfigurationConfirmation &) const -> bool = default;
};

} // namespace gooseberrywall
