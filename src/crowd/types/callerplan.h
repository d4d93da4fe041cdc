#pragma once

#include "crowd/types/crowdrequest.h"

#include <cstddef>

namespace gooseberrywall {

/// What a CrowdCaller does on its connection.
struct CallerPlan
{
    CrowdRequest request;
    /// Bytes at the end of the request that aren't sent; the connection stays open without them.
    std::size_t missingBytes = 0;
    /// Most bytes that are sent in one turn.
    std::size_t bytesPerTurn = std::size_t{1024} * 1024;
    /// Whether the caller takes its answer. If not, its receive buffer is small.
    bool readsAnswer = true;
    /// How many connections are opened one after the other, if the server closes them.
    int connectionLimit = 3;
    auto operator==(const CallerPlan &) const -> bool = default;
};

} // namespace gooseberrywall
