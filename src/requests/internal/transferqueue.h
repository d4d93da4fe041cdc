#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/reason.h"

#include <cstdint>
#include <map>

namespace gooseberrywall {

/// The requests that wait until a shard can be served, in the order of their arrival.
struct TransferQueue
{
    std::map<std::uint64_t, ExchangeId> waiting;
    /// No try before this moment.
    Instant retryAt{};
    /// No try before the table has this version.
    RecordVersion minimalTableVersion;
    Reason reason = Reason::NoOwner;
};

} // namespace gooseberrywall
