#pragma once

#include "configuration/types/sectionname.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace gooseberrywall {

/// The accepted version of one section.
struct ManifestEntry
{
    SectionName section;
    /// Increases with each change of the section; versions that were never accepted leave gaps.
    std::uint64_t version = 0;
    /// XXH3 of the section's text.
    std::uint64_t digest = 0;
    /// The team that may change the section.
    TeamName owner;
    /// The section was removed. The entry stays and keeps the version, so that it is never reused.
    bool removed = false;

    auto operator==(const ManifestEntry &) const -> bool = default;
};

/// The accepted versions of all sections: the single value in the store that determines which
/// sections are in force. Entries are sorted by section.
struct Manifest
{
    /// Increases by one with each accepted change.
    std::uint64_t generation = 0;
    /// Identifies the edit that wrote the manifest.
    OperationId operation;
    std::vector<ManifestEntry> entries;

    auto operator==(const Manifest &) const -> bool = default;

    /// @returns the entry of the section, removed or not; nullptr if there was never such a section
    [[nodiscard]] auto find(const SectionName &section) const -> const ManifestEntry *
    {
        for (const auto &entry : this->entries) {
            if (entry.section == section) {
                return &entry;
            }
        }
        return nullptr;
    }

    /// @returns the manifest of the next generation, with this entry added or replaced
    [[nodiscard]] auto with(ManifestEntry changed, OperationId by) const -> Manifest
    {
        auto next = *this;
        ++next.generation;
        next.operation = std::move(by);
        const auto place =
            std::lower_bound(next.entries.begin(), next.entries.end(), changed,
                             [](const ManifestEntry &left, const ManifestEntry &right) {
                                 return left.section < right.section;
                             });
        if (place != next.entries.end() && place->section == changed.section) {
            *place = std::move(changed);
        } else {
            next.entries.insert(place, std::move(changed));
        }
        return next;
    }
};

/// The store key of the manifest.
inline constexpr auto manifestKey = "config/manifest";

} // namespace gooseberrywall
