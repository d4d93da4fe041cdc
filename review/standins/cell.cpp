#include "cell.h"

#include "http1/messagewriter.h"
#include "testing/freeaddress.h"

#include <algorithm>
#include <csignal>
#include <event2/event.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace gooseberrywall::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration tickInterval = milliseconds{5};
constexpr Duration heartbeatInterval = milliseconds{870};
constexpr Duration readyInterval = seconds{1};
constexpr Duration restartDelay = milliseconds{200};
constexpr Duration startLimit = seconds{20};
constexpr int keyedInstanceCount = 4;
constexpr int garbledInstanceCount = 2;
constexpr int keyCount = 65536;
constexpr int checkedKeys = 64;
constexpr int servedInRowWanted = 40;

volatile std::sig_atomic_t hasStopSignal = 0;

auto textOf(const std::string &fileName) -> std::string
{
    std::ostringstream text;
    text << std::ifstream(fileName).rdbuf();
    return text.str();
}

auto zoneOf(int index) -> std::string
{
    return "zone-" + std::to_string(index % 3 + 1);
}

auto portOf(const Address &address) -> std::string
{
    return address.value.substr(address.value.rfind(':') + 1);
}

} // namespace

auto onStopSignal(int) -> void
{
    hasStopSignal = 1;
}

Cell::Cell(CellSettings settings, Record &record)
    : settings(std::move(settings))
    , record(record)
    , storeAddress(freeAddress())
    , store(this->loop.base(), this->storeAddress, monotonicNow)
    , storeProxyAddress(freeAddress())
    , storeProxy(this->loop.base(), this->storeProxyAddress, this->storeAddress)
    , clients(this->loop.base(), OutboundPoolSettings{}, monotonicNow)
    , tick(this->loop.base(), [this] { this->onTick(); })
{
    this->store.start();
    this->createInstances();
    this->writeHeartbeats();
    this->putConfiguration();
    for (auto index = 0; index < this->settings.daemons; ++index) {
        this->createDaemon(index);
    }
    this->areReady.assign(this->daemons.size(), false);
    this->endedAt.assign(this->daemons.size(), Instant{});
    this->onTick();
}

auto Cell::createInstances() -> void
{
    for (auto index = 0; this->settings.isKeyed && index < keyedInstanceCount; ++index) {
        KeyedUpstreamStub::Settings instance;
        instance.id = "i-look" + std::to_string(index);
        instance.service = "look";
        instance.zone = zoneOf(index);
        instance.listen = freeAddress();
        instance.isSharded = true;
        if (index < garbledInstanceCount) {
            instance.advertisedAddress = freeAddress();
            this->garblingProxies.push_back(std::make_unique<GarblingProxy>(
                this->loop.base(), instance.advertisedAddress, instance.listen, this->record));
        }
        instance.serviceTime = this->settings.workTime;
        this->keyedInstances.push_back(std::make_unique<KeyedUpstreamStub>(
            this->loop.base(), instance, monotonicNow, this->keyedRuns));
        this->keyedInstances.back()->start();
    }
    for (const auto *const service : {"look", "book"}) {
        for (auto index = 0; !this->settings.isKeyed && index < this->settings.instancesPerService;
             ++index) {
            InstanceSettings instance;
            instance.id = "i-" + std::string(service) + std::to_string(index);
            instance.service = service;
            instance.zone = zoneOf(index);
            instance.listen = freeAddress();
            instance.workTime = this->settings.workTime;
            instance.answerBytes = this->settings.answerBytes;
            this->instanceList.push_back(
                std::make_unique<Instance>(this->loop.base(), std::move(instance), this->record));
        }
    }
}

auto Cell::createDaemon(int index) -> void
{
    // Each machine has a loopback address of its own.
    const auto ip = "127.0.7." + std::to_string(index + 1);
    const auto port = [] { return portOf(freeAddress()); };
    const auto name = "edge-" + std::to_string(index + 1);
    this->fronts.push_back(Address{ip + ":" + port()});
    this->readies.push_back(Address{ip + ":" + port()});
    this->fields.push_back({{"node_name", name},
                            {"zone", zoneOf(index)},
                            {"ip", ip},
                            {"listen.front", this->fronts.back().value},
                            {"listen.ready", this->readies.back().value},
                            {"internal_ports.0", port()},
                            {"limits.cpu_share", this->settings.processorShare},
                            {"limits.cpu_cores", "1"},
                            {"bootstrap", "true"},
                            {"bounds.grace_s", "6"},
                            {"platform.address", this->storeProxyAddress.value},
                            {"bounds.retry_budget_ratio", "0.2"},
                            {"bounds.retry_budget_extra", "144"},
                            {"bounds.budget_window_s", "10"},
                            {"bounds.hold_max_s", "10"},
                            {"bounds.drain_s", "2"}});
    this->daemons.push_back(std::make_unique<EdgeProcess>(
        this->settings.program, this->settings.folder + "/" + name + ".ini"));
    this->daemons.back()->writeSettings(textOf(this->settings.templateFile), this->fields.back());
    this->daemons.back()->start();
}

auto Cell::setGarbledShare(double share) -> void
{
    for (const auto &proxy : this->garblingProxies) {
        proxy->setShare(share);
    }
}

auto Cell::garbledAnswers() const -> int
{
    auto count = 0;
    for (const auto &proxy : this->garblingProxies) {
        count += proxy->additions();
    }
    return count;
}

auto Cell::checkOwners() -> void
{
    const auto now = monotonicNow();
    for (auto key = 0; key < keyCount; key += keyCount / checkedKeys) {
        std::string holders;
        auto count = 0;
        for (std::size_t index = 0; index < this->keyedInstances.size(); ++index) {
            if (this->keyedInstances[index]->ownsKey(key)) {
                ++count;
                holders += " i-look" + std::to_string(index);
            }
        }
        if (count < 2) {
            this->sharedSince.erase(key);
            continue;
        }
        const auto [since, isNew] = this->sharedSince.try_emplace(key, now);
        if (isNew) {
            this->record.write("key " + std::to_string(key) + " has two holders:" + holders);
        }
        this->longestShared = std::max(this->longestShared, Duration{now - since->second});
    }
}

auto Cell::killAll() -> void
{
    this->record.write("all daemons are killed");
    for (const auto &daemon : this->daemons) {
        daemon->signal(SIGKILL);
    }
}

auto Cell::runFor(Duration time) -> void
{
    const auto end = monotonicNow() + time;
    const timeval step{0, 2000};
    while (monotonicNow() < end) {
        if (hasStopSignal != 0) {
            throw std::runtime_error("stopped by a signal");
        }
        event_base_loopexit(this->loop.base(), &step);
        event_base_loop(this->loop.base(), EVLOOP_ONCE);
    }
}

auto Cell::waitUntilServed() -> bool
{
    const auto end = monotonicNow() + startLimit;
    const auto isReady = [this] {
        return this->servedInRow >= servedInRowWanted
               && std::all_of(this->areReady.begin(), this->areReady.end(),
                              [](bool each) { return each; });
    };
    while (!isReady() && monotonicNow() < end) {
        this->runFor(milliseconds{20});
    }
    return isReady();
}

auto Cell::runCount(const std::string &id) const -> int
{
    auto count = 0;
    for (const auto &instance : this->instanceList) {
        const auto found = instance->runs().find(id);
        count += found == instance->runs().end() ? 0 : found->second;
    }
    return count;
}

auto Cell::request(const std::string &method, const std::string &target, const std::string &id,
                   int deadlineMs, int key) -> std::string
{
    MessageHead head;
    head.method = method;
    head.target = target;
    head.headers = {
        {"Host", "desk.example"}, {"Request-Id", id}, {"Deadline-Ms", std::to_string(deadlineMs)}};
    if (key >= 0) {
        head.headers.push_back(HttpHeader{"Shard-Key", std::to_string(key)});
    }
    return requestText(head, method == "GET" ? "" : "order of " + id, {});
}

auto Cell::putConfiguration() -> void
{
    const auto route = [this](const std::string &service, const std::string &type) {
        return nlohmann::json{{"name", "r-" + service},
                              {"host", "desk.example"},
                              {"prefix", "/" + service + "/"},
                              {"route_type", type},
                              {"timeout_s", this->settings.timeoutSeconds},
                              {"target_latency_s", 0.4},
                              {"priority", 1},
                              {"max_attempts", 2},
                              {"service", service}};
    };
    const auto service = [this](const std::string &name) {
        return nlohmann::json{{"name", name},
                              {"sharded", this->settings.isKeyed},
                              {"health_path", "/healthz"},
                              {"max_connections", 292},
                              {"protocol", "h1"},
                              {"tls", false}};
    };
    auto routes = nlohmann::json::array({route("look", "idempotent")});
    auto services = nlohmann::json::array({service("look")});
    if (!this->settings.isKeyed) {
        routes.push_back(route("book", "non_idempotent"));
        services.push_back(service("book"));
    }
    const nlohmann::json limits{{"max_header_bytes", 16384},
                                {"max_body_bytes", 67108864},
                                {"header_timeout_s", 3},
                                {"idle_timeout_s", 15}};
    const nlohmann::json document{
        {"version", 7}, {"routes", routes}, {"services", services}, {"limits", limits}};
    this->store.put("op/config", document.dump());
}

auto Cell::onTick() -> void
{
    const auto now = monotonicNow();
    this->tick.set(now + tickInterval);
    this->store.tick();
    if (now >= this->nextHeartbeatAt) {
        this->nextHeartbeatAt = now + heartbeatInterval;
        this->writeHeartbeats();
    }
    if (now >= this->nextReadyAt) {
        this->nextReadyAt = now + readyInterval;
        for (std::size_t index = 0; index < this->daemons.size(); ++index) {
            this->askReady(index);
        }
    }
    this->superviseDaemons();
    this->checkOwners();
    const auto gap = std::chrono::duration<double>(1 / this->settings.requestsPerSecond);
    if (this->isSending && now >= this->nextSendAt) {
        this->nextSendAt = now + std::chrono::duration_cast<Duration>(gap);
        this->sendOrdinary();
    }
}

auto Cell::writeHeartbeats() -> void
{
    ++this->sequence;
    for (const auto &instance : this->instanceList) {
        this->store.put(instance->storeKey(), instance->entry(this->sequence));
    }
    for (const auto &instance : this->keyedInstances) {
        this->store.put(instance->storeKey(), instance->entry(false));
    }
}

auto Cell::superviseDaemons() -> void
{
    const auto now = monotonicNow();
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        auto &daemon = *this->daemons[index];
        if (daemon.isRunning()) {
            continue;
        }
        if (this->endedAt[index] == Instant{}) {
            this->endedAt[index] = now;
            this->record.write("edge-" + std::to_string(index + 1) + " has ended, by signal "
                               + std::to_string(daemon.endSignal()));
        } else if (now - this->endedAt[index] >= restartDelay) {
            this->endedAt[index] = Instant{};
            this->record.write("edge-" + std::to_string(index + 1) + " is started again");
            // Only the first start is that of the whole system.
            this->fields[index]["bootstrap"] = "false";
            daemon.writeSettings(textOf(this->settings.templateFile), this->fields[index]);
            daemon.start();
        }
    }
}

auto Cell::keyOf(int number) const -> int
{
    constexpr auto keyStep = 7919;
    const auto spreadKey = number * keyStep % keyCount;
    if (!this->settings.hasBusyKeys || number % 3 == 0) {
        return spreadKey;
    }
    // Two thirds of the requests are for neighbouring keys; after some seconds these are others.
    constexpr auto busyKeys = 600;
    constexpr auto requestsUntilOthers = 1000;
    const auto first = number / requestsUntilOthers * keyStep * 3 % (keyCount - busyKeys);
    return first + spreadKey % busyKeys;
}

auto Cell::askReady(std::size_t daemon) -> void
{
    OutboundRequest request;
    request.address = this->readies[daemon];
    request.timeout = readyInterval;
    request.text = "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
    this->clients.send(std::move(request), [this, daemon](const OutboundResult &result) {
        this->areReady[daemon] =
            result.end == OutboundResult::End::Answered && result.answer.head.status == 200;
    });
}

auto Cell::sendOrdinary() -> void
{
    const auto number = this->nextRequest++;
    const auto id = "q" + std::to_string(number);
    SentRequest entry;
    entry.isIdempotent = this->settings.isKeyed || number % 2 == 0;
    entry.sentAt = monotonicNow();
    entry.target = std::string(entry.isIdempotent ? "/look/" : "/book/") + id;
    this->sent[id] = entry;
    OutboundRequest request;
    const auto daemon = static_cast<std::size_t>(number / 2) % this->daemons.size();
    if (!this->areReady[daemon]) {
        request.address = this->fronts[(daemon + 1) % this->daemons.size()];
    } else {
        request.address = this->fronts[daemon];
    }
    const auto deadlineMs = static_cast<int>(this->settings.timeoutSeconds * 1000);
    request.timeout = milliseconds{2 * deadlineMs};
    const auto key = this->settings.isKeyed ? this->keyOf(number) : -1;
    request.text =
        Cell::request(entry.isIdempotent ? "GET" : "POST", entry.target, id, deadlineMs, key);
    this->record.write("client sends " + id + " " + entry.target + " to " + request.address.value);
    this->clients.send(std::move(request), [this, id](const OutboundResult &result) {
        auto &known = this->sent[id];
        if (result.end == OutboundResult::End::Answered) {
            const auto *const echoed = result.answer.head.find("Request-Id");
            known.status = result.answer.head.status;
            known.answerId = echoed == nullptr ? "" : *echoed;
            known.body = result.answer.body;
        }
        this->servedInRow = known.status == 200 ? this->servedInRow + 1 : 0;
        this->record.write("client gets for " + id + " status " + std::to_string(known.status)
                           + ", " + known.body.substr(0, known.body.find('\n')));
    });
}

} // namespace gooseberrywall::review
