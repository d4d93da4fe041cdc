#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// Encodes any bytes as base64 with padding (RFC 4648).
[[nodiscard]] auto base64Encode(std::string_view bytes) -> std::string;

/// @returns the decoded bytes; nothing if the text isn't base64 with padding
[[nodiscard]] auto base64Decode(std::string_view text) -> std::optional<std::string>;

} // namespace gooseberrywall
