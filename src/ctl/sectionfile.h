#pragma once

#include "configuration/types/sectionname.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// A section in an operator's file. A line "# version N" above it states the version that the
/// operator read.
struct FileSection
{
    SectionName section;
    /// Zero if that line is missing: the section is new.
    std::uint64_t version = 0;
    /// The section without that line.
    std::string text;

    auto operator==(const FileSection &) const -> bool = default;
};

/// @returns the sections of a file in order; std::nullopt if a key stands above the first heading
[[nodiscard]] auto readSectionFile(std::string_view text)
    -> std::optional<std::vector<FileSection>>;

/// @returns a section in the format that readSectionFile reads
[[nodiscard]] auto writeSection(std::uint64_t version, const std::string &text) -> std::string;

/// Sets one key in a section's text, or removes it so that its default applies.
/// @param value the new value; empty: remove the key
/// @returns the changed text
[[nodiscard]] auto withKey(std::string_view text, const std::string &key, const std::string &value)
    -> std::string;

} // namespace gooseberrywall
