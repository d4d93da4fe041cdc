#include "admin/configapi.h"

#include "admin/internal/adminjson.h"
#include "configuration/documentschema.h"
#include "http/percentcoding.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>

namespace gooseberrywall {

namespace {

constexpr std::string_view configPath = "/v1/config";
constexpr std::string_view sectionsPath = "/v1/config/sections/";
constexpr std::uint64_t maximumWaitMillis = 60'000;
constexpr std::uint64_t defaultWaitMillis = 16'000;

/// Parses a query of the form "name=number&name=number".
class NumberQuery
{
public:
    explicit NumberQuery(std::string_view query)
    {
        while (!query.empty() && this->isWellFormed) {
            const auto end = std::min(query.find('&'), query.size());
            this->readPair(query.substr(0, end));
            query.remove_prefix(std::min(end + 1, query.size()));
        }
    }

    /// @returns whether each parameter has a number as value and a name from `allowedNames`
    [[nodiscard]] auto isValid(const std::vector<std::string_view> &allowedNames) const -> bool
    {
        return this->isWellFormed
               && std::all_of(this->pairs.begin(), this->pairs.end(), [&](const auto &pair) {
                      return std::find(allowedNames.begin(), allowedNames.end(), pair.first)
                             != allowedNames.end();
                  });
    }

    [[nodiscard]] auto number(std::string_view name) const -> std::optional<std::uint64_t>
    {
        for (const auto &[key, value] : this->pairs) {
            if (key == name) {
                return value;
            }
        }
        return std::nullopt;
    }

private:
    auto readPair(std::string_view pair) -> void
    {
        const auto equals = pair.find('=');
        auto value = std::uint64_t{0};
        if (equals == std::string_view::npos) {
            this->isWellFormed = false;
            return;
        }
        const auto digits = pair.substr(equals + 1);
        const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        this->isWellFormed = !digits.empty() && result.ec == std::errc{}
                             && result.ptr == digits.data() + digits.size();
        this->pairs.emplace_back(pair.substr(0, equals), value);
    }

    std::vector<std::pair<std::string_view, std::uint64_t>> pairs;
    bool isWellFormed = true;
};

/// An operation on a section: the method and path suffix that select it, and its parameters.
struct SectionRoute
{
    std::string_view method;
    std::string_view suffix;
    EditOperation operation;
    std::vector<std::string_view> allowedParameters;
    std::vector<std::string_view> requiredParameters;
    bool takesBody = false;
};

auto sectionRoutes() -> const std::vector<SectionRoute> &
{
    static const auto routes = std::vector<SectionRoute>{
        {"GET", "/diff", EditOperation::Diff, {"from", "to"}, {}, false},
        {"GET", "/history", EditOperation::History, {}, {}, false},
        {"GET", "", EditOperation::Get, {"version"}, {}, false},
        {"POST", "/check", EditOperation::Check, {"expected"}, {"expected"}, true},
        {"POST", "/remove", EditOperation::Set, {"expected"}, {"expected"}, false},
        {"POST", "/rollback", EditOperation::Rollback, {"to", "expected"}, {"to"}, false},
        {"POST", "", EditOperation::Set, {"expected"}, {"expected"}, true},
    };
    return routes;
}

auto findRoute(const AdminRequest &request) -> const SectionRoute *
{
    for (const auto &route : sectionRoutes()) {
        if (route.method == request.method && request.path.ends_with(route.suffix)) {
            return &route;
        }
    }
    return nullptr;
}

auto missingParameterRemedy(const SectionRoute &route) -> std::string
{
    return route.requiredParameters.front() == "to"
               ? "Add ?to=VERSION, an accepted version that the history lists."
               : "Add ?expected=VERSION, the version that you read; 0 for a new section.";
}

auto readSectionRequest(const AdminRequest &request) -> ConfigCall
{
    const auto *route = findRoute(request);
    if (route == nullptr) {
        return errorReply(request.exchange, 405, "this path does not support the method",
                          "Use GET or POST as docs/ADMIN-API.md says.");
    }
    const auto pathTail = std::string_view(request.path).substr(sectionsPath.size());
    const auto nameLength = pathTail.size() - std::min(pathTail.size(), route->suffix.size());
    const auto name = percentDecode(pathTail.substr(0, nameLength));
    if (!name || name->empty() || name->find('/') != std::string::npos) {
        return errorReply(request.exchange, 400, "the path has no valid section name",
                          "Put it into the path percent-encoded, such as service%20fitment.");
    }
    const auto query = NumberQuery(request.query);
    if (!query.isValid(route->allowedParameters)) {
        return errorReply(request.exchange, 400,
                          "the query has an unknown parameter or a value that is not a number",
                          "Use the parameters that docs/ADMIN-API.md lists, with whole numbers.");
    }
    if (!route->requiredParameters.empty() && !query.number(route->requiredParameters.front())) {
        return errorReply(request.exchange, 400, "the query has no version",
                          missingParameterRemedy(*route));
    }
    if (route->takesBody && request.body.empty()) {
        return errorReply(request.exchange, 400, "the body is empty",
                          "Send the whole section; to remove it, POST to its path + /remove.");
    }
    auto edit = EditRequest{};
    edit.operation = route->operation;
    edit.section = SectionName{*name};
    edit.token = request.token;
    edit.text = route->takesBody ? request.body : std::string{};
    edit.expectedVersion = query.number("expected").value_or(0);
    edit.fromVersion = query.number("from").value_or(0);
    edit.toVersion = query.number("to").value_or(query.number("version").value_or(0));
    edit.at = request.at;
    return edit;
}

auto readWaitRequest(const AdminRequest &request) -> ConfigCall
{
    const auto query = NumberQuery(request.query);
    const auto generation = query.number("generation");
    if (!query.isValid({"generation", "timeout_ms"}) || !generation) {
        return errorReply(request.exchange, 400, "the query has no valid generation",
                          "Add ?generation=N, as the reply to the edit gave it.");
    }
    const auto millis =
        std::min(query.number("timeout_ms").value_or(defaultWaitMillis), maximumWaitMillis);
    return WaitRequest{*generation, std::chrono::milliseconds(millis)};
}

} // namespace

auto readConfigRequest(const AdminRequest &request) -> std::optional<ConfigCall>
{
    if (request.path.starts_with(sectionsPath)) {
        return readSectionRequest(request);
    }
    if (request.method != "GET") {
        return std::nullopt;
    }
    if (request.path == "/v1/config/wait") {
        return readWaitRequest(request);
    }
    if (request.path == "/v1/config/keys") {
        return keysReply(request.exchange);
    }
    if (request.path == configPath) {
        auto edit = EditRequest{};
        edit.token = request.token;
        return edit;
    }
    return std::nullopt;
}

} // namespace gooseberrywall
