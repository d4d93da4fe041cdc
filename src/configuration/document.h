#pragma once

#include "configuration/types/sectionname.h"
#include "inidocument/checkedini.h"
#include "protocol/types/peermessages.h"
#include "protocol/types/servicepolicy.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// A `[team NAME]` section.
struct Team
{
    TeamName name;
    bool administrator = false;
    std::string contact;
    std::vector<std::string> tokenHashes;

    auto operator==(const Team &) const -> bool = default;
};

/// A section's text under its name.
struct SectionText
{
    SectionName section;
    std::string text;

    auto operator==(const SectionText &) const -> bool = default;
};

/// The operators' configuration document: all sections, valid by themselves and together.
class Document
{
public:
    Document() = default;
    Document(std::vector<Team> teams, std::vector<ServicePolicy> policies,
             std::vector<std::pair<SectionName, TeamName>> owners);

    /// @returns the policies with the shares of their callers, sorted by service
    [[nodiscard]] auto policies() const -> const std::vector<ServicePolicy> &
    {
        return this->servicePolicies;
    }
    [[nodiscard]] auto teams() const -> const std::vector<Team> & { return this->allTeams; }
    /// @returns the team of this name; nullptr if there is none
    [[nodiscard]] auto team(const TeamName &name) const -> const Team *;
    /// @returns the team that may change the section; nothing if there is no such section
    [[nodiscard]] auto ownerOf(const SectionName &section) const -> std::optional<TeamName>;
    /// @returns the team that the token belongs to; nullptr if to none. All hashes are compared, so
    ///          that the time taken doesn't reveal the team.
    [[nodiscard]] auto teamOfToken(std::string_view token) const -> const Team *;
    /// @returns whether the token's team may drain upstreams and lift quarantines of the service:
    ///          it owns the service or is an administrator
    [[nodiscard]] auto mayOperate(std::string_view token, const ServiceName &service) const -> bool;
    /// @returns whether any administrator team has a token
    [[nodiscard]] auto hasAdministrator() const -> bool;

    auto operator==(const Document &) const -> bool = default;

private:
    std::vector<Team> allTeams;
    std::vector<ServicePolicy> servicePolicies;
    std::vector<std::pair<SectionName, TeamName>> owners;
};

/// Parses and checks a whole document.
class DocumentParser
{
public:
    /// @param sections one section per text, each with its heading
    /// @returns the document; nothing if a section is invalid or sections contradict each other
    [[nodiscard]] auto parse(const std::vector<SectionText> &sections) -> std::optional<Document>;

    /// @returns why the last document was refused; line numbers count from the section's start
    [[nodiscard]] auto lastError() const -> const IniError & { return this->error; }

private:
    IniError error;
};

/// Splits a document at its headings. Comment lines directly above a heading belong to its section.
/// @returns the sections in order; text before the first heading becomes a section without a name
[[nodiscard]] auto splitSections(std::string_view text) -> std::vector<SectionText>;

} // namespace gooseberrywall
