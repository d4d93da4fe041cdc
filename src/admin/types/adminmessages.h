#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <string>

namespace gooseberrywall {

/// One request to the administration interface.
struct AdminRequest
{
    ExchangeId exchange;
    /// "GET" or "POST".
    std::string method;
    /// Percent-encoded path, without the query.
    std::string path;
    std::string query;
    /// The team's token from the Authorization header; neither stored nor logged.
    std::string token;
    std::string body;
    /// Wall-clock time of the request; only shown in the history.
    UnixMillis at = 0;

    auto operator==(const AdminRequest &) const -> bool = default;
};

/// The reply to one exchange; the body is JSON.
struct AdminReply
{
    ExchangeId exchange;
    int status = 0;
    std::string body;

    auto operator==(const AdminReply &) const -> bool = default;
};

/// Waits until a generation is in force at every daemon of the cell that is alive or suspected.
struct WaitRequest
{
    std::uint64_t generation = 0;
    Duration timeout{0};

    auto operator==(const WaitRequest &) const -> bool = default;
};

} // namespace gooseberrywall
