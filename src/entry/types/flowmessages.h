#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/reason.h"
#include "dispatch/types/permits.h"
#include "routing/types/routeconfiguration.h"

#include <optional>
#include <variant>

namespace gooseberrywall {

/// A caller's request after routing.
struct FlowRequest
{
    ExchangeId exchange;
    RequestId id;
    Route route;
    ServiceName service;
    std::optional<KeyPosition> key;
    /// Hash of method, path and body, by which the request is known when it comes again.
    std::uint64_t fingerprint = 0;
    /// How long the caller waits, counted from now; nothing where it doesn't say.
    std::optional<Duration> callerTimeout;
    auto operator==(const FlowRequest &) const -> bool = default;
};

/// Send the request to an upstream.
struct FlowSend
{
    ExchangeId exchange;
    UpstreamId upstream;
    Address address;
    /// Until the answer is due.
    Duration remaining{0};
    auto operator==(const FlowSend &) const -> bool = default;
};

/// Break off the attempt under way.
struct FlowAbort
{
    ExchangeId exchange;
    auto operator==(const FlowAbort &) const -> bool = default;
};

/// Give the caller the upstream's last answer.
struct FlowDeliver
{
    ExchangeId exchange;
    auto operator==(const FlowDeliver &) const -> bool = default;
};

/// Give the caller an answer of the system's own.
struct FlowRefuse
{
    ExchangeId exchange;
    /// 503 only where the request has surely not run and won't.
    int status = 503;
    Reason reason = Reason::None;
    std::optional<Duration> retryAfter;
    auto operator==(const FlowRefuse &) const -> bool = default;
};

using FlowCommand = std::variant<FlowSend, FlowAbort, FlowDeliver, FlowRefuse>;

/// How an attempt ended, as the connection saw it.
struct FlowAttemptEnd
{
    ExchangeId exchange;
    AttemptEnd end = AttemptEnd::NoAnswer;
    std::optional<ReportedLoad> load;
    auto operator==(const FlowAttemptEnd &) const -> bool = default;
};

} // namespace gooseberrywall
