#pragma once

#include "permitlink/permitmessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// Encodes a message as a datagram in Cap'n Proto's packed form.
/// @returns the bytes of the datagram
[[nodiscard]] auto encodePermitMessage(const PermitMessage &message) -> std::string;

/// Decodes a datagram. Messages don't contain the entry daemon's address, which is part of a permit
/// id; it is filled in from the addresses of the two daemons.
/// @param sender address of the sending daemon: the entry daemon of requests, reports and cancels
/// @param self address of the receiving daemon: the entry daemon of answers
/// @returns the message, or nothing if the bytes aren't a valid message
[[nodiscard]] auto decodePermitMessage(std::string_view bytes, const Address &sender,
                                       const Address &self) -> std::optional<PermitMessage>;

} // namespace gooseberrywall
