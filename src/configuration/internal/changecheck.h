#pragma once

#include "configuration/document.h"
#include "configuration/types/editmessages.h"

namespace gooseberrywall {

/// The team whose token an edit came with, and its rights.
struct EditorRights
{
    TeamName team;
    bool administrator = false;
};

/// Checks whether a team may make a change and whether the resulting document is valid.
class ChangeCheck
{
public:
    /// @param current the document before the change; must outlive the check
    /// @param sections the texts of its sections
    ChangeCheck(const Document &current, std::vector<SectionText> sections, EditorRights rights);

    /// @param change the section's new text; an empty text removes the section
    /// @returns whether the change is allowed
    [[nodiscard]] auto allows(const SectionText &change) -> bool;

    /// @returns Refused or Denied, after `allows` returned false
    [[nodiscard]] auto status() const -> EditStatus { return this->refusalStatus; }
    [[nodiscard]] auto error() const -> const IniError & { return this->refusalError; }
    /// @returns the team that owns the section after the change, if it is allowed
    [[nodiscard]] auto newOwner() const -> const TeamName & { return this->owner; }

private:
    auto mayChange(const SectionName &section) -> bool;
    auto checkSize(const SectionText &change) -> bool;
    auto checkNext(const Document &next, const SectionText &change) -> bool;
    auto checkOwner(const Document &next, const SectionName &section) -> bool;
    auto checkAdministrators(const Document &next, const SectionName &section) -> bool;
    auto checkShardCounts(const Document &next, const SectionName &section) -> bool;
    auto refuse(EditStatus status, IniErrorKind kind, const SectionName &section, std::string key,
                std::string message, std::string remedy) -> bool;

    const Document &current;
    std::vector<SectionText> sections;
    EditorRights rights;
    EditStatus refusalStatus = EditStatus::Refused;
    IniError refusalError;
    TeamName owner;
};

} // namespace gooseberrywall
