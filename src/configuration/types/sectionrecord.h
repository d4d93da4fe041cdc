#pragma once

#include "common/types/instant.h"
#include "configuration/types/sectionname.h"

#include <cstdint>
#include <string>

namespace gooseberrywall {

/// One version of a section as stored. Never overwritten; in force only if the manifest names it.
struct SectionRecord
{
    std::uint64_t version = 0;
    /// Identifies the edit that wrote the record, so that it recognises its own write after an
    /// ambiguous answer of the store.
    OperationId operation;
    /// The team whose token was used.
    TeamName team;
    /// The accepted version that this one replaces; zero for the first.
    std::uint64_t previous = 0;
    /// Wall-clock time at the daemon that wrote the record; only shown to operators.
    UnixMillis writtenAt = 0;
    /// The whole section with its heading; empty if the section was removed.
    std::string text;

    auto operator==(const SectionRecord &) const -> bool = default;
};

} // namespace gooseberrywall
