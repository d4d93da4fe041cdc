#pragma once

#include "configuration/configurationeditor.h"
#include "configuration/types/manifest.h"

#include <map>
#include <random>

namespace gooseberrywall {

/// The text of one version of a section.
struct CachedSection
{
    std::uint64_t version = 0;
    std::string text;
};

/// State that all edits of one daemon share.
struct EditContext
{
    DaemonIdentity self;
    EditorSettings settings;
    std::mt19937_64 random;
    std::uint64_t lastOperationNumber = 0;
    /// The highest generation of a manifest that this daemon has seen.
    std::uint64_t knownGeneration = 0;
    /// The version last read of each section. Versions never change once written.
    std::map<SectionName, CachedSection> cache;

    [[nodiscard]] auto nextOperation() -> OperationId
    {
        ++this->lastOperationNumber;
        return OperationId{this->self.id.value + "-" + std::to_string(this->self.incarnation.value)
                           + "-" + std::to_string(this->random()) + "-"
                           + std::to_string(this->lastOperationNumber)};
    }

    /// @returns the text of the entry's version; nullptr if it must be read from the store
    [[nodiscard]] auto cached(const ManifestEntry &entry) const -> const std::string *;

    /// @returns a random duration between half of `maximum` and `maximum`
    [[nodiscard]] auto jittered(Duration maximum) -> Duration
    {
        const auto half = static_cast<std::uint64_t>(maximum.count()) / 2 + 1;
        return Duration{static_cast<std::int64_t>(half + this->random() % half)};
    }
};

} // namespace gooseberrywall
