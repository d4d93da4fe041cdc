#pragma once

#include <cstdint>

namespace gooseberrywall {

/// The format that encodeRecord() writes; the decoder refuses all others.
inline constexpr std::uint16_t recordFormat = 1;

} // namespace gooseberrywall
