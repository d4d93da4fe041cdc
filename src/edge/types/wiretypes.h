#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "dispatch/types/permits.h"

#include <optional>
#include <string>

namespace gooseberrywall {

/// Fields that a caller's request carries in its headers.
struct CallerFields
{
    /// The caller's id of this attempt; empty where it gives none.
    RequestId id;
    /// How long the caller waits, from the request's arrival; empty where it doesn't say.
    std::optional<Duration> timeout;
    /// Empty where the request has no shard key.
    std::optional<KeyPosition> key;
    auto operator==(const CallerFields &) const -> bool = default;
};

/// Fields of an upstream's answer that concern the attempt.
struct AnswerFields
{
    AttemptEnd end = AttemptEnd::NoAnswer;
    /// The answer bears an upstream's signature.
    bool isSigned = false;
    /// Empty where the upstream doesn't report its load.
    std::optional<ReportedLoad> load;
    /// Empty where the answer doesn't tell.
    std::optional<RequestLimit> requestLimit;
    /// The upstream is about to stop and takes no new requests for long.
    bool isLeaving = false;
    /// Rejections only: for this time the upstream wants no requests from this daemon.
    std::optional<Duration> pause = std::nullopt;
    LeaveHint leaveHint = LeaveHint::Unknown;
    auto operator==(const AnswerFields &) const -> bool = default;
};

/// What an upstream states in its answer to an order about keys.
struct OrderStatement
{
    /// The upstream is about to stop.
    bool isLeaving = false;
    /// For this time the upstream wants no requests from this daemon.
    std::optional<Duration> pause = std::nullopt;
    LeaveHint leaveHint = LeaveHint::Unknown;
    auto operator==(const OrderStatement &) const -> bool = default;
};

/// A call to the store or to an upstream, as an HTTP request.
struct WireCall
{
    std::string method;
    std::string target;
    std::string body;
    auto operator==(const WireCall &) const -> bool = default;
};

} // namespace gooseberrywall
