#pragma once

#include "http1/types/messagehead.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// @param head its Connection header may list further headers of this kind
/// @returns whether the header applies to one connection only (hop-by-hop) and isn't forwarded
[[nodiscard]] auto isConnectionHeader(const MessageHead &head, std::string_view name) -> bool;

/// Serializes a request; its body is sent with a Content-Length, also if it arrived in chunks. The
/// connection headers of `head` are left out.
/// @param extra additional headers; they replace those of the same name in `head`
[[nodiscard]] auto requestText(const MessageHead &head, std::string_view body,
                               const std::vector<HttpHeader> &extra) -> std::string;

/// Serializes a response, with a Content-Length unless its status allows no body (204, 304). The
/// connection headers of `head` are left out.
/// @param isHeadAnswer whether it answers a HEAD request: the body is left out, and the
///        Content-Length of `head` is kept
/// @param keepsConnection if false, "Connection: close" is added
[[nodiscard]] auto responseText(const MessageHead &head, std::string_view body, bool isHeadAnswer,
                                bool keepsConnection) -> std::string;

/// Serializes a response without its body, to which the arguments of responseText() apply.
/// @param bodyBytes the length of the body
[[nodiscard]] auto responseHead(const MessageHead &head, std::size_t bodyBytes, bool isHeadAnswer,
                                bool keepsConnection) -> std::string;

/// @returns whether a response with this head has a body
[[nodiscard]] auto hasResponseBody(const MessageHead &head, bool isHeadAnswer) -> bool;

/// Serializes a request without its body, to which the arguments of requestText() apply.
/// @param bodyBytes the length of the body
[[nodiscard]] auto requestHead(const MessageHead &head, std::size_t bodyBytes,
                               const std::vector<HttpHeader> &extra) -> std::string;

/// @returns the standard reason phrase of a status; "Unknown" for one that isn't listed
[[nodiscard]] auto reasonPhrase(int status) -> std::string_view;

} // namespace gooseberrywall
