#pragma once

#include "protocol/types/peermessages.h"

#include <cstddef>

namespace gooseberrywall {

/// Overhead of a message on the wire: TCP and IP headers, and the Cap'n Proto call and return.
inline constexpr std::size_t messageOverheadBytes = 160;

/// @returns the size of a message in Cap'n Proto's encoding, without the overhead
[[nodiscard]] auto serializedBytes(const PeerMessage &message) -> std::size_t;

} // namespace gooseberrywall
