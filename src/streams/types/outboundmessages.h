#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "http1/types/messagehead.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywall {

using OutboundId = Number<struct OutboundIdTag>;

/// Time limit of an answer by its progress, so that a large answer over a slow link isn't given up.
struct ArrivalLimit
{
    /// The answer is given up when no bytes have arrived for this long.
    Duration stall{0};
    /// The answer is given up this long after its first bytes have arrived, so that a peer that
    /// sends single bytes doesn't hold it for ever. The time before isn't part of it, since a watch
    /// may wait for longer.
    Duration total{0};
    auto operator==(const ArrivalLimit &) const -> bool = default;
};

/// An HTTP request to one address.
struct OutboundRequest
{
    Address address;
    /// Start line, headers and body as they are sent.
    std::string text;
    /// Further bytes of the body, sent after `text`; nullptr where there are none. Shared, so that
    /// a large body isn't held more than once.
    std::shared_ptr<const std::string> body = nullptr;
    /// A HEAD request: its answer has no body, whatever its headers say.
    bool isHead = false;
    /// Time from send() to the complete answer; to its first bytes where `arrival` is set.
    Duration timeout{0};
    /// Limits an answer whose size isn't known from when its first bytes have arrived.
    std::optional<ArrivalLimit> arrival = std::nullopt;
    /// Id that the answer repeats in the echo header; an answer with another id belongs to an
    /// earlier request.
    std::optional<std::string> echoedId;
    /// Not to be sent on a connection that was used before, where a second copy of an earlier
    /// answer could be taken for this request's: it has no id, or one that was sent to this address
    /// before.
    bool needsNewConnection = false;
    auto operator==(const OutboundRequest &) const -> bool = default;
};

/// How an OutboundRequest ended.
struct OutboundResult
{
    enum class End : std::uint8_t {
        Answered,
        /// Nothing was sent, for certain.
        NotSent,
        /// The request was sent at least in part, and no complete answer arrived.
        NoAnswer,
        /// The request was sent, and the answer was malformed.
        BadAnswer,
    };

    End end = End::NoAnswer;
    WholeMessage answer;
    /// No other request was sent on the connection before. Otherwise an answer that names no
    /// request may consist of additional bytes behind an earlier answer.
    bool isFirstOnConnection = true;
    /// Bytes that had arrived of the body of an answer that didn't complete.
    std::size_t partialBytes = 0;
    auto operator==(const OutboundResult &) const -> bool = default;
};

} // namespace gooseberrywall
