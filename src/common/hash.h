#pragma once

#include <cstdint>
#include <string_view>

namespace gooseberrywall {

/// Hashes bytes with XXH3 (64 bits). Stable across processes and versions: shards depend on it.
/// @param bytes what to hash
/// @param seed separates uses that must not correlate
[[nodiscard]] auto stableHash(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

} // namespace gooseberrywall
