#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "entry/types/statementmessages.h"
#include "http1/types/messagehead.h"
#include "streams/types/outboundmessages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywall {

/// A request that an entry daemon asks another daemon, the forwarder, to send to an upstream.
struct ForwardRequest
{
    /// The upstream's address.
    Address address;
    UpstreamId upstream;
    /// Which of the successive processes with the upstream's id is meant; zero where that isn't
    /// known.
    Incarnation incarnation;
    /// Time left until the answer is due.
    Duration remaining{0};
    /// As in OutboundRequest.
    std::optional<std::string> echoedId;
    bool isHead = false;
    /// The request may be run again after an unknown outcome.
    bool isRepeatable = false;
    /// As in OutboundRequest.
    bool needsNewConnection = false;
    /// No other upstream can serve the request, so one that leaves may get it; see
    /// SendHold::allowsLastResort.
    bool isLastResort = false;
    /// The HTTP request for the upstream: start line, headers and body as they are to be sent.
    std::string text;
    /// Further bytes of the body, as in OutboundRequest. A forwarder receives all of it in `text`.
    std::shared_ptr<const std::string> body = nullptr;
    auto operator==(const ForwardRequest &) const -> bool = default;
};

/// Why a forwarder hasn't sent a request and won't send it.
enum class ForwardRefusal : std::uint8_t {
    /// The forwarder couldn't connect to the upstream.
    Unreachable,
    /// The forwarder forwards as many requests as it may.
    Full,
    /// The forwarder is about to stop.
    Stopping,
    /// An upstream's statement binds the forwarder.
    Held,
    /// The request's time was over when the forwarder read it, or its entry daemon may have given
    /// it up.
    Expired,
    /// The forwarder couldn't read the request, or had no memory for it.
    Unread,
};

/// How a forwarded request ended.
struct ForwardAnswer
{
    /// NotSent: the forwarder hasn't sent the request and won't, for certain. NoAnswer: unknown.
    /// BadAnswer isn't used.
    OutboundResult::End end = OutboundResult::End::NoAnswer;
    /// NotSent only; empty where the forwarder itself couldn't be reached.
    std::optional<ForwardRefusal> refusal = std::nullopt;
    /// ForwardRefusal::Held only.
    std::optional<SendHold> hold = std::nullopt;
    /// Answered only; the upstream's answer as the forwarder has received it.
    WholeMessage answer = {};
    auto operator==(const ForwardAnswer &) const -> bool = default;
};

/// What an upstream's answer states to the daemon that receives it.
struct AnswerStatement
{
    /// The upstream itself has answered, and not another one at its address.
    bool isAnswered = false;
    /// The upstream is about to stop.
    bool isLeaving = false;
    /// For this time the upstream wants no requests from the receiving daemon.
    std::optional<Duration> pause = std::nullopt;
    auto operator==(const AnswerStatement &) const -> bool = default;
};

} // namespace gooseberrywall
