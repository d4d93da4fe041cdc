#include "daemon/adminpages.h"

#include "daemon/internal/statusjson.h"
#include "http/percentcoding.h"
#include "insight/metricspage.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <string_view>
#include <utility>

namespace gooseberrywall {

using nlohmann::json;

namespace {

constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int badRequest = 400;
constexpr int forbidden = 403;
constexpr int notFound = 404;
constexpr int unavailable = 503;

auto jsonReply(const ServerRequest &request, int status, const json &body) -> ServerReply
{
    // Keys and callers' names may hold any bytes; invalid UTF-8 is replaced.
    return {request.exchange,
            status,
            {},
            body.dump(2, ' ', false, json::error_handler_t::replace) + "\n"};
}

auto errorReply(const ServerRequest &request, int status, const std::string &message) -> ServerReply
{
    return jsonReply(request, status, {{"error", message}});
}

auto queryValue(const std::string &query, const std::string &name) -> std::optional<std::string>
{
    const auto wanted = name + "=";
    std::size_t start = 0;
    while (start <= query.size()) {
        const auto end = std::min(query.find('&', start), query.size());
        const auto pair = std::string_view(query).substr(start, end - start);
        if (pair.starts_with(wanted)) {
            return percentDecode(pair.substr(wanted.size()));
        }
        start = end + 1;
    }
    return std::nullopt;
}

/// @returns the percent-decoded part between prefix and suffix; std::nullopt if the path has
/// another form
auto decodePathPart(const std::string &path, std::string_view prefix, std::string_view suffix)
    -> std::optional<std::string>
{
    if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix)
        || !path.ends_with(suffix)) {
        return std::nullopt;
    }
    return percentDecode(
        std::string_view(path).substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
}

/// @returns the order that method and path stand for; std::nullopt if they aren't an order
auto orderOf(const ServerRequest &request) -> std::optional<OperatorOrder>
{
    if (request.method != "POST") {
        return std::nullopt;
    }
    if (auto id = decodePathPart(request.path, "/v1/upstreams/", "/drain")) {
        return OperatorOrder{OperatorAction::Drain, *id};
    }
    if (auto id = decodePathPart(request.path, "/v1/upstreams/", "/undrain")) {
        return OperatorOrder{OperatorAction::Undrain, *id};
    }
    if (auto id = decodePathPart(request.path, "/v1/quarantine/", "/lift")) {
        return OperatorOrder{OperatorAction::LiftQuarantine, *id};
    }
    return std::nullopt;
}

} // namespace

AdminPages::AdminPages(Node &node, std::string operatorToken)
    : node(node)
    , operatorToken(std::move(operatorToken))
{
}

auto AdminPages::reply(Instant now, const ServerRequest &request) -> std::optional<ServerReply>
{
    if (const auto order = orderOf(request)) {
        return this->orderReply(now, request, *order);
    }
    return request.method == "GET" ? this->page(now, request) : std::nullopt;
}

auto AdminPages::page(Instant now, const ServerRequest &request) const -> std::optional<ServerReply>
{
    if (request.path == "/healthz") {
        return ServerReply{request.exchange, ok, {}, "ok\n"};
    }
    if (request.path == "/readyz") {
        const auto ready = this->node.isReady();
        return ServerReply{
            request.exchange, ready ? ok : unavailable, {}, ready ? "ready\n" : "not ready\n"};
    }
    if (request.path == "/metrics") {
        return ServerReply{request.exchange, ok, {}, metricsPage(this->node.counters().snapshot())};
    }
    if (request.path == "/v1/counters") {
        return jsonReply(request, ok, statusjson::counters(this->node.counters().snapshot()));
    }
    if (request.path == "/v1/status") {
        return jsonReply(request, ok, statusjson::status(this->node, now));
    }
    if (request.path.starts_with("/v1/explain/")) {
        return this->explainPage(request);
    }
    const auto table = this->node.table();
    const auto needsTable = request.path == "/v1/owner" || request.path == "/v1/upstreams"
                            || request.path == "/v1/quarantine";
    if (!needsTable) {
        return std::nullopt;
    }
    if (table == nullptr) {
        return errorReply(request, unavailable, "this daemon has no table yet; try again shortly");
    }
    if (request.path == "/v1/owner") {
        return this->ownerPage(now, request);
    }
    return jsonReply(request, ok,
                     request.path == "/v1/upstreams" ? statusjson::upstreams(*table)
                                                     : statusjson::quarantine(*table));
}

auto AdminPages::ownerPage(Instant now, const ServerRequest &request) const -> ServerReply
{
    const auto service = queryValue(request.query, "service");
    const auto key = queryValue(request.query, "key");
    if (!service || !key) {
        return errorReply(request, badRequest, "the query lacks service or key; both are needed");
    }
    const auto table = this->node.table();
    const auto shard = table->shardOf({*service}, {*key});
    const auto *entry = shard ? table->shard(*shard) : nullptr;
    if (entry == nullptr) {
        return errorReply(request, notFound,
                          "unknown service; gooseberrywallctl status lists the services");
    }
    auto body = statusjson::shard(*table, *entry);
    body["key"] = *key;
    body["granted_here"] = this->node.fenceFor(now, *shard).has_value();
    return jsonReply(request, ok, body);
}

auto AdminPages::explainPage(const ServerRequest &request) const -> ServerReply
{
    const auto id = decodePathPart(request.path, "/v1/explain/", "");
    auto list = json::array();
    for (const auto &event : this->node.events().find({id.value_or("")})) {
        list.push_back({{"at_us", event.at.time_since_epoch().count()},
                        {"what", event.what},
                        {"where", event.where}});
    }
    if (list.empty()) {
        return errorReply(request, notFound,
                          "this daemon has no record of the request; ask the other daemons");
    }
    return jsonReply(request, ok, {{"daemon", this->node.identity().id.value}, {"events", list}});
}

auto AdminPages::orderReply(Instant now, const ServerRequest &request, const OperatorOrder &order)
    -> ServerReply
{
    if (!this->mayOrder(request, order)) {
        return errorReply(request, forbidden,
                          "not authorised for this order; present the operator token, or that of "
                          "the service's team or of an "
                          "administrator, as 'Authorization: Bearer TOKEN'");
    }
    if (this->node.table() == nullptr) {
        return errorReply(request, unavailable, "this daemon has no table yet; try again shortly");
    }
    const auto unknownUpstream = order.action != OperatorAction::LiftQuarantine
                                 && this->node.table()->upstream({order.subject}) == nullptr;
    if (unknownUpstream) {
        return errorReply(request, notFound,
                          "unknown upstream; gooseberrywallctl upstreams lists them");
    }
    this->node.order(now, order);
    return jsonReply(request, accepted, {{"sent_to", "coordinator"}, {"subject", order.subject}});
}

auto AdminPages::mayOrder(const ServerRequest &request, const OperatorOrder &order) const -> bool
{
    const auto token = bearerToken(request);
    const auto &document = this->node.configuration().document();
    return this->isOperatorToken(token) || document.mayOperate(token, this->serviceOf(order));
}

auto AdminPages::isOperatorToken(std::string_view token) const -> bool
{
    return !this->operatorToken.empty() && token.size() == this->operatorToken.size()
           && CRYPTO_memcmp(token.data(), this->operatorToken.data(), token.size()) == 0;
}

auto AdminPages::serviceOf(const OperatorOrder &order) const -> ServiceName
{
    const auto table = this->node.table();
    if (table == nullptr) {
        return {};
    }
    if (order.action != OperatorAction::LiftQuarantine) {
        const auto *upstream = table->upstream({order.subject});
        return upstream == nullptr ? ServiceName{} : upstream->service;
    }
    for (const auto &entry : table->record().quarantine) {
        if (entry.id.value == order.subject) {
            return entry.service;
        }
    }
    return {};
}

auto bearerToken(const ServerRequest &request) -> std::string
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = request.header("Authorization");
    return header.starts_with(scheme) ? std::string(header.substr(scheme.size())) : std::string{};
}

} // namespace gooseberrywall
