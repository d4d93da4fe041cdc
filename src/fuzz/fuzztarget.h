#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Entry point of a fuzz target, with the signature that libFuzzer calls. Each target defines it
/// once. It must return for any bytes, and aborts if a decoded value changes when it is encoded and
/// decoded again.
/// @returns zero
// libFuzzer prescribes the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int;

namespace gooseberrywall {

/// @returns valid inputs of the target, which the driver mutates
[[nodiscard]] auto fuzzSamples() -> std::vector<std::string>;

/// Aborts the program with a message if the condition doesn't hold.
/// @param message text that is printed to standard error
auto fuzzCheck(bool condition, const char *message) -> void;

} // namespace gooseberrywall
