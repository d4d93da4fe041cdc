#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/reason.h"

#include <cstdint>
#include <map>

namespace gooseberrywall {

/// The requests that wait until a shard has a reachable grantor, by order of arrival.
struct TransferQueue
{
    std::map<std::uint64_t, ExchangeId> waiting;
    /// The requests aren't forwarded before this time.
    Instant retryAt{};
    /// The requests aren't forwarded before the table has this version.
    RecordVersion minimalTableVersion;
    Reason reason = Reason::NoOwner;
};

} // namespace gooseberrywall
