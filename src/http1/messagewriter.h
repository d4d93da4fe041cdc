#pragma once

#include "http1/types/messagehead.h"

#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// @returns whether a header concerns one connection only and isn't forwarded
/// @param head names further ones in its Connection header
[[nodiscard]] auto isConnectionHeader(const MessageHead &head, std::string_view name) -> bool;

/// Writes a request with a length in place of chunks; connection headers and Host are left out
/// of `head`'s own where `extra` names them.
/// @param extra headers of the sender, which replace those of the same name
[[nodiscard]] auto requestText(const MessageHead &head, std::string_view body,
                               const std::vector<HttpHeader> &extra) -> std::string;

/// Writes a response with a length.
/// @param isHeadAnswer the body is left out and its headers stay as they came
/// @param keepsConnection adds "Connection: close" where false
[[nodiscard]] auto responseText(const MessageHead &head, std::string_view body, bool isHeadAnswer,
                                bool keepsConnection) -> std::string;

/// @returns the standard reason phrase of a status
[[nodiscard]] auto reasonPhrase(int status) -> std::string_view;

} // namespace gooseberrywall
