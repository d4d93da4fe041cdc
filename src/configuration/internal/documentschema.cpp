#include "configuration/documentschema.h"

#include "configuration/internal/servicefields.h"

namespace gooseberrywall {

namespace {

const auto *const withinSeconds = "within seconds";

auto teamSection() -> SectionDescription
{
    return {"team",
            SectionCount::Named,
            "A team of operators and its right to edit. A team edits its own sections; an "
            "administrator team edits all of them and is the only one to add teams.",
            {{"tokens", ValueKind::List, "hashes", 0, 8, "", withinSeconds,
              "Hashes of the team's tokens, as `gooseberrywallctl config hash-token` prints them. "
              "Several may be valid at once, so that a token can be replaced without a gap."},
             {"administrator", ValueKind::Boolean, "", 0, 1, "no", withinSeconds,
              "Whether the team may edit every section. Only administrators can change it."},
             {"contact", ValueKind::Text, "", 0, 120, "", withinSeconds,
              "Whom to ask about the team's sections; shown when an edit of them is refused."}}};
}

auto serviceSection() -> SectionDescription
{
    auto section = SectionDescription{
        "service",
        SectionCount::Named,
        "A group of upstreams of one kind. NAME is the service that callers ask for.",
        {{"owner", ValueKind::Text, "", 1, 48, std::nullopt, withinSeconds,
          "The team that may edit the section."}}};
    for (const auto &field : serviceFields()) {
        section.keys.push_back(field.key);
    }
    return section;
}

auto callersSection() -> SectionDescription
{
    return {"callers",
            SectionCount::Named,
            "Callers that have a share of their own when a service's capacity is short.",
            {{"team", ValueKind::Text, "", 1, 48, std::nullopt, withinSeconds,
              "The team that may edit the section."},
             {"members", ValueKind::List, "caller ids", 1, 1000, std::nullopt, withinSeconds,
              "The ids under which the callers send their requests."},
             {"services", ValueKind::List, "services", 1, 1000, std::nullopt, withinSeconds,
              "The services that they use."},
             {"share", ValueKind::Integer, "", 1, 1000, "1", withinSeconds,
              "Each caller's share when capacity is short, relative to the other callers; "
              "callers that are not listed have 1."}}};
}

} // namespace

auto documentSchema() -> const std::vector<SectionDescription> &
{
    static const auto schema =
        std::vector<SectionDescription>{teamSection(), serviceSection(), callersSection()};
    return schema;
}

auto policyFromSection(const IniSection &section) -> ServicePolicy
{
    auto policy = ServicePolicy{};
    policy.service = ServiceName{section.name()};
    for (const auto &field : serviceFields()) {
        field.apply(policy, section);
    }
    return policy;
}

} // namespace gooseberrywall
