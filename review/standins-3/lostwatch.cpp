#include "callers.h"
#include "proxy.h"
#include "scenario.h"
#include "server.h"

#include <map>
#include <nlohmann/json.hpp>

namespace gooseberrywall::review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// bounds.contact_s, bounds.config_apply_s and bounds.max_skew_s of the small sites.
constexpr Duration contact = seconds{3};
constexpr Duration applyTime = seconds{2};
constexpr Duration skew = seconds{5};
constexpr std::size_t daemonCount = 3;
constexpr int serversPerService = 3;
constexpr Duration requestInterval = milliseconds{50};
/// How long answers are lost; the sites lose them for 4.5 s.
constexpr Duration lossTime = seconds{1};
constexpr Duration observedTime = seconds{45};
constexpr const char *firstService = "first";
constexpr const char *secondService = "second";

class LostWatchCell
{
public:
    explicit LostWatchCell(const Options &options)
        : record(options.recordFile)
        , base(event_base_new(), &event_base_free)
        , storeAddress(freeAddress())
        , store(this->base.get(), this->storeAddress, monotonicNow)
    {
        this->store.start();
        this->store.put("op/config", configuration(1, firstService));
        for (const auto *service : {firstService, secondService}) {
            for (auto index = 0; index < serversPerService; ++index) {
                Server::Settings settings;
                settings.name = service + std::to_string(index);
                settings.service = service;
                this->servers.push_back(std::make_unique<Server>(
                    this->base.get(), settings, this->store,
                    [this](const Server &server, const WholeMessage &request) {
                        this->onRun(server, request);
                        return false;
                    },
                    this->record));
            }
        }
        for (std::size_t index = 0; index < daemonCount; ++index) {
            const auto listen = freeAddress();
            this->proxies.push_back(
                std::make_unique<Proxy>(this->base.get(), listen, this->storeAddress));
            this->daemons.push_back(std::make_unique<Daemon>("edge" + std::to_string(index),
                                                             options.program, options.folder,
                                                             listen, this->record));
            this->daemons.back()->start(true);
        }
        this->callers = std::make_unique<Callers>(this->base.get(), this->daemons);
    }

    auto run(bool isTroubled) -> int
    {
        if (!this->runUntil(seconds{20}, [this] { return this->callers->areAllInRotation(); })) {
            this->record.write("the daemons don't get ready");
            return couldNotRun;
        }
        this->isSending = true;
        this->pause(seconds{6});
        this->setLoss(isTroubled);
        this->pause(milliseconds{200});
        this->store.put("op/config", configuration(2, secondService));
        this->changedAt = monotonicNow();
        this->record.write("version 2 is acknowledged: the route goes to "
                           + std::string(secondService));
        this->pause(lossTime);
        this->setLoss(false);
        const auto boundFrom = monotonicNow() + contact;
        this->judgedFrom = std::max(boundFrom, this->changedAt + applyTime) + skew;
        auto lost = 0;
        for (const auto &proxy : this->proxies) {
            lost += proxy->lostAnswers();
        }
        this->record.write("answers to watches lost: " + std::to_string(lost));
        this->pause(observedTime);
        this->record.write("requests: " + std::to_string(this->sent) + " sent, "
                           + std::to_string(this->served) + " served");
        this->record.write(
            "run by the service of version 1, sent more than 2 s after version 2 and "
            "8 s after the last lost answer: "
            + std::to_string(this->staleRuns) + ", the last one "
            + std::to_string(this->lastStaleSeconds) + " s after version 2");
        return this->staleRuns > 0 ? ruleBroken : ruleHeld;
    }

private:
    static auto configuration(int version, const std::string &service) -> std::string
    {
        const json route{{"name", "r-orders"},   {"host", "shop.example"},
                         {"prefix", "/orders/"}, {"route_type", "non_idempotent"},
                         {"timeout_s", 1},       {"target_latency_s", 0.4},
                         {"priority", 1},        {"max_attempts", 2},
                         {"service", service}};
        auto services = json::array();
        for (const auto *name : {firstService, secondService}) {
            services.push_back(
                {{"name", name}, {"health_path", "/healthz"}, {"max_connections", 292}});
        }
        return json{{"version", version},
                    {"routes", json::array({route})},
                    {"services", services},
                    {"limits",
                     {{"max_header_bytes", 16384},
                      {"max_body_bytes", 67108864},
                      {"header_timeout_s", 3},
                      {"idle_timeout_s", 15}}}}
            .dump();
    }

    auto setLoss(bool isLosing) -> void
    {
        for (auto &proxy : this->proxies) {
            proxy->loseAnswersToWatches(isLosing ? "op%2F" : "");
        }
        this->record.write(isLosing ? "answers to waiting watches are lost from now on"
                                    : "no answers are lost from now on");
    }

    template<typename Condition>
    auto runUntil(Duration limit, Condition isDone) -> bool
    {
        return runFor(
            this->base.get(), limit, [this] { this->tick(); }, isDone);
    }

    auto pause(Duration duration) -> void
    {
        this->runUntil(duration, [] { return false; });
    }

    auto tick() -> void
    {
        const auto moment = monotonicNow();
        this->store.tick();
        for (auto &server : this->servers) {
            server->tick();
        }
        this->callers->tick();
        if (this->isSending && moment >= this->sendDue) {
            this->sendDue = moment + requestInterval;
            const auto daemon = static_cast<std::size_t>(this->sent) % daemonCount;
            ++this->sent;
            const auto id = this->callers->send(
                daemon, "POST", "/orders/one", "order " + std::to_string(this->sent),
                [this](int status) { this->served += status == 200 ? 1 : 0; });
            this->sentAt[id] = {moment, daemon};
        }
    }

    auto onRun(const Server &server, const WholeMessage &request) -> void
    {
        const auto *id = request.head.find("Request-Id");
        const auto found = id == nullptr ? this->sentAt.end() : this->sentAt.find(*id);
        if (found == this->sentAt.end()) {
            return;
        }
        const auto [moment, daemon] = found->second;
        const auto isStale = server.service() == firstService && this->judgedFrom != Instant{}
                             && moment >= this->judgedFrom
                             && this->daemons[daemon]->isInTouch(moment, contact);
        if (isStale) {
            ++this->staleRuns;
            this->lastStaleSeconds =
                std::chrono::duration<double>(moment - this->changedAt).count();
        }
        this->record.write(*id + " from " + this->daemons[daemon]->name() + " runs at "
                           + server.id() + (isStale ? ", counted" : ""));
    }

    Record record;
    std::unique_ptr<event_base, decltype(&event_base_free)> base;
    Address storeAddress;
    KvStoreStub store;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Proxy>> proxies;
    Daemons daemons;
    std::unique_ptr<Callers> callers;
    bool isSending = false;
    Instant sendDue{};
    int sent = 0;
    int served = 0;
    Instant changedAt{};
    /// Requests count that are sent from then on.
    Instant judgedFrom{};
    int staleRuns = 0;
    double lastStaleSeconds = 0;
    /// When each request was sent, and to which daemon.
    std::map<std::string, std::pair<Instant, std::size_t>> sentAt;
};

} // namespace

auto runLostWatch(const Options &options) -> int
{
    LostWatchCell cell(options);
    return cell.run(options.isTroubled);
}

} // namespace gooseberrywall::review
