#include "stubs/platform/platformserver.h"

#include "http/percentcoding.h"
#include "platformclient/platformwire.h"

#include <nlohmann/json.hpp>

namespace gooseberrywall {

namespace {

using nlohmann::json;

constexpr std::size_t bodyLimitBytes = std::size_t{8} * 1024 * 1024;
constexpr int notFoundStatus = 404;

auto millisecondsField(const json &object, const char *field) -> Duration
{
    return std::chrono::milliseconds{object.value(field, 0)};
}

auto parseFaults(const json &object) -> StoreFaults
{
    StoreFaults faults;
    faults.down = object.value("down", false);
    faults.answerDelay = millisecondsField(object, "answer_delay_ms");
    faults.lostWriteAnswers = object.value("lost_write_answers", 0);
    faults.lostWrites = object.value("lost_writes", 0);
    faults.watchDelay = millisecondsField(object, "watch_delay_ms");
    faults.doubleWatchEvents = object.value("double_watch_events", 0);
    return faults;
}

auto countsJson(const StoreCallCounts &counts) -> std::string
{
    return json{{"gets", counts.gets},         {"compare_and_swaps", counts.compareAndSwaps},
                {"lists", counts.lists},       {"leases", counts.leases},
                {"releases", counts.releases}, {"watches", counts.watches},
                {"vm_lists", counts.vmLists},  {"writes", counts.writes()},
                {"reads", counts.reads()}}
        .dump();
}

auto badRequest() -> HttpAnswer
{
    return jsonHttpAnswer(
        platformwire::badRequestStatus,
        R"({"error":"the request has a missing or malformed field; see platformserver.h"})");
}

} // namespace

PlatformServer::PlatformServer(event_base *base)
    : server(
        base, bodyLimitBytes, [this](const HttpCall &call) { this->handle(call); },
        [this](CallId id) { this->store.forget(id); })
    , timer(base, [this] { this->step(); })
{
}

auto PlatformServer::listen(const Endpoint &endpoint) -> std::optional<Endpoint>
{
    return this->server.listen(endpoint);
}

auto PlatformServer::handle(const HttpCall &call) -> void
{
    if (call.path != platformwire::callTarget) {
        try {
            this->server.answer(call.id, this->control(call));
        } catch (const json::exception &) {
            this->server.answer(call.id, badRequest());
        }
        this->step();
        return;
    }
    const auto request = platformwire::decodeRequest(call.body);
    if (!request.has_value()) {
        this->server.answer(call.id, badRequest());
        return;
    }
    this->store.receive(monotonicNow(), call.id, *request);
    this->step();
}

auto PlatformServer::control(const HttpCall &call) -> HttpAnswer
{
    auto done = jsonHttpAnswer(platformwire::okStatus, "{}");
    const auto now = monotonicNow();
    if (call.path == "/control/counts") {
        return jsonHttpAnswer(platformwire::okStatus, countsJson(this->store.counts()));
    }
    if (call.path == "/control/counts/reset") {
        this->store.resetCounts();
        return done;
    }
    if (call.path == "/control/faults") {
        this->store.setFaults(now, parseFaults(json::parse(call.body)));
        return done;
    }
    if (call.path == "/control/vm-lag") {
        this->store.vms.setLag(millisecondsField(json::parse(call.body), "ms"));
        return done;
    }
    if (call.path == "/control/vms/remove") {
        const auto id = percentDecode(json::parse(call.body).at("id").get<std::string>());
        this->store.vms.remove(now, id.value_or(""));
        return done;
    }
    if (call.path == "/control/vms") {
        const auto vm = platformwire::decodeVm(call.body);
        if (!vm.has_value()) {
            return badRequest();
        }
        this->store.vms.put(now, *vm);
        return done;
    }
    return jsonHttpAnswer(notFoundStatus,
                          R"({"error":"unknown path; see platformserver.h for the known ones"})");
}

auto PlatformServer::step() -> void
{
    this->store.advance(monotonicNow());
    for (const auto &reply : this->store.takeReplies()) {
        this->send(reply);
    }
    this->timer.set(this->store.nextChange());
}

auto PlatformServer::send(const StoreReply &reply) -> void
{
    switch (reply.answer.status) {
    case StoreStatus::Unavailable:
        this->server.answer(reply.call, jsonHttpAnswer(platformwire::unavailableStatus, "{}"));
        return;
    case StoreStatus::Ambiguous:
        this->server.closeWithoutAnswer(reply.call);
        return;
    case StoreStatus::Ok:
    case StoreStatus::Conflict:
        this->server.answer(reply.call, jsonHttpAnswer(platformwire::okStatus,
                                                       platformwire::encodeAnswer(reply.answer)));
        return;
    }
}

} // namespace gooseberrywall
