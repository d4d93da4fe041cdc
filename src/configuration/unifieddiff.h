#pragma once

#include <string>
#include <string_view>

namespace gooseberrywall {

/// @param beforeName the name of `before` in the "---" line
/// @param afterName the name of `after` in the "+++" line
/// @returns the difference by lines in unified format with three lines of context; empty if the
///          texts are equal
[[nodiscard]] auto unifiedDiff(std::string_view before, std::string_view after,
                               const std::string &beforeName, const std::string &afterName)
    -> std::string;

} // namespace gooseberrywall
