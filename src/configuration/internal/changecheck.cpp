#include "configuration/internal/changecheck.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t maximumSectionBytes = std::size_t{64} * 1024;

auto findPolicy(const Document &document, const ServiceName &service) -> const ServicePolicy *
{
    for (const auto &policy : document.policies()) {
        if (policy.service == service) {
            return &policy;
        }
    }
    return nullptr;
}

} // namespace

ChangeCheck::ChangeCheck(const Document &current, std::vector<SectionText> sections,
                         EditorRights rights)
    : current(current)
    , sections(std::move(sections))
    , rights(std::move(rights))
{
}

auto ChangeCheck::allows(const SectionText &change) -> bool
{
    if (!this->mayChange(change.section) || !this->checkSize(change)) {
        return false;
    }
    auto next = this->sections;
    const auto sameSection = [&change](const SectionText &other) {
        return other.section == change.section;
    };
    next.erase(std::remove_if(next.begin(), next.end(), sameSection), next.end());
    if (!change.text.empty()) {
        next.push_back(change);
    }
    auto parser = DocumentParser();
    const auto document = parser.parse(next);
    if (!document) {
        this->refusalStatus = EditStatus::Refused;
        this->refusalError = parser.lastError();
        return false;
    }
    return this->checkNext(*document, change);
}

auto ChangeCheck::mayChange(const SectionName &section) -> bool
{
    const auto before = this->current.ownerOf(section);
    if (!before || this->rights.administrator || *before == this->rights.team) {
        this->owner = before.value_or(this->rights.team);
        return true;
    }
    const auto *team = this->current.team(*before);
    const auto contact = team == nullptr || team->contact.empty() ? "" : " (" + team->contact + ")";
    return this->refuse(EditStatus::Denied, IniErrorKind::None, section, {},
                        "the section belongs to team '" + before->value + "'",
                        "Ask team '" + before->value + "'" + contact + " or an administrator.");
}

auto ChangeCheck::checkSize(const SectionText &change) -> bool
{
    if (change.text.size() <= maximumSectionBytes) {
        return true;
    }
    return this->refuse(EditStatus::Refused, IniErrorKind::OutOfRange, change.section, {},
                        "the section has more than 65536 bytes", "Split it into several sections.");
}

auto ChangeCheck::checkNext(const Document &next, const SectionText &change) -> bool
{
    return this->checkOwner(next, change.section) && this->checkAdministrators(next, change.section)
           && this->checkShardCounts(next, change.section);
}

auto ChangeCheck::checkOwner(const Document &next, const SectionName &section) -> bool
{
    const auto after = next.ownerOf(section);
    if (!after) {
        return true;
    }
    this->owner = *after;
    const auto isNew = !this->current.ownerOf(section);
    if (!isNew || this->rights.administrator || *after == this->rights.team) {
        return true;
    }
    return this->refuse(EditStatus::Denied, IniErrorKind::None, section, {},
                        "team '" + this->rights.team.value + "' can't add a section of team '"
                            + after->value + "'",
                        "Name your own team as its owner, or ask an administrator.");
}

auto ChangeCheck::checkAdministrators(const Document &next, const SectionName &section) -> bool
{
    if (this->rights.administrator) {
        return true;
    }
    for (const auto &team : next.teams()) {
        const auto *before = this->current.team(team.name);
        if (team.administrator && (before == nullptr || !before->administrator)) {
            return this->refuse(EditStatus::Denied, IniErrorKind::None, section, "administrator",
                                "only an administrator can make a team administrator",
                                "Ask an administrator.");
        }
    }
    return true;
}

auto ChangeCheck::checkShardCounts(const Document &next, const SectionName &section) -> bool
{
    for (const auto &policy : next.policies()) {
        const auto *before = findPolicy(this->current, policy.service);
        if (before != nullptr && before->shardCount != policy.shardCount) {
            return this->refuse(EditStatus::Refused, IniErrorKind::Contradiction, section,
                                "shard_count", "the shard count of a service can't be changed",
                                "Keep 'shard_count = " + std::to_string(before->shardCount)
                                    + "', or add a service under a new name.");
        }
    }
    return true;
}

auto ChangeCheck::refuse(EditStatus status, IniErrorKind kind, const SectionName &section,
                         std::string key, std::string message, std::string remedy) -> bool
{
    this->refusalStatus = status;
    this->refusalError = {
        kind, {}, 0, section.value, std::move(key), std::move(message), std::move(remedy)};
    return false;
}

} // namespace gooseberrywall
