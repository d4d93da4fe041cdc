#pragma once

#include "http/types/httpmessage.h"
#include "loadtool/types/callend.h"
#include "loadtool/types/loadsettings.h"
#include "loadtool/types/plannedrequest.h"

/// The caller's side of the daemon's HTTP interface for callers.
namespace gooseberrywall::callerwire {

/// @param resend whether the request was sent before
[[nodiscard]] auto encode(const LoadSettings &settings, const PlannedRequest &request, bool resend)
    -> HttpRequest;

/// @returns the query for the outcome of an earlier request
[[nodiscard]] auto encodeOutcomeQuery(const LoadSettings &settings, const PlannedRequest &request)
    -> HttpRequest;

/// @returns how the call ended. Upstream stand-ins begin each body with the request's id; an answer
///          whose body doesn't is a WrongAnswer
[[nodiscard]] auto decode(const PlannedRequest &request, const HttpAnswer &answer) -> CallEnd;

} // namespace gooseberrywall::callerwire
