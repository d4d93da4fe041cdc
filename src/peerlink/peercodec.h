#pragma once

#include "peerlink/schema/peer.capnp.h"
#include "protocol/types/peermessages.h"

#include <optional>

namespace gooseberrywall {

/// Encodes a message in Cap'n Proto. Only this function and readPeerMessage know the encoding.
auto writePeerMessage(const PeerMessage &message, wire::Message::Builder builder) -> void;

/// Decodes a message.
/// @returns std::nullopt if the message is of an unknown kind or an enumeration is out of range
/// @throws kj::Exception if the bytes are malformed
[[nodiscard]] auto readPeerMessage(wire::Message::Reader reader) -> std::optional<PeerMessage>;

} // namespace gooseberrywall
