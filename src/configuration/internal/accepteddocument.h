#pragma once

#include "protocol/types/peermessages.h"

#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// The accepted sections of one generation, sorted by name, without removed ones.
struct AcceptedDocument
{
    std::uint64_t generation = 0;
    std::vector<ConfigurationSection> sections;

    auto operator==(const AcceptedDocument &) const -> bool = default;

    /// @returns the section of this name; nullptr if there is none
    [[nodiscard]] auto find(const std::string &name) const -> const ConfigurationSection *;

    /// @returns a hash of the names and versions of all sections
    [[nodiscard]] auto digest() const -> std::uint64_t;

    /// @returns the document after the update; nothing if the update is based on another document,
    ///          so that the digest of the result differs
    [[nodiscard]] auto after(const ConfigurationUpdate &update) const
        -> std::optional<AcceptedDocument>;

    /// @param receiverVersions names and versions of the receiver's sections; empty: the update
    ///        holds the whole document
    /// @returns an update that brings the receiver to this document
    [[nodiscard]] auto updateFor(const std::vector<ConfigurationSection> &receiverVersions) const
        -> ConfigurationUpdate;

    /// @returns the sections with empty texts
    [[nodiscard]] auto versions() const -> std::vector<ConfigurationSection>;
};

/// @returns the size of names, versions and texts in bytes
[[nodiscard]] auto byteSize(const std::vector<ConfigurationSection> &sections) -> std::uint64_t;

} // namespace gooseberrywall
