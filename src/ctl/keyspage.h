#pragma once

#include <string>

namespace gooseberrywall {

/// @returns docs/CONFIGURATION.md: all keys of the operators' document and of a daemon's settings
[[nodiscard]] auto keysPage() -> std::string;

} // namespace gooseberrywall
