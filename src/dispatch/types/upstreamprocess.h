#pragma once

#include "common/types/ids.h"

#include <compare>

namespace gooseberrywall {

/// One of the successive processes with an upstream's id.
struct UpstreamProcess
{
    UpstreamId id;
    Incarnation incarnation;
    auto operator<=>(const UpstreamProcess &) const = default;
};

} // namespace gooseberrywall
