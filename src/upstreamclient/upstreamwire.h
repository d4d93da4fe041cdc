#pragma once

#include "http/types/httpmessage.h"
#include "protocol/types/upstreammessages.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// The wire format of calls to upstreams, over HTTP; nothing outside this namespace depends on it.
/// Grant orders, probes and cancellations are JSON. A run and its answer have their fields in
/// headers and an unencoded body. Names and ids in headers are percent-encoded.
namespace gooseberrywall::upstreamwire {

/// Paths to which the calls are posted.
inline constexpr std::string_view grantsTarget = "/v1/grants";
inline constexpr std::string_view probeTarget = "/v1/probe";
inline constexpr std::string_view runTarget = "/v1/run";
inline constexpr std::string_view cancelTarget = "/v1/cancel";

/// HTTP statuses of the call itself; the status of a run is sent in a header.
inline constexpr int okStatus = 200;
inline constexpr int badRequestStatus = 400;

/// Returns the value of a received message's header; nullptr if it is missing.
using HeaderLookup = std::function<const char *(const char *name)>;

[[nodiscard]] auto encodeRequest(const UpstreamRequest &request) -> HttpRequest;

/// @param target the path without a query
/// @param headers looks up the headers of the request
/// @param body the body of the request; moved into a run
/// @returns nothing if the request is malformed or the target is none of the above
[[nodiscard]] auto decodeRequest(std::string_view target, const HeaderLookup &headers,
                                 std::string body) -> std::optional<UpstreamRequest>;

/// @param answer any but UpstreamFailure, which isn't sent
[[nodiscard]] auto encodeAnswer(const UpstreamAnswer &answer) -> HttpAnswer;

/// @param request the call that is answered; its kind determines the form of the answer
/// @param answer a complete answer; its body is moved into a run's answer
/// @returns the decoded answer; UpstreamFailure::BadAnswer if it is malformed, has another HTTP
///          status than 200 or answers another call
[[nodiscard]] auto decodeAnswer(const UpstreamRequest &request, HttpAnswer answer)
    -> UpstreamAnswer;

} // namespace gooseberrywall::upstreamwire
