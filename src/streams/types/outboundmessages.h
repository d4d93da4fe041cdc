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
    /// Time from send() to the complete answer.
    Duration timeout{0};
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
    /// Bytes that had arrived of an answer that didn't complete.
    std::size_t partialBytes = 0;
    auto operator==(const OutboundResult &) const -> bool = default;
};

} // namespace gooseberrywall
