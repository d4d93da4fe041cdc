#include "admin/configapi.h"

#include "admin/internal/adminjson.h"
#include "configuration/documentschema.h"

#include <nlohmann/json.hpp>

namespace gooseberrywall {

namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int gatewayTimeout = 504;

auto toReply(ExchangeId exchange, int status, const json &body) -> AdminReply
{
    // A section's text may contain any bytes; invalid UTF-8 is replaced.
    return {exchange, status, body.dump(2, ' ', false, json::error_handler_t::replace) + "\n"};
}

auto httpStatusOf(EditStatus status) -> int
{
    switch (status) {
    case EditStatus::Done:
        return ok;
    case EditStatus::Refused:
        return 422;
    case EditStatus::Denied:
        return 403;
    case EditStatus::Conflict:
        return 409;
    case EditStatus::NotFound:
        return 404;
    case EditStatus::Unavailable:
        return 503;
    case EditStatus::OutcomeUnknown:
        return gatewayTimeout;
    }
    return 500;
}

auto valueKindName(ValueKind kind) -> std::string
{
    switch (kind) {
    case ValueKind::Text:
        return "text";
    case ValueKind::Boolean:
        return "boolean";
    case ValueKind::Integer:
        return "integer";
    case ValueKind::Milliseconds:
        return "milliseconds";
    case ValueKind::Seconds:
        return "seconds";
    case ValueKind::Decimal:
        return "decimal";
    case ValueKind::List:
        return "list";
    }
    return "text";
}

auto historyJson(const std::vector<SectionRecord> &history) -> json
{
    auto list = json::array();
    for (const auto &record : history) {
        list.push_back({{"version", record.version},
                        {"previous", record.previous},
                        {"team", record.team.value},
                        {"written_at_ms", record.writtenAt},
                        {"removed", record.text.empty()}});
    }
    return list;
}

auto sectionsJson(const std::vector<ManifestEntry> &entries) -> json
{
    auto list = json::array();
    for (const auto &entry : entries) {
        list.push_back({{"section", entry.section.value},
                        {"version", entry.version},
                        {"owner", entry.owner.value}});
    }
    return list;
}

auto addError(json &body, const EditResult &result) -> void
{
    body["error"] = result.message;
    body["remedy"] = result.remedy;
    if (result.error.kind != IniErrorKind::None) {
        body["fault"] = {{"kind", toString(result.error.kind)},
                         {"section", result.error.section},
                         {"key", result.error.key},
                         {"line", result.error.line}};
    }
}

auto keyJson(const KeyDescription &key) -> json
{
    return {{"name", key.name},
            {"kind", valueKindName(key.kind)},
            {"unit", key.unit},
            {"minimum", key.minimum},
            {"maximum", key.maximum},
            {"default", key.defaultValue ? json(*key.defaultValue) : json()},
            {"takes_effect", key.takesEffect},
            {"text", key.text}};
}

} // namespace

auto errorReply(ExchangeId exchange, int status, const std::string &message,
                const std::string &remedy) -> AdminReply
{
    return toReply(exchange, status, {{"error", message}, {"remedy", remedy}});
}

auto keysReply(ExchangeId exchange) -> AdminReply
{
    auto sections = json::array();
    for (const auto &section : documentSchema()) {
        auto keys = json::array();
        for (const auto &key : section.keys) {
            keys.push_back(keyJson(key));
        }
        sections.push_back(
            {{"kind", section.kind}, {"text", section.text}, {"keys", std::move(keys)}});
    }
    return toReply(exchange, ok, {{"sections", std::move(sections)}});
}

auto editReply(ExchangeId exchange, const EditResult &result) -> AdminReply
{
    auto body = json{{"status", toString(result.status)},
                     {"section", result.section.value},
                     {"version", result.version},
                     {"generation", result.generation},
                     {"owner", result.owner.value}};
    if (result.status != EditStatus::Done) {
        addError(body, result);
    } else {
        body["message"] = result.message;
    }
    switch (result.operation) {
    case EditOperation::Get:
        body["text"] = result.text;
        if (result.section.empty()) {
            body["sections"] = sectionsJson(result.sections);
        }
        break;
    case EditOperation::History:
        body["history"] = historyJson(result.history);
        break;
    default:
        body["diff"] = result.diff;
    }
    return toReply(exchange, httpStatusOf(result.status), body);
}

auto waitReply(ExchangeId exchange, std::uint64_t generation,
               const std::vector<DaemonId> &laggingDaemons) -> AdminReply
{
    auto names = json::array();
    for (const auto &daemon : laggingDaemons) {
        names.push_back(daemon.value);
    }
    auto body = json{{"generation", generation}, {"lagging", std::move(names)}};
    if (laggingDaemons.empty()) {
        body["status"] = "in_force";
        return toReply(exchange, ok, body);
    }
    body["status"] = "lagging";
    body["error"] = "not every daemon has reached the generation";
    body["remedy"] = "Wait again; if the daemons keep lagging, look at their logs.";
    return toReply(exchange, gatewayTimeout, body);
}

} // namespace gooseberrywall
