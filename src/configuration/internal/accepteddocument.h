#pragma once

#include "protocol/types/peermessages.h"

#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// The accepted sections of one generation, sorted by name; removed ones are left out.
struct AcceptedDocument
{
    std::uint64_t generation = 0;
    std::vector<ConfigurationSection> sections;

    auto operator==(const AcceptedDocument &) const -> bool = default;

    /// @returns the section; nullptr where there is none
    [[nodiscard]] auto find(const std::string &name) const -> const ConfigurationSection *;

    /// @returns a hash of all names and versions
    [[nodiscard]] auto digest() const -> std::uint64_t;

    /// @returns the document after the update; nothing where the update doesn't fit to this one
    [[nodiscard]] auto after(const ConfigurationUpdate &update) const
        -> std::optional<AcceptedDocument>;

    /// @param have names and versions that the receiver has; none: the whole document is sent
    [[nodiscard]] auto updateFor(const std::vector<ConfigurationSection> &receiverVersions) const
        -> ConfigurationUpdate;

    /// @returns names and versions without texts
    [[nodiscard]] auto versions() const -> std::vector<ConfigurationSection>;
};

/// @returns the bytes of names, versions and texts
[[nodiscard]] auto byteSize(const std::vector<ConfigurationSection> &sections) -> std::uint64_t;

} // namespace gooseberrywall
