#pragma once

#include "http/types/httpmessage.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// Start line and headers of an HTTP/1 message, in the order in which they arrived.
struct MessageHead
{
    /// Requests only; any token, not just the standard methods.
    std::string method;
    /// Requests only; path and query, still percent-encoded.
    std::string target;
    /// Responses only.
    int status = 0;
    std::string reason;
    int minorVersion = 1;
    std::vector<HttpHeader> headers;
    auto operator==(const MessageHead &) const -> bool = default;

    /// @returns the value of the first header of that name, without regard to case; nullptr if
    /// there
    ///          is none
    [[nodiscard]] auto find(std::string_view name) const -> const std::string *;
    /// @returns whether the peer keeps the connection open after this message
    [[nodiscard]] auto keepsConnection() const -> bool;
    /// @returns the memory that the texts and the headers take
    [[nodiscard]] auto heldBytes() const -> std::size_t;
};

/// A message with its complete body.
struct WholeMessage
{
    MessageHead head;
    std::string body;
    auto operator==(const WholeMessage &) const -> bool = default;
};

} // namespace gooseberrywall
