#pragma once

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace gooseberrywall {

/// @returns the whole text of the file; std::nullopt if it can't be opened
[[nodiscard]] inline auto readTextFile(const std::string &name) -> std::optional<std::string>
{
    std::ifstream file(name);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace gooseberrywall
