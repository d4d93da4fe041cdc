#include "soak/internal/soakconfiguration.h"

#include <nlohmann/json.hpp>

namespace gooseberrywall {

namespace {

using nlohmann::json;

/// Routes without requests in every second configuration.
constexpr int unusedRoutes = 1500;

auto route(const std::string &name, const std::string &kind, const std::string &service) -> json
{
    return {{"name", name},       {"host", "h.example"}, {"prefix", "/" + name + "/"},
            {"route_type", kind}, {"timeout_s", 1.0},    {"target_latency_s", 0.3},
            {"priority", 1},      {"max_attempts", 2},   {"service", service}};
}

} // namespace

auto soakConfiguration(int version) -> std::string
{
    auto routes = json::array(
        {route("keyed", "idempotent", "keyed"), route("plain", "non_idempotent", "plain")});
    for (auto number = version % 2 == 0 ? unusedRoutes : 0; number > 0; --number) {
        routes.push_back(route("unused-" + std::to_string(number), "idempotent", "plain"));
    }
    return json{{"version", version},
                {"routes", routes},
                {"services", {{{"name", "keyed"}, {"sharded", true}}, {{"name", "plain"}}}}}
        .dump();
}

} // namespace gooseberrywall
