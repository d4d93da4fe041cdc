#pragma once

#include "configuration/types/manifest.h"
#include "configuration/types/sectionrecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// @returns the manifest as stored: JSON with one array per entry
[[nodiscard]] auto encodeManifest(const Manifest &manifest) -> std::string;

/// @returns the manifest; nothing if the text is not an encoded manifest
[[nodiscard]] auto decodeManifest(std::string_view text) -> std::optional<Manifest>;

/// @returns the record as stored: JSON
[[nodiscard]] auto encodeSectionRecord(const SectionRecord &record) -> std::string;

/// @returns the record; nothing if the text is not an encoded record
[[nodiscard]] auto decodeSectionRecord(std::string_view text) -> std::optional<SectionRecord>;

/// @returns the digest of a section's text, as in ManifestEntry
[[nodiscard]] auto sectionDigest(std::string_view text) -> std::uint64_t;

} // namespace gooseberrywall
