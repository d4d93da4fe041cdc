#pragma once

#include "permitlink/permitmessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// @returns the message as a datagram's bytes (Cap'n Proto, packed)
[[nodiscard]] auto encodePermitMessage(const PermitMessage &message) -> std::string;

/// @param sender goes into the ids of requests and reports, which don't name their entry daemon
/// @param self goes into the ids of answers
/// @returns nothing where the bytes are no such message
[[nodiscard]] auto decodePermitMessage(std::string_view bytes, const Address &sender,
                                       const Address &self) -> std::optional<PermitMessage>;

} // namespace gooseberrywall
