#pragma once

#include "configuration/configurationeditor.h"
#include "configuration/types/manifest.h"

#include <map>
#include <random>

namespace gooseberrywall {

/// A version of a section that was read before.
struct CachedSection
{
    std::uint64_t version = 0;
    std::string text;
};

/// What the edits of one daemon share.
struct EditContext
{
    DaemonIdentity self;
    EditorSettings settings;
    std::mt19937_64 random;
    std::uint64_t lastOperationNumber = 0;
    /// The highest generation that this daemon has seen.
    std::uint64_t knownGeneration = 0;
    /// The last read version of each section; versions never change once written.
    std::map<SectionName, CachedSection> cache;

    [[nodiscard]] auto nextOperation() -> OperationId
    {
        ++this->lastOperationNumber;
        return OperationId{this->self.id.value + "-" + std::to_string(this->self.incarnation.value)
                           + "-" + std::to_string(this->random()) + "-"
                           + std::to_string(this->lastOperationNumber)};
    }

    /// @returns the text of a manifest's entry; nullptr where it must be read
    [[nodiscard]] auto cached(const ManifestEntry &entry) const -> const std::string *;

    /// @returns a random span between a half and the whole of `maximum`
    [[nodiscard]] auto jittered(Duration maximum) -> Duration
    {
        const auto half = static_cast<std::uint64_t>(maximum.count()) / 2 + 1;
        return Duration{static_cast<std::int64_t>(half + this->random() % half)};
    }
};

} // namespace gooseberrywall
