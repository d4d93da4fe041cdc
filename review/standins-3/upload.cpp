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

constexpr std::size_t daemonCount = 3;
constexpr int serverCount = 4;
/// limits.memory_mb of the small sites, counted in MiB.
constexpr std::size_t memoryLimit = std::size_t{182} * 1024 * 1024;
/// Below max_body_bytes of the configuration.
constexpr std::size_t uploadBytes = 66'000'000;
constexpr std::size_t cutDaemon = 0;
constexpr Duration requestInterval = milliseconds{50};
constexpr Duration uploadTimeout = seconds{5};
constexpr int servedBeforeUpload = 10;

class UploadCell
{
public:
    explicit UploadCell(const Options &options)
        : record(options.recordFile)
        , base(event_base_new(), &event_base_free)
        , storeAddress(freeAddress())
        , store(this->base.get(), this->storeAddress, monotonicNow)
    {
        this->store.start();
        this->store.put("op/config", configuration());
        for (auto index = 0; index < serverCount; ++index) {
            Server::Settings settings;
            settings.name = "server" + std::to_string(index);
            settings.service = "orders";
            settings.advertised = freeAddress();
            this->servers.push_back(std::make_unique<Server>(
                this->base.get(), settings, this->store,
                [this](const Server &server, const WholeMessage &request) {
                    this->onRun(server, request);
                    return false;
                },
                this->record));
            this->proxies.push_back(std::make_unique<Proxy>(this->base.get(), settings.advertised,
                                                            this->servers.back()->listenAddress()));
        }
        for (std::size_t index = 0; index < daemonCount; ++index) {
            this->daemons.push_back(std::make_unique<Daemon>("edge" + std::to_string(index),
                                                             options.program, options.folder,
                                                             this->storeAddress, this->record));
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
        if (isTroubled) {
            this->cut();
        }
        const auto servedBefore = this->servedAtCut;
        const auto isServing = [&] {
            return this->servedAtCut >= servedBefore + servedBeforeUpload;
        };
        this->pause(seconds{2});
        if (!this->runUntil(seconds{10}, isServing)) {
            this->record.write("the daemon that is cut off serves no requests");
            return couldNotRun;
        }
        this->record.write("a body of " + std::to_string(uploadBytes) + " bytes is sent to "
                           + this->daemons[cutDaemon]->name());
        auto isAnswered = false;
        this->uploadId = this->callers->send(
            cutDaemon, "POST", "/orders/upload", std::string(uploadBytes, 'x'),
            [&](int status) {
                this->record.write("the upload is answered: " + std::to_string(status));
                isAnswered = true;
            },
            uploadTimeout);
        this->runUntil(uploadTimeout + seconds{2}, [&] { return isAnswered; });
        this->pause(seconds{1});
        auto isBroken = false;
        for (auto &daemon : this->daemons) {
            const auto peak = daemon->isRunning() ? daemon->peakMemory() : 0;
            const auto isOver = peak > memoryLimit || peak == 0;
            isBroken = isBroken || isOver;
            this->record.write(daemon->name() + " has held at most " + std::to_string(peak)
                               + " bytes of " + std::to_string(memoryLimit)
                               + (isOver ? ": over the limit" : ""));
        }
        return isBroken ? ruleBroken : ruleHeld;
    }

private:
    static auto configuration() -> std::string
    {
        const json route{{"name", "r-orders"},   {"host", "shop.example"},
                         {"prefix", "/orders/"}, {"route_type", "non_idempotent"},
                         {"timeout_s", 5},       {"target_latency_s", 0.4},
                         {"priority", 1},        {"max_attempts", 2},
                         {"service", "orders"}};
        const json service{
            {"name", "orders"}, {"health_path", "/healthz"}, {"max_connections", 292}};
        return json{{"version", 1},
                    {"routes", json::array({route})},
                    {"services", json::array({service})},
                    {"limits",
                     {{"max_header_bytes", 16384},
                      {"max_body_bytes", 67108864},
                      {"header_timeout_s", 3},
                      {"idle_timeout_s", 15}}}}
            .dump();
    }

    /// Partitions the machines from the servers: one machine's connections are reset, those of the
    /// others live on, and new ones are refused.
    auto cut() -> void
    {
        this->record.write("connections to servers are refused from now on, and those of "
                           + this->daemons[cutDaemon]->name() + " are reset");
        for (auto &proxy : this->proxies) {
            proxy->refuseNew();
            proxy->resetIf([this](const std::string &head) {
                const auto at = head.find("Request-Id: ");
                const auto begin = at + std::string("Request-Id: ").size();
                const auto id = head.substr(begin, head.find("\r\n", begin) - begin);
                const auto found = this->senders.find(id);
                return at != std::string::npos && found != this->senders.end()
                       && found->second == cutDaemon;
            });
        }
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
            const auto daemon = static_cast<std::size_t>(this->sent++) % daemonCount;
            const auto id = this->callers->send(
                daemon, "POST", "/orders/one", "order " + std::to_string(this->sent),
                [this, daemon](int status) {
                    this->record.write(this->daemons[daemon]->name() + " answers "
                                       + std::to_string(status));
                    this->servedAtCut += status == 200 && daemon == cutDaemon ? 1 : 0;
                });
            this->senders[id] = daemon;
        }
    }

    auto onRun(const Server &server, const WholeMessage &request) -> void
    {
        const auto *id = request.head.find("Request-Id");
        if (id != nullptr && *id == this->uploadId) {
            this->record.write("the upload runs at " + server.id());
        }
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
    int servedAtCut = 0;
    std::string uploadId;
    /// The daemon to which each request was sent, by its id.
    std::map<std::string, std::size_t> senders;
};

} // namespace

auto runUpload(const Options &options) -> int
{
    UploadCell cell(options);
    return cell.run(options.isTroubled);
}

} // namespace gooseberrywall::review
