#pragma once

#include "common/types/ids.h"

namespace gooseberrywall {

/// Identity of a daemon. A restarted daemon keeps its id and gets a higher incarnation.
struct DaemonIdentity
{
    DaemonId id;
    Incarnation incarnation;
    FailureDomain domain;
    /// Address at which other daemons reach it.
    Address peerAddress;

    auto operator==(const DaemonIdentity &) const -> bool = default;
};

} // namespace gooseberrywall
