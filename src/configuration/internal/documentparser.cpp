#include "configuration/document.h"

#include "configuration/documentschema.h"
#include "configuration/teamtoken.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace gooseberrywall {

namespace {

/// Builds a document section by section and stops at the first error.
class DocumentBuilder
{
public:
    auto add(const SectionText &section) -> bool
    {
        auto ini = CheckedIni();
        const auto values = ini.parse(section.text, {}, documentSchema());
        if (!values) {
            this->error = ini.lastError();
            if (this->error.section.empty()) {
                this->error.section = section.section.value;
            }
            return false;
        }
        const auto &found = values->sections();
        if (found.size() != 1 || found.front().heading() != section.section.value) {
            this->error = {IniErrorKind::Syntax,
                           {},
                           0,
                           section.section.value,
                           {},
                           "the text is not exactly one section with the expected heading",
                           "Send one section, with the heading '[" + section.section.value + "]'."};
            return false;
        }
        this->sections.push_back(found.front());
        return true;
    }

    auto finish() -> std::optional<Document>
    {
        for (const auto &section : this->sections) {
            if (section.kind() == "team" && !this->addTeam(section)) {
                return std::nullopt;
            }
        }
        for (const auto &section : this->sections) {
            if (section.kind() == "service" && !this->addService(section)) {
                return std::nullopt;
            }
        }
        for (const auto &section : this->sections) {
            if (section.kind() == "callers" && !this->addCallers(section)) {
                return std::nullopt;
            }
        }
        return this->makeDocument();
    }

    [[nodiscard]] auto lastError() const -> const IniError & { return this->error; }

private:
    auto addTeam(const IniSection &section) -> bool
    {
        auto team = Team{TeamName{section.name()}, section.boolean("administrator"),
                         section.text("contact"), section.list("tokens")};
        for (const auto &hash : team.tokenHashes) {
            if (!isTokenHash(hash)) {
                return this->fail(IniErrorKind::BadValue, section, "tokens",
                                  "an item is not the hash of a token",
                                  "Create it with 'gooseberrywallctl config hash-token'.");
            }
            if (!this->tokenOwners.emplace(hash, team.name).second) {
                return this->fail(IniErrorKind::Contradiction, section, "tokens",
                                  "the token also belongs to another team",
                                  "Give each team a token of its own.");
            }
        }
        this->owners.emplace_back(SectionName{section.heading()}, team.name);
        this->teams.push_back(std::move(team));
        return true;
    }

    auto addService(const IniSection &section) -> bool
    {
        if (!this->addOwner(section, "owner")) {
            return false;
        }
        auto policy = policyFromSection(section);
        if (!this->checkPolicy(section, policy)) {
            return false;
        }
        this->policies.emplace(policy.service, std::move(policy));
        return true;
    }

    auto checkPolicy(const IniSection &section, const ServicePolicy &policy) -> bool
    {
        if (policy.longWorkSlots > policy.slots) {
            return this->fail(IniErrorKind::Contradiction, section, "long_work_slots",
                              "the slots for long work exceed the slots of an upstream",
                              "Lower it to 'slots' or less.");
        }
        if (policy.defaultDeadline > policy.maximalDeadline) {
            return this->fail(IniErrorKind::Contradiction, section, "default_deadline_ms",
                              "the default deadline is later than the maximal one",
                              "Lower it to 'maximal_deadline_ms' or less.");
        }
        if (policy.grantorAuthority == Duration{0} && !policy.checksSender) {
            return this->fail(IniErrorKind::Contradiction, section, "grantor_authority_ms",
                              "unlimited authority is unsafe if upstreams don't check the sender",
                              "Set a limit, such as 'grantor_authority_ms = 10000', beside "
                              "'checks_sender = no'.");
        }
        return true;
    }

    auto addCallers(const IniSection &section) -> bool
    {
        if (!this->addOwner(section, "team")) {
            return false;
        }
        for (const auto &name : section.list("services")) {
            const auto found = this->policies.find(ServiceName{name});
            if (found == this->policies.end()) {
                return this->fail(IniErrorKind::Contradiction, section, "services",
                                  "there is no section [service " + name + "]",
                                  "Add the service first, or remove it from the list.");
            }
            if (!this->addShares(section, found->second)) {
                return false;
            }
        }
        return true;
    }

    auto addShares(const IniSection &section, ServicePolicy &policy) -> bool
    {
        const auto share = static_cast<std::uint32_t>(section.integer("share"));
        for (const auto &member : section.list("members")) {
            const auto caller = CallerId{member};
            if (!this->listedCallers.emplace(policy.service, caller).second) {
                return this->fail(IniErrorKind::Contradiction, section, "members",
                                  "another [callers] section lists '" + member + "' for service '"
                                      + policy.service.value + "'",
                                  "List the caller in only one of the two.");
            }
            policy.callers.push_back({caller, share});
        }
        return true;
    }

    auto addOwner(const IniSection &section, const std::string &key) -> bool
    {
        const auto owner = TeamName{section.text(key)};
        const auto sameTeam = [&owner](const Team &team) { return team.name == owner; };
        if (std::none_of(this->teams.begin(), this->teams.end(), sameTeam)) {
            return this->fail(IniErrorKind::Contradiction, section, key,
                              "there is no section [team " + owner.value + "]",
                              "Name a team that has a section, or add the section first.");
        }
        this->owners.emplace_back(SectionName{section.heading()}, owner);
        return true;
    }

    auto fail(IniErrorKind kind, const IniSection &section, const std::string &key,
              std::string message, std::string remedy) -> bool
    {
        this->error = {kind,
                       {},
                       section.lineOf(key),
                       section.heading(),
                       key,
                       std::move(message),
                       std::move(remedy)};
        return false;
    }

    auto makeDocument() -> Document
    {
        auto sortedPolicies = std::vector<ServicePolicy>{};
        for (auto &[name, policy] : this->policies) {
            std::sort(policy.callers.begin(), policy.callers.end(),
                      [](const CallerShare &left, const CallerShare &right) {
                          return left.caller < right.caller;
                      });
            sortedPolicies.push_back(std::move(policy));
        }
        return Document(std::move(this->teams), std::move(sortedPolicies), std::move(this->owners));
    }

    std::vector<IniSection> sections;
    std::vector<Team> teams;
    std::map<std::string, TeamName> tokenOwners;
    std::map<ServiceName, ServicePolicy> policies;
    /// Pairs of service and caller that are listed in a [callers] section read so far.
    std::set<std::pair<ServiceName, CallerId>> listedCallers;
    std::vector<std::pair<SectionName, TeamName>> owners;
    IniError error;
};

} // namespace

auto DocumentParser::parse(const std::vector<SectionText> &sections) -> std::optional<Document>
{
    this->error = {};
    auto builder = DocumentBuilder();
    for (const auto &section : sections) {
        if (!builder.add(section)) {
            this->error = builder.lastError();
            return std::nullopt;
        }
    }
    auto document = builder.finish();
    if (!document) {
        this->error = builder.lastError();
    }
    return document;
}

} // namespace gooseberrywall
