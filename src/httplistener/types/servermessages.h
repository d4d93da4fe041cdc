#pragma once

#include "common/types/ids.h"
#include "http/types/httpmessage.h"

#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// A complete request that a listener has received.
struct ServerRequest
{
    ExchangeId exchange;
    std::string method;
    /// As sent: still percent-encoded, without the query.
    std::string path;
    std::string query;
    std::vector<HttpHeader> headers;
    std::string body;
    auto operator==(const ServerRequest &) const -> bool = default;

    /// @returns the header's value, or an empty text if it is missing; names are compared without
    ///          regard to case
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;
};

/// The reply to one exchange.
struct ServerReply
{
    ExchangeId exchange;
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
    auto operator==(const ServerReply &) const -> bool = default;
};

} // namespace gooseberrywall
