#pragma once

#include "forwarding/types/forwardmessages.h"
#include "http1/types/messagehead.h"

#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// Path at which a daemon receives requests to forward.
constexpr const char *forwardPath = "/forward";
/// Header in which the forwarder repeats the id of the hop.
constexpr const char *forwardIdHeader = "X-Forward-Id";

/// @param id of this hop; differs between the requests of one connection
/// @returns the HTTP request to the forwarder without the bytes of `request.body`, which follow it
[[nodiscard]] auto forwardRequestText(const ForwardRequest &request, const Address &forwarder,
                                      const std::string &id) -> std::string;
/// @returns nothing where a field is missing, malformed or out of range, or the body isn't exactly
///          one HTTP request, or is itself a request to forward
[[nodiscard]] auto decodeForwardRequest(WholeMessage message) -> std::optional<ForwardRequest>;

/// @param request head of a request to a forwarder, as far as it could be read
/// @returns headers which tell that the request wasn't sent, for an answer with an error status;
///          empty where the head names no hop
[[nodiscard]] auto unreadHeaders(const MessageHead &request) -> std::vector<HttpHeader>;

/// @param id of the request's hop
[[nodiscard]] auto encodeForwardAnswer(const ForwardAnswer &answer, const std::string &id)
    -> WholeMessage;
/// @param id of the request's hop
/// @param isHead whether the upstream was sent a HEAD request
/// @returns nothing if the message is malformed or the answer to another request
[[nodiscard]] auto decodeForwardAnswer(const WholeMessage &message, const std::string &id,
                                       bool isHead) -> std::optional<ForwardAnswer>;

} // namespace gooseberrywall
