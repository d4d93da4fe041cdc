#pragma once

#include "configuration/document.h"
#include "configuration/types/editmessages.h"

namespace gooseberrywall {

/// Whose token an edit came with.
struct EditorRights
{
    TeamName team;
    bool administrator = false;
};

/// Decides whether a team may make a change, and whether the document that results is valid.
class ChangeCheck
{
public:
    /// @param present the document in force
    /// @param sections its texts
    ChangeCheck(const Document &current, std::vector<SectionText> sections, EditorRights rights);

    /// @param change the section's new text; empty to remove it
    /// @returns whether the change is allowed
    [[nodiscard]] auto allows(const SectionText &change) -> bool;

    /// @returns Refused or Denied after a change that isn't allowed
    [[nodiscard]] auto status() const -> EditStatus { return this->refusalStatus; }
    [[nodiscard]] auto error() const -> const IniError & { return this->refusalError; }
    /// @returns the team that owns the section after an allowed change
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
