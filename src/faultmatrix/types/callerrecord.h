#pragma once

#include "protocol/types/request.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace gooseberrywall {

/// One submission of a request by its caller.
struct Submission
{
    std::size_t daemon = 0;
    ExchangeId exchange;
    Instant at{};
    Instant deadline{};
    std::optional<Instant> endedAt{};
    std::optional<RequestEnd> end{};
    /// Whether the connection broke, as the daemon was lost before it answered.
    bool isBroken = false;
    auto operator==(const Submission &) const -> bool = default;
};

/// A request and its submissions, as seen by its caller.
struct CallerRecord
{
    RequestId id;
    Key key;
    bool idempotent = true;
    Duration timeout{0};
    std::vector<Submission> submissions;
    auto operator==(const CallerRecord &) const -> bool = default;
};

} // namespace gooseberrywall
