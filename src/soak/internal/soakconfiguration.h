#pragma once

#include <string>

namespace gooseberrywall {

/// @returns the text of the operators' configuration; its size changes with each version
[[nodiscard]] auto soakConfiguration(int version) -> std::string;

} // namespace gooseberrywall
