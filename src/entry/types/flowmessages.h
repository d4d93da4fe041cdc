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
    /// Hash of method, path and body; identifies the request when it is sent again.
    std::uint64_t fingerprint = 0;
    /// How long the caller waits, from the request's arrival; empty where it doesn't say.
    std::optional<Duration> callerTimeout;
    auto operator==(const FlowRequest &) const -> bool = default;
};

/// Command: send the request to an upstream.
struct FlowSend
{
    ExchangeId exchange;
    UpstreamId upstream;
    Address address;
    /// Time left until the answer is due.
    Duration remaining{0};
    /// Which of the successive processes with the upstream's id is meant; zero where that isn't
    /// known.
    Incarnation incarnation = {};
    /// The daemon that forwards the request to the upstream; empty where this one sends it itself.
    Address forwarder = {};
    /// The upstream leaves, and no other one can serve the request.
    bool isLastResort = false;
    auto operator==(const FlowSend &) const -> bool = default;
};

/// Command: abort the attempt in progress.
struct FlowAbort
{
    ExchangeId exchange;
    auto operator==(const FlowAbort &) const -> bool = default;
};

/// Command: deliver the upstream's last answer to the caller.
struct FlowDeliver
{
    ExchangeId exchange;
    auto operator==(const FlowDeliver &) const -> bool = default;
};

/// Command: answer the caller with an error of the daemon's own.
struct FlowRefuse
{
    ExchangeId exchange;
    /// HTTP status; 503 only where it is certain that the request hasn't run and won't run.
    int status = 503;
    Reason reason = Reason::None;
    std::optional<Duration> retryAfter;
    auto operator==(const FlowRefuse &) const -> bool = default;
};

using FlowCommand = std::variant<FlowSend, FlowAbort, FlowDeliver, FlowRefuse>;

/// How an attempt ended, as seen on the connection.
struct FlowAttemptEnd
{
    ExchangeId exchange;
    AttemptEnd end = AttemptEnd::NoAnswer;
    std::optional<ReportedLoad> load;
    std::optional<RequestLimit> requestLimit;
    /// The upstream has stated that it is about to stop.
    bool isLeaving = false;
    /// Rejections only: for this time the upstream wants no requests from this daemon.
    std::optional<Duration> pause = std::nullopt;
    LeaveHint leaveHint = LeaveHint::Unknown;
    auto operator==(const FlowAttemptEnd &) const -> bool = default;
};

} // namespace gooseberrywall
