#include "callers.h"
#include "scenario.h"
#include "server.h"

#include <csignal>
#include <map>
#include <nlohmann/json.hpp>

namespace gooseberrywall::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// bounds.contact_s of the small sites.
constexpr Duration contact = seconds{3};
/// Retries that may reach servers later than `contact` after the third crash.
constexpr int allowedRetries = 3;
constexpr std::size_t daemonCount = 3;
constexpr int serverCount = 8;
constexpr std::size_t crashesUntilKnown = 3;
constexpr Duration ordinaryInterval = milliseconds{60};
constexpr Duration poisonInterval = milliseconds{1000};
/// Pause between a daemon's return and the stop of the next one.
constexpr Duration rollPause = seconds{4};
/// How often all daemons are restarted in turn.
constexpr int rollCount = 2;
constexpr const char *poisonTarget = "/orders/poison";

class PoisonCell
{
public:
    explicit PoisonCell(const Options &options)
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
            this->servers.push_back(std::make_unique<Server>(
                this->base.get(), settings, this->store,
                [this](const Server &server, const WholeMessage &request) {
                    return this->onRun(server, request);
                },
                this->record));
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
        this->isOrdinary = true;
        this->pause(seconds{4});
        this->isPoisonous = true;
        if (!this->runUntil(seconds{20}, [this] { return this->thirdCrashAt != Instant{}; })) {
            this->record.write("the request hasn't crashed three servers");
            return couldNotRun;
        }
        this->pause(seconds{8});
        for (auto restarts = 0; restarts < rollCount * static_cast<int>(daemonCount); ++restarts) {
            auto &daemon = *this->daemons[static_cast<std::size_t>(restarts) % daemonCount];
            if (!isTroubled) {
                this->pause(seconds{10});
            } else if (!this->restart(daemon)) {
                return couldNotRun;
            }
        }
        this->pause(seconds{6});
        this->record.write("sent: " + std::to_string(this->ordinarySent) + " ordinary requests, "
                           + std::to_string(this->ordinaryServed)
                           + " of them served; the poisonous " + std::to_string(this->poisonSent)
                           + " times; servers crashed " + std::to_string(this->crashes) + " times");
        this->record.write("retries later than 3 s after the third crash, by daemons in touch: "
                           + std::to_string(this->lateRetries) + ", allowed "
                           + std::to_string(allowedRetries));
        return this->lateRetries > allowedRetries ? ruleBroken : ruleHeld;
    }

private:
    static auto configuration() -> std::string
    {
        using nlohmann::json;
        const json route{{"name", "r-orders"},   {"host", "shop.example"},
                         {"prefix", "/orders/"}, {"route_type", "non_idempotent"},
                         {"timeout_s", 1},       {"target_latency_s", 0.4},
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

    auto restart(Daemon &daemon) -> bool
    {
        daemon.signal(SIGTERM);
        if (!this->runUntil(seconds{8}, [&] { return !daemon.isRunning(); })) {
            this->record.write(daemon.name() + " doesn't end");
            return false;
        }
        this->pause(milliseconds{300});
        daemon.start(false);
        this->pause(milliseconds{2500});
        if (!this->runUntil(seconds{10}, [this] { return this->callers->areAllInRotation(); })) {
            this->record.write(daemon.name() + " doesn't get ready again");
            return false;
        }
        this->pause(rollPause);
        return true;
    }

    auto tick() -> void
    {
        const auto moment = monotonicNow();
        this->store.tick();
        for (auto &server : this->servers) {
            server->tick();
        }
        this->callers->tick();
        if (this->isOrdinary && moment >= this->ordinaryDue) {
            this->ordinaryDue = moment + ordinaryInterval;
            this->sendOrdinary();
        }
        if (this->isPoisonous && moment >= this->poisonDue) {
            this->poisonDue = moment + poisonInterval;
            this->sendPoison();
        }
    }

    auto nextDaemon(std::size_t &last) const -> std::size_t
    {
        for (std::size_t step = 0; step < daemonCount; ++step) {
            last = (last + 1) % daemonCount;
            if (this->callers->isInRotation(last)) {
                break;
            }
        }
        return last;
    }

    auto sendOrdinary() -> void
    {
        ++this->ordinarySent;
        this->callers->send(this->nextDaemon(this->lastOrdinary), "POST", "/orders/ordinary",
                            "order " + std::to_string(this->ordinarySent),
                            [this](int status) { this->ordinaryServed += status == 200 ? 1 : 0; });
    }

    auto sendPoison() -> void
    {
        ++this->poisonSent;
        const auto daemon = this->nextDaemon(this->lastPoison);
        const auto id =
            this->callers->send(daemon, "POST", poisonTarget, "poison", [this, daemon](int status) {
                this->record.write("the poisonous request is answered by "
                                   + this->daemons[daemon]->name() + ": " + std::to_string(status));
            });
        this->poisonSenders[id] = daemon;
        this->record.write("the poisonous request is sent to " + this->daemons[daemon]->name()
                           + " as " + id);
    }

    auto onRun(const Server &server, const WholeMessage &request) -> bool
    {
        const auto *id = request.head.find("Request-Id");
        if (request.head.target != poisonTarget || id == nullptr) {
            return false;
        }
        const auto moment = monotonicNow();
        ++this->crashes;
        if (this->crashes == crashesUntilKnown) {
            this->thirdCrashAt = moment;
        }
        const auto &sender = *this->daemons.at(this->poisonSenders.at(*id));
        const auto isLate =
            this->thirdCrashAt != Instant{} && moment > this->thirdCrashAt + contact;
        const auto isCounted = isLate && sender.isInTouch(moment, contact);
        this->lateRetries += isCounted ? 1 : 0;
        this->record.write("the poisonous request " + *id + " reaches " + server.id() + " from "
                           + sender.name() + (isCounted ? ", counted" : ""));
        return true;
    }

    Record record;
    std::unique_ptr<event_base, decltype(&event_base_free)> base;
    Address storeAddress;
    KvStoreStub store;
    std::vector<std::unique_ptr<Server>> servers;
    Daemons daemons;
    std::unique_ptr<Callers> callers;
    bool isOrdinary = false;
    bool isPoisonous = false;
    Instant ordinaryDue{};
    Instant poisonDue{};
    std::size_t lastOrdinary = 0;
    std::size_t lastPoison = 0;
    int ordinarySent = 0;
    int ordinaryServed = 0;
    int poisonSent = 0;
    std::size_t crashes = 0;
    Instant thirdCrashAt{};
    int lateRetries = 0;
    /// The daemon to which each poisonous request was sent, by its id.
    std::map<std::string, std::size_t> poisonSenders;
};

} // namespace

auto runPoison(const Options &options) -> int
{
    PoisonCell cell(options);
    return cell.run(options.isTroubled);
}

} // namespace gooseberrywall::review
