#pragma once

#include "common/types/instant.h"
#include "configuration/types/manifest.h"
#include "configuration/types/sectionrecord.h"
#include "inidocument/types/inierror.h"

#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// Identifies one edit inside one daemon.
using EditId = Number<struct EditIdTag>;

enum class EditOperation : std::uint8_t {
    /// Reads a section, or the whole document.
    Get,
    /// Replaces, adds or (with an empty text) removes a section.
    Set,
    /// Like Set, but changes nothing.
    Check,
    /// Compares two accepted versions.
    Diff,
    /// Lists accepted versions.
    History,
    /// Makes a new version that has the text of an earlier accepted one.
    Rollback,
};

/// An operator's request concerning one section or the whole document.
struct EditRequest
{
    EditOperation operation = EditOperation::Get;
    /// Empty only with Get: the whole document.
    SectionName section;
    /// The team's token; neither stored nor logged.
    std::string token;
    /// Set and Check: the whole section with its heading; empty to remove it.
    std::string text;
    /// Set, Check and Rollback: the version that the change is based on; zero: the section is new.
    /// With Rollback, zero stands for the current version.
    std::uint64_t expectedVersion = 0;
    /// Diff: the earlier version; zero: the one before toVersion.
    std::uint64_t fromVersion = 0;
    /// Get: the version to read. Diff: the later version. Both: zero for the current version.
    /// Rollback: the version whose text is restored.
    std::uint64_t toVersion = 0;
    /// Wall-clock time of the request; only shown in the history.
    UnixMillis at = 0;
};

enum class EditStatus : std::uint8_t {
    /// The section was read, or the change accepted; daemons put it in force within seconds.
    Done,
    /// The document would be invalid; nothing changed.
    Refused,
    /// The token is invalid, or its team lacks the right; nothing changed.
    Denied,
    /// The section has changed since `expectedVersion`; nothing changed.
    Conflict,
    /// There is no such section or version.
    NotFound,
    /// The store could not be reached; nothing changed.
    Unavailable,
    /// The store did not say whether the change was accepted.
    OutcomeUnknown,
};

/// @returns the status as written to logs and JSON, such as "outcome_unknown"
[[nodiscard]] auto toString(EditStatus status) -> std::string_view;

/// The result of an edit.
struct EditResult
{
    EditId id;
    EditOperation operation = EditOperation::Get;
    EditStatus status = EditStatus::Unavailable;
    SectionName section;
    /// The section's version after the edit. Conflict: the current version.
    std::uint64_t version = 0;
    /// The edit is in force once all daemons have reached this generation.
    std::uint64_t generation = 0;
    /// The team that may change the section.
    TeamName owner;
    /// Get: the text of the section or document.
    std::string text;
    /// In unified format. Set, Check, Rollback: the change. Diff: the difference of the versions.
    /// Conflict: the changes since the expected version.
    std::string diff;
    /// History: accepted versions, latest first. Otherwise empty.
    std::vector<SectionRecord> history;
    /// Get of the whole document: its sections with their versions.
    std::vector<ManifestEntry> sections;
    /// Refused: what is wrong with the document.
    IniError error;
    std::string message;
    /// What to do next, as one sentence.
    std::string remedy;
};

} // namespace gooseberrywall
