#pragma once

#include "httplistener/types/servermessages.h"
#include "protocol/types/request.h"

#include <optional>
#include <string>
#include <variant>

namespace gooseberrywall {

/// A caller's call to run a request.
struct RunCall
{
    /// Its `deadline` is not set; `timeout` says how long the caller waits.
    Request request;
    /// std::nullopt: the service's default applies.
    std::optional<Duration> timeout;
    auto operator==(const RunCall &) const -> bool = default;
};

/// A caller's question how an earlier request ended.
struct OutcomeCall
{
    RequestId id;
    ServiceName service;
    Key key;
    CallerId caller;
    auto operator==(const OutcomeCall &) const -> bool = default;
};

/// A call that the callers' interface doesn't accept.
struct MalformedCall
{
    /// The HTTP status of the reply.
    int status = 0;
    /// What is wrong with the call.
    std::string message;
    auto operator==(const MalformedCall &) const -> bool = default;
};

using CallerCall = std::variant<RunCall, OutcomeCall, MalformedCall>;

/// Reads a call of the callers' HTTP interface, which docs/CALLERS.md describes. Only this function
/// and toServerReply know its format.
/// @param fallbackId the id that an idempotent request without an id gets
[[nodiscard]] auto readCallerCall(const ServerRequest &http, const RequestId &fallbackId)
    -> CallerCall;

/// Makes the reply that tells a caller how its request ended.
[[nodiscard]] auto toServerReply(ExchangeId exchange, const RequestEnd &end) -> ServerReply;

/// Makes the reply to a call that isn't accepted.
[[nodiscard]] auto toServerReply(ExchangeId exchange, const MalformedCall &call) -> ServerReply;

/// @returns the time of issue in a UUID of version 7 (RFC 9562); std::nullopt for other ids
[[nodiscard]] auto issueTimeOf(const RequestId &id) -> std::optional<UnixMillis>;

} // namespace gooseberrywall
