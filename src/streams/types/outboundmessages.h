#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "http1/types/messagehead.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberrywall {

using OutboundId = Number<struct OutboundIdTag>;

/// An HTTP request to one address.
struct OutboundRequest
{
    Address address;
    /// The whole message.
    std::string text;
    /// The answer has no body, whatever it says.
    bool isHead = false;
    /// From now to the whole answer.
    Duration timeout{0};
    /// Answers that name another one in the echo header belong to earlier requests.
    std::optional<std::string> echoedId;
    auto operator==(const OutboundRequest &) const -> bool = default;
};

/// How an OutboundRequest ended.
struct OutboundResult
{
    enum class End : std::uint8_t {
        Answered,
        /// Surely nothing was sent.
        NotSent,
        /// Sent at least in part, and no whole answer came.
        NoAnswer,
        /// Sent, and what came is no answer.
        BadAnswer,
    };

    End end = End::NoAnswer;
    WholeMessage answer;
    auto operator==(const OutboundResult &) const -> bool = default;
};

} // namespace gooseberrywall
