#include "stubs/upstream/upstreamserver.h"

#include "stubs/upstream/internal/modelreport.h"
#include "upstreamclient/upstreamwire.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace gooseberrywall {

namespace {

using nlohmann::json;

constexpr std::size_t bodyLimitBytes = std::size_t{4} * 1024 * 1024;
constexpr int notFoundStatus = 404;

auto withMonotonicClock(UpstreamModelSettings settings, Instant now) -> UpstreamModelSettings
{
    settings.clockStart = UpstreamInstant{now.time_since_epoch()};
    return settings;
}

/// @returns the field's value; no value if it is missing or null
template<typename Value>
auto optionalField(const json &object, const char *field) -> std::optional<Value>
{
    const auto found = object.find(field);
    if (found == object.end() || found->is_null()) {
        return std::nullopt;
    }
    return found->get<Value>();
}

auto badRequest() -> HttpAnswer
{
    return jsonHttpAnswer(
        upstreamwire::badRequestStatus,
        R"({"error":"the request has a missing or malformed field; see upstreamserver.h"})");
}

} // namespace

UpstreamServer::UpstreamServer(event_base *base, UpstreamModelSettings settings,
                               Incarnation incarnation, std::function<void()> crashed)
    : model(withMonotonicClock(std::move(settings), monotonicNow()), incarnation, monotonicNow())
    , crashed(std::move(crashed))
    , server(
          base, bodyLimitBytes, [this](HttpCall call) { this->handle(std::move(call)); },
          [](CallId) {})
    , timer(base, [this] { this->step(); })
{
}

auto UpstreamServer::listen(const Endpoint &endpoint) -> std::optional<Endpoint>
{
    return this->server.listen(endpoint);
}

auto UpstreamServer::handle(HttpCall call) -> void
{
    if (call.path.starts_with("/control/")) {
        try {
            this->server.answer(call.id, this->control(call));
        } catch (const json::exception &) {
            this->server.answer(call.id, badRequest());
        }
        this->step();
        return;
    }
    auto request = upstreamwire::decodeRequest(call.path, call.header, std::move(call.body));
    if (!request.has_value()) {
        this->server.answer(call.id, badRequest());
        return;
    }
    const auto now = monotonicNow();
    this->model.catchUp(now);
    this->model.receive(now, call.id, std::move(*request));
    this->step();
}

auto UpstreamServer::control(const HttpCall &call) -> HttpAnswer
{
    auto done = jsonHttpAnswer(upstreamwire::okStatus, "{}");
    const auto now = monotonicNow();
    if (call.path == "/control/state") {
        return jsonHttpAnswer(upstreamwire::okStatus, stateJson(this->model, now));
    }
    if (call.path == "/control/runs") {
        return jsonHttpAnswer(upstreamwire::okStatus,
                              runsJson(this->model, parseRunPage(call.query)));
    }
    if (call.path == "/control/double-runs") {
        return jsonHttpAnswer(upstreamwire::okStatus, doubleRunsJson(this->model.runs()));
    }
    if (call.path == "/control/crash") {
        this->model.crash(now);
        return done;
    }
    const auto fields = json::parse(call.body);
    if (call.path == "/control/drain") {
        this->model.setDraining(now, fields.at("draining").get<bool>());
        return done;
    }
    if (call.path == "/control/misreport") {
        this->model.misreportLoad(optionalField<double>(fields, "load"));
        this->model.misreportHealth(optionalField<bool>(fields, "healthy"));
        return done;
    }
    if (call.path == "/control/freeze") {
        const auto duration = std::chrono::milliseconds{fields.at("ms").get<int>()};
        this->model.freeze(now, now + duration);
        return done;
    }
    if (call.path == "/control/service-time") {
        this->model.setServiceTime(Duration{fields.at("us").get<Duration::rep>()});
        return done;
    }
    return jsonHttpAnswer(
        notFoundStatus,
        R"({"error":"unknown control path; see upstreamserver.h for the known ones"})");
}

auto UpstreamServer::step() -> void
{
    this->model.catchUp(monotonicNow());
    for (const auto &reply : this->model.takeReplies()) {
        this->send(reply);
    }
    this->timer.set(this->model.nextChange());
    if (this->model.crashed()) {
        this->crashed();
    }
}

auto UpstreamServer::send(const UpstreamReply &reply) -> void
{
    if (std::holds_alternative<UpstreamFailure>(reply.answer)) {
        this->server.closeWithoutAnswer(reply.call);
        return;
    }
    this->server.answer(reply.call, upstreamwire::encodeAnswer(reply.answer));
}

} // namespace gooseberrywall
