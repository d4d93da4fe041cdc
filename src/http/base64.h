#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// @returns the bytes as base64 with padding
[[nodiscard]] auto encodeBase64(std::string_view bytes) -> std::string;

/// @returns the decoded bytes; nothing if the text isn't base64 with padding
[[nodiscard]] auto decodeBase64(std::string_view text) -> std::optional<std::string>;

} // namespace gooseberrywall
