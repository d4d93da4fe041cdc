#include "server.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace gooseberrywall::review {

namespace {

/// The store drops an entry after this many heartbeat intervals of silence.
constexpr int silentHeartbeats = 3;

auto unixMilliseconds() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

Server::Server(event_base *base, Settings settings, KvStoreStub &store, OnRun onRun, Record &record)
    : base(base)
    , settings(std::move(settings))
    , store(store)
    , onRun(std::move(onRun))
    , record(record)
{
    this->start();
}

auto Server::start() -> void
{
    ++this->life;
    this->lifeId = this->settings.name + "-" + std::to_string(this->life);
    this->address = freeAddress();
    this->born = unixMilliseconds();
    this->sequence = 0;
    FrontSettings front;
    front.listen = this->address;
    this->listener = std::make_unique<FrontListener>(
        this->base, front, monotonicNow,
        [this](ExchangeId exchange, WholeMessage request) {
            this->onRequest(exchange, std::move(request));
        },
        [this](ExchangeId exchange) {
            this->open.remove_if([&](const Open &each) { return each.exchange == exchange; });
        });
    this->listener->start();
    this->beat();
}

auto Server::beat() -> void
{
    this->nextBeatAt = monotonicNow() + this->settings.heartbeat;
    this->store.put("servers/" + this->lifeId, nlohmann::json{{"service", this->settings.service},
                                                              {"address", this->address.value},
                                                              {"zone", "north-1"},
                                                              {"version", "v1"},
                                                              {"capacity", this->settings.slots},
                                                              {"phase", "ready"},
                                                              {"warmup_left_s", 0},
                                                              {"sequence", ++this->sequence},
                                                              {"born", this->born}}
                                                   .dump());
}

auto Server::tick() -> void
{
    const auto moment = monotonicNow();
    while (!this->ended.empty() && this->ended.front().second <= moment) {
        this->store.remove("servers/" + this->ended.front().first);
        this->ended.pop_front();
    }
    if (this->isCrashing) {
        this->crash();
    }
    if (this->listener == nullptr) {
        if (moment >= this->startAt) {
            this->start();
            this->record.write("server " + this->lifeId + " starts");
        }
        return;
    }
    if (moment >= this->nextBeatAt) {
        this->beat();
    }
    for (auto each = this->open.begin(); each != this->open.end();) {
        const auto isDone = each->isRunning && each->endsAt <= moment;
        if (isDone) {
            const auto finished = std::move(*each);
            each = this->open.erase(each);
            this->answer(finished);
        } else {
            ++each;
        }
    }
    this->runWaiting();
    this->listener->sweep();
}

auto Server::crash() -> void
{
    const auto moment = monotonicNow();
    this->record.write("server " + this->lifeId + " crashes");
    this->isCrashing = false;
    this->listener.reset();
    this->open.clear();
    this->startAt = moment + this->settings.downTime;
    const auto lastBeatAt = this->nextBeatAt - this->settings.heartbeat;
    this->ended.emplace_back(this->lifeId,
                             lastBeatAt + silentHeartbeats * this->settings.heartbeat);
}

auto Server::onRequest(ExchangeId exchange, WholeMessage request) -> void
{
    const auto *target = request.head.find("Target-Instance");
    if (target != nullptr && *target != this->lifeId) {
        this->reject(exchange, request.head, 421);
        return;
    }
    if (request.head.target == "/healthz") {
        MessageHead head;
        head.status = 200;
        head.headers = {HttpHeader{"Instance-Id", this->lifeId}};
        this->listener->reply(exchange, head, "");
        return;
    }
    if (this->open.size() >= this->settings.slots + this->settings.queue) {
        this->reject(exchange, request.head, 503);
        return;
    }
    this->open.push_back(Open{exchange, std::move(request)});
    this->runWaiting();
}

auto Server::runWaiting() -> void
{
    auto running = static_cast<std::size_t>(std::count_if(
        this->open.begin(), this->open.end(), [](const Open &each) { return each.isRunning; }));
    for (auto &each : this->open) {
        if (running >= this->settings.slots || this->isCrashing) {
            return;
        }
        if (!each.isRunning) {
            each.isRunning = true;
            each.endsAt = monotonicNow() + this->settings.serviceTime;
            ++running;
            this->isCrashing = this->onRun(*this, each.request);
        }
    }
}

auto Server::answer(const Open &finished) -> void
{
    MessageHead head;
    head.status = 200;
    if (const auto *request = finished.request.head.find("Request-Id")) {
        head.headers.push_back(HttpHeader{"Request-Id", *request});
    }
    head.headers.push_back(HttpHeader{"Server-Signature", "signature-" + this->lifeId});
    this->listener->reply(finished.exchange, head, "answer of " + this->lifeId);
}

auto Server::reject(ExchangeId exchange, const MessageHead &request, int status) -> void
{
    MessageHead head;
    head.status = status;
    if (const auto *id = request.find("Request-Id")) {
        head.headers.push_back(HttpHeader{"Request-Id", *id});
    }
    head.headers.push_back(HttpHeader{"Not-Executed", "1"});
    this->listener->reply(exchange, head, "");
}

} // namespace gooseberrywall::review
