#pragma once

#include "inidocument/types/inivalues.h"
#include "inidocument/types/keydescription.h"
#include "protocol/types/servicepolicy.h"

#include <functional>
#include <vector>

namespace gooseberrywall {

/// Maps a key of `[service NAME]` to the field of ServicePolicy that it sets.
struct ServiceField
{
    /// Its default value is that of the field in ServicePolicy.
    KeyDescription key;
    std::function<void(ServicePolicy &, const IniSection &)> apply;
};

/// @returns one entry for each field of ServicePolicy except `service` and `callers`
[[nodiscard]] auto serviceFields() -> const std::vector<ServiceField> &;

} // namespace gooseberrywall
