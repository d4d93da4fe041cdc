#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// Encodes all bytes but ASCII letters, digits and "-._~" as %XX, so that the result is valid in a
/// header or a path.
[[nodiscard]] auto percentEncode(std::string_view bytes) -> std::string;

/// @returns the decoded bytes; nothing if an escape is incomplete or not hexadecimal
[[nodiscard]] auto percentDecode(std::string_view text) -> std::optional<std::string>;

} // namespace gooseberrywall
