#include "configuration/document.h"

#include "configuration/teamtoken.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

auto isHeading(std::string_view line) -> bool
{
    return !line.empty() && line.front() == '[';
}

auto isComment(std::string_view line) -> bool
{
    return !line.empty() && (line.front() == '#' || line.front() == ';');
}

auto headingName(std::string_view line) -> std::string
{
    const auto inner = line.substr(1, std::min(line.find(']'), line.size()) - 1);
    auto name = std::string{};
    for (const auto letter : inner) {
        const auto blank = letter == ' ' || letter == '\t';
        if (!blank) {
            name += letter;
        } else if (!name.empty() && name.back() != ' ') {
            name += ' ';
        }
    }
    if (!name.empty() && name.back() == ' ') {
        name.pop_back();
    }
    return name;
}

} // namespace

Document::Document(std::vector<Team> teams, std::vector<ServicePolicy> policies,
                   std::vector<std::pair<SectionName, TeamName>> owners)
    : allTeams(std::move(teams))
    , servicePolicies(std::move(policies))
    , owners(std::move(owners))
{
}

auto Document::team(const TeamName &name) const -> const Team *
{
    for (const auto &candidate : this->allTeams) {
        if (candidate.name == name) {
            return &candidate;
        }
    }
    return nullptr;
}

auto Document::ownerOf(const SectionName &section) const -> std::optional<TeamName>
{
    for (const auto &[name, owner] : this->owners) {
        if (name == section) {
            return owner;
        }
    }
    return std::nullopt;
}

auto Document::teamOfToken(std::string_view token) const -> const Team *
{
    const Team *found = nullptr;
    for (const auto &candidate : this->allTeams) {
        for (const auto &hash : candidate.tokenHashes) {
            if (tokenMatches(token, hash)) {
                found = &candidate;
            }
        }
    }
    return found;
}

auto Document::mayOperate(std::string_view token, const ServiceName &service) const -> bool
{
    const auto *team = this->teamOfToken(token);
    if (team == nullptr) {
        return false;
    }
    const auto owner = this->ownerOf(SectionName{"service " + service.value});
    return team->administrator || (owner && *owner == team->name);
}

auto Document::hasAdministrator() const -> bool
{
    return std::any_of(this->allTeams.begin(), this->allTeams.end(), [](const Team &team) {
        return team.administrator && !team.tokenHashes.empty();
    });
}

auto splitSections(std::string_view text) -> std::vector<SectionText>
{
    auto sections = std::vector<SectionText>{};
    auto comments = std::string{};
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size() - 1);
        const auto line = text.substr(0, end + 1);
        text.remove_prefix(end + 1);
        if (isComment(line)) {
            comments += line;
            continue;
        }
        if (isHeading(line)) {
            sections.push_back({SectionName{headingName(line)}, comments + std::string(line)});
            comments.clear();
            continue;
        }
        if (sections.empty()) {
            sections.push_back({});
        }
        sections.back().text += comments;
        sections.back().text += line;
        comments.clear();
    }
    if (!comments.empty()) {
        if (sections.empty()) {
            sections.push_back({});
        }
        sections.back().text += comments;
    }
    return sections;
}

} // namespace gooseberrywall
