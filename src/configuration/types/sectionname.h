#pragma once

#include "common/types/ids.h"

#include <string>
#include <string_view>

namespace gooseberrywall {

/// The heading of a section of the operators' document, such as "service fitment".
using SectionName = Name<struct SectionNameTag>;
/// A team of operators.
using TeamName = Name<struct TeamNameTag>;

/// @returns the common prefix of the store keys of all versions of a section, with a final slash
[[nodiscard]] inline auto sectionKeyPrefix(const SectionName &name) -> std::string
{
    auto path = name.value;
    const auto blank = path.find(' ');
    if (blank != std::string::npos) {
        path[blank] = '/';
    }
    return "config/section/" + path + "/";
}

/// @returns the store key of one version of a section
[[nodiscard]] inline auto sectionKey(const SectionName &name, std::uint64_t version) -> std::string
{
    return sectionKeyPrefix(name) + std::to_string(version);
}

} // namespace gooseberrywall
