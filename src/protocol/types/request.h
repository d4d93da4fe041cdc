#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/reason.h"

#include <optional>
#include <string>

namespace gooseberrywall {

/// How much work the caller expects its request to be.
enum class SizeHint : std::uint8_t { None, Short, Long };

/// A caller's request. The deadline is on the clock of the process that holds the value; messages
/// between processes carry the remaining time instead.
struct Request
{
    RequestId id;
    CallerId caller;
    ServiceName service;
    Key key;
    /// The service's operation, such as "lookup" or "reserve"; opaque to the daemon, which only
    /// remembers the observed cost of requests per operation.
    std::string operation;
    Instant deadline{};
    /// An idempotent request may be run more than once.
    bool idempotent = true;
    /// The caller states that it has sent the request before.
    bool resend = false;
    SizeHint sizeHint = SizeHint::None;
    /// When the id was issued, if the id contains it (UUID version 7).
    std::optional<UnixMillis> issuedAt;
    std::string body;

    auto operator==(const Request &) const -> bool = default;
};

/// How a request ended for its caller.
enum class EndKind : std::uint8_t {
    /// The upstream's whole answer.
    Answer,
    /// Certainly not run; may be sent again.
    Refused,
    /// May have run; must not be sent again as a new request.
    Unknown,
};

/// How a request ended: with an answer, or with the reason why there is none.
struct RequestEnd
{
    EndKind kind = EndKind::Unknown;
    Reason reason = Reason::None;
    /// For refusals: how long to wait before the next attempt. Zero if waiting doesn't help.
    Duration retryAfter{0};
    /// For answers: the upstream's status (HTTP) and its whole body.
    int status = 0;
    std::string body;

    auto operator==(const RequestEnd &) const -> bool = default;

    [[nodiscard]] static auto refused(Reason reason, Duration retryAfter = Duration{0})
        -> RequestEnd
    {
        return {EndKind::Refused, reason, retryAfter, 0, {}};
    }
    [[nodiscard]] static auto unknown(Reason reason) -> RequestEnd
    {
        return {EndKind::Unknown, reason, Duration{0}, 0, {}};
    }
    [[nodiscard]] static auto answer(int status, std::string body) -> RequestEnd
    {
        return {EndKind::Answer, Reason::None, Duration{0}, status, std::move(body)};
    }
};

} // namespace gooseberrywall
