#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// Compresses a text with Zstandard.
/// @param base a text that the receiver has; where it resembles `text`, little more than the
///        difference is sent. Empty: the result can be read without one.
/// @returns a frame with the length and a checksum of the text; empty if it couldn't be made
[[nodiscard]] auto compressed(std::string_view text, std::string_view base)
    -> std::optional<std::string>;

/// @param frame as compressed() returns it
/// @param base the text that the frame was made with
/// @param sizeLimit longer texts aren't read, in bytes
/// @returns the text; empty if the frame is malformed, was made with another base, or is too long
[[nodiscard]] auto decompressed(std::string_view frame, std::string_view base,
                                std::size_t sizeLimit) -> std::optional<std::string>;

} // namespace gooseberrywall
