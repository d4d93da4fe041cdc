#pragma once

#include "edge/callclients.h"
#include "edge/entryservice.h"
#include "edge/grantorrole.h"
#include "edge/metricstext.h"
#include "edge/upstreamdirectory.h"
#include "http/clocktimer.h"
#include "keyranges/rangerecordcodec.h"
#include "permitlink/permitcodec.h"
#include "storelink/prefixview.h"
#include "streams/datagramsocket.h"
#include "tasks/eventloop.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// One daemon on an entry VM, in one thread: takes callers' requests, stands for grantor of each
/// service, and keeps nothing that the store doesn't have.
template<WireAdapter Wire>
class EdgeDaemon
{
public:
    /// @param now the clock that goes on while the VM is suspended
    EdgeDaemon(EventLoop &loop, const Wire &wire, EdgeSettings settings, std::uint64_t life,
               std::function<Instant()> now, Logger &logger)
        : loop(loop)
        , wire(wire)
        , settings(std::move(settings))
        , life(life)
        , now(now)
        , logger(logger)
        , requestLog(logger, this->settings.logSampleOneIn)
        , pool(loop.base(), poolSettings(wire), now)
        , storePool(loop.base(), storePoolSettings(), now)
        , store(wire, this->storePool, this->settings.store, now)
        , orders(wire, this->pool)
        , permits(this->settings.peerListen, life, PermitClientSettings{})
        , direct(life)
        , flow(RequestFlowSettings{this->settings.domain}, this->permits, this->direct,
               this->requestLog)
        , entry(
              loop.base(), wire, this->settings, this->pool, this->flow, this->counters, now,
              [this] { this->settle(); }, static_cast<double>(life % 1000) / 1000)
        , ready(
              loop.base(), pageSettings(this->settings.readyListen), now,
              [this](ExchangeId exchange, const WholeMessage &) { this->onReadyAsked(exchange); },
              [](ExchangeId) {})
        , metrics(
              loop.base(), pageSettings(this->settings.metricsListen), now,
              [this](ExchangeId exchange, const WholeMessage &) { this->onMetricsAsked(exchange); },
              [](ExchangeId) {})
        , peers(loop.base(), this->settings.peerListen,
                [this](const Address &from, std::string_view bytes) {
                    this->onDatagram(from, bytes);
                })
        , directory(UpstreamDirectorySettings{})
        , configurationView(
              wire.configurationKey(), PrefixViewSettings{}, this->storeSender(), now,
              [this](const PrefixView::Items &items) { this->onConfiguration(items); })
        , noteView(this->roleSettings().notePrefix, PrefixViewSettings{}, this->storeSender(), now,
                   [this](const PrefixView::Items &) { this->onNotes(); })
        , timer(loop.base(), [this] { this->onTimer(); })
    {
    }

    /// Listens and starts reading the store.
    /// @throws std::runtime_error where an address can't be bound
    auto start() -> void
    {
        this->startedAt = this->now();
        this->entry.start();
        this->ready.start();
        try {
            this->metrics.start();
        } catch (const std::runtime_error &failure) {
            this->logger.write(LogLevel::Warning,
                               LogLine("metrics_unavailable").with("why", failure.what()).text());
        }
        this->logger.write(LogLevel::Info, LogLine("daemon_started")
                                               .with("daemon", this->settings.id.value)
                                               .with("life", static_cast<std::int64_t>(this->life))
                                               .with("domain", this->settings.domain.value)
                                               .text());
        this->registerDaemon();
        this->settle();
    }

    /// Not ready any more; requests under way and those still sent here are served, then the loop
    /// ends.
    auto shutDown() -> void
    {
        if (this->stoppingSince) {
            return;
        }
        this->stoppingSince = this->now();
        this->logger.write(LogLevel::Info,
                           LogLine("daemon_stopping")
                               .with("open", static_cast<std::int64_t>(this->entry.openCount()))
                               .text());
        for (auto &[name, role] : this->roles) {
            role->resign();
        }
        this->entry.listener().closeAfterReplies();
        this->settle();
    }

private:
    /// Sweeps of callers' connections, and checks that no other timer covers.
    static constexpr Duration housekeepingEvery = std::chrono::milliseconds{500};
    /// Registration of the own address is tried again after this time.
    static constexpr Duration registerPause = std::chrono::seconds{1};
    /// Upstreams are watched for this long after the last request without a grantor.
    static constexpr Duration directWatchTime = std::chrono::seconds{3};
    /// Changes of upstreams are gathered for this long where no grantor needs them.
    static constexpr Duration directGatherPause = std::chrono::milliseconds{1200};
    /// Owners of keys are read from the store at most this often.
    static constexpr Duration ownersPause = std::chrono::milliseconds{1200};
    /// Without a known grantor, readiness waits at most this long for one.
    static constexpr Duration grantorPatience = std::chrono::seconds{4};
    /// After SIGTERM the balancer may send connections for this long.
    static constexpr Duration balancerTime = std::chrono::milliseconds{3200};
    /// Requests that come in the last part of a shutdown are refused, to end before it does.
    static constexpr Duration lastPart = std::chrono::milliseconds{1700};
    static constexpr Duration shutdownTick = std::chrono::milliseconds{100};
    static constexpr Duration exitMargin = std::chrono::milliseconds{350};

    [[nodiscard]] static auto poolSettings(const Wire &wire) -> OutboundPoolSettings
    {
        OutboundPoolSettings result;
        result.echoHeader = wire.echoHeader();
        return result;
    }

    [[nodiscard]] static auto storePoolSettings() -> OutboundPoolSettings
    {
        OutboundPoolSettings result;
        result.connectTimeout = std::chrono::milliseconds{500};
        return result;
    }

    [[nodiscard]] static auto pageSettings(const Address &listen) -> FrontSettings
    {
        FrontSettings result;
        result.listen = listen;
        return result;
    }

    [[nodiscard]] auto storeSender() -> SendStoreCall
    {
        return [this](StoreCall call, Duration timeout, std::function<void(StoreAnswer)> done) {
            this->store.send(call, timeout,
                             [this, done = std::move(done)](const StoreAnswer &answer) {
                                 done(answer);
                                 this->settle();
                             });
        };
    }

    [[nodiscard]] auto roleSettings() const -> GrantorRoleSettings
    {
        GrantorRoleSettings result;
        result.daemon = this->settings.id;
        result.peerAddress = this->settings.peerListen;
        result.life = this->life;
        result.processorCores = this->settings.processorCores;
        result.retries.ratio = this->settings.retryRatio;
        result.retries.extra = this->settings.retryExtra;
        result.retries.window = this->settings.retryWindow;
        result.ranges.longestHold = this->settings.longestHold;
        return result;
    }

    auto registerDaemon() -> void
    {
        StoreTransaction transaction;
        transaction.writes = {
            StoreWrite{this->roleSettings().daemonPrefix + this->settings.id.value,
                       this->settings.peerListen.value, StoreLease{}}};
        this->store.send(transaction, std::chrono::seconds{1}, [this](const StoreAnswer &answer) {
            const auto isDone = answer.kind == StoreAnswer::Kind::Ok;
            this->registerAt = isDone ? std::nullopt : std::optional(this->now() + registerPause);
            this->settle();
        });
        this->registerAt.reset();
    }

    auto onConfiguration(const PrefixView::Items &items) -> void
    {
        const auto found = items.find(this->wire.configurationKey());
        if (found == items.end()) {
            return;
        }
        auto configuration = this->wire.configuration(found->second.value);
        const auto known = this->routes ? this->routes->configuration().version : 0;
        if (!configuration || configuration->version <= known) {
            const auto *const reason = configuration ? "older version" : "unreadable";
            this->logger.write(LogLevel::Warning,
                               LogLine("configuration_ignored")
                                   .with("reason", reason)
                                   .with("known", static_cast<std::int64_t>(known))
                                   .text());
            return;
        }
        this->logger.write(
            LogLevel::Info,
            LogLine("configuration_adopted")
                .with("version", static_cast<std::int64_t>(configuration->version))
                .with("routes", static_cast<std::int64_t>(configuration->routes.size()))
                .with("revision", static_cast<std::int64_t>(found->second.revision.value))
                .text());
        this->routes = std::make_shared<const RouteTable>(std::move(*configuration));
        this->entry.setRoutes(this->routes);
        this->makeRoles();
    }

    auto makeRoles() -> void
    {
        for (const auto &spec : this->routes->configuration().services) {
            if (this->roles.contains(spec.name)) {
                continue;
            }
            auto role = std::make_unique<GrantorRole>(
                spec, this->roleSettings(), this->storeSender(),
                [this](const RangeOrder &order, std::function<void(RangeOrderEnd)> done) {
                    this->orders.send(order,
                                      [this, done = std::move(done)](const RangeOrderEnd &end) {
                                          done(end);
                                          this->settle();
                                      });
                },
                this->now, this->logger, this->requestLog);
            if (this->stoppingSince) {
                role->resign();
            }
            this->roles.emplace(spec.name, std::move(role));
        }
        this->onNotes();
    }

    auto onNotes() -> void
    {
        if (!this->noteView.isLoaded()) {
            return;
        }
        auto load = 0;
        for (const auto &[name, role] : this->roles) {
            load += role->isLeading() ? 1 : 0;
        }
        for (auto &[name, role] : this->roles) {
            const auto found = this->noteView.items().find(this->notePrefix + name.value);
            std::optional<GrantorNote> note;
            if (found != this->noteView.items().end()) {
                note = GrantorNote{found->second.value, found->second.created};
                this->permits.setGrantor(name, grantorAddress(note->text), note->term.value);
            }
            role->onNote(note, load);
        }
    }

    /// @returns the address in a grantor's note "daemon address life"
    [[nodiscard]] static auto grantorAddress(const std::string &text) -> Address
    {
        const auto first = text.find(' ');
        const auto second = text.find(' ', first + 1);
        return first == std::string::npos ? Address{}
                                          : Address{text.substr(first + 1, second - first - 1)};
    }

    auto onUpstreams(const PrefixView::Items &items) -> void
    {
        std::vector<UpstreamEntry> entries;
        for (const auto &[key, item] : items) {
            if (auto entry = this->wire.upstreamEntry(item)) {
                entries.push_back(std::move(*entry));
            }
        }
        this->directory.update(entries, this->store.lastTrouble(), this->now());
        this->publishUpstreams();
    }

    auto publishUpstreams() -> void
    {
        const auto entries = this->directory.entries();
        this->direct.setUpstreams(entries);
        for (auto &[name, role] : this->roles) {
            role->onUpstreams(entries);
        }
    }

    /// Upstreams are watched where they are needed: by grantors, and while grantors are missing.
    auto watchUpstreams(Instant moment) -> void
    {
        if (this->flow.directCount() != this->seenDirect) {
            this->seenDirect = this->flow.directCount();
            this->directAt = moment;
        }
        const auto isServing =
            std::any_of(this->roles.begin(), this->roles.end(),
                        [](const auto &role) { return role.second->isServing(); });
        const auto isRecent = [moment](const std::optional<Instant> &last) {
            return last && moment - *last < directWatchTime;
        };
        const auto isNeeded =
            isServing || isRecent(this->directAt) || isRecent(this->permits.missedAt());
        if (isRecent(this->permits.missedAt()) && moment >= this->ownersReadAt) {
            this->readOwners(moment);
        }
        if (isNeeded && !this->upstreamView) {
            auto viewSettings = PrefixViewSettings{};
            viewSettings.gatherPause = isServing ? viewSettings.gatherPause : directGatherPause;
            this->upstreamView = std::make_unique<PrefixView>(
                this->wire.upstreamPrefix(), viewSettings, this->storeSender(), this->now,
                [this](const PrefixView::Items &items) { this->onUpstreams(items); });
        } else if (!isNeeded && this->upstreamView) {
            this->upstreamView.reset();
        }
        if (this->upstreamView) {
            this->upstreamView->advance();
        }
        if (const auto due = this->directory.nextDue(); due && *due <= moment) {
            this->directory.advance(moment);
            this->publishUpstreams();
        }
    }

    /// Reads the owners of keys from the store, for requests while their grantor is missing.
    auto readOwners(Instant moment) -> void
    {
        this->ownersReadAt = moment + ownersPause;
        for (const auto &[name, role] : this->roles) {
            const auto *spec = this->routes->service(name);
            if (spec == nullptr || !spec->isSharded || role->isServing()) {
                continue;
            }
            const auto key = GrantorRoleSettings{}.recordPrefix + name.value;
            this->store.send(StoreGet{key}, ownersPause,
                             [this, service = name](const StoreAnswer &answer) {
                                 this->onOwnersRead(service, answer);
                             });
        }
    }

    auto onOwnersRead(const ServiceName &service, const StoreAnswer &answer) -> void
    {
        const auto record =
            answer.items.empty() ? std::nullopt : decodeRangeRecord(answer.items.front().value);
        if (!record) {
            return;
        }
        std::vector<DirectOwner> owners;
        for (const auto &row : record->rows) {
            owners.push_back(DirectOwner{row.span, row.owner.id, row.owner.address});
        }
        this->direct.setOwners(service, owners);
    }

    auto onDatagram(const Address &from, std::string_view bytes) -> void
    {
        const auto message = decodePermitMessage(bytes, from, this->settings.peerListen);
        if (!message) {
            ++this->badDatagrams;
            return;
        }
        this->deliver(from, *message);
        this->settle();
    }

    auto deliver(const Address &from, const PermitMessage &message) -> void
    {
        if (const auto *answer = std::get_if<PermitAnswer>(&message)) {
            this->permits.onAnswer(from, *answer, this->now());
            return;
        }
        if (const auto *announcement = std::get_if<GrantorAnnouncement>(&message)) {
            this->permits.setGrantor(announcement->service, from, announcement->term);
            return;
        }
        const auto &service = std::visit(
            [](const auto &each) -> ServiceName {
                if constexpr (requires { each.service; }) {
                    return each.service;
                } else {
                    return ServiceName{};
                }
            },
            message);
        const auto found = this->roles.find(service);
        if (found != this->roles.end()) {
            found->second->onMessage(from, message);
        } else if (const auto *request = std::get_if<PermitRequest>(&message)) {
            PermitVerdict verdict;
            verdict.kind = PermitVerdict::Kind::NotGrantor;
            this->post({from, PermitAnswer{request->id, verdict}});
        }
    }

    auto post(const PermitDatagram &datagram) -> void
    {
        if (datagram.peer == this->settings.peerListen) {
            this->local.push_back(datagram.message);
            return;
        }
        this->peers.send(datagram.peer, encodePermitMessage(datagram.message));
    }

    /// Carries out all that follows from the last event, and sets the timer for the next.
    auto settle() -> void
    {
        if (this->isSettling) {
            this->isUnsettled = true;
            return;
        }
        this->isSettling = true;
        do {
            this->isUnsettled = false;
            this->entry.execute();
            for (const auto &result : this->permits.takeResults()) {
                this->flow.onPermit(result, this->now());
                this->isUnsettled = true;
            }
            for (const auto &datagram : this->permits.takeDatagrams()) {
                this->post(datagram);
            }
            for (auto &[name, role] : this->roles) {
                for (const auto &datagram : role->takeDatagrams()) {
                    this->post(datagram);
                }
            }
            for (const auto &message : std::exchange(this->local, {})) {
                this->deliver(this->settings.peerListen, message);
                this->isUnsettled = true;
            }
        } while (this->isUnsettled);
        this->isSettling = false;
        this->setTimer();
    }

    auto onTimer() -> void
    {
        const auto moment = this->now();
        this->configurationView.advance();
        this->noteView.advance();
        this->onNotes();
        for (auto &[name, role] : this->roles) {
            role->advance();
        }
        this->watchUpstreams(moment);
        this->permits.advance(moment);
        this->flow.advance(moment);
        if (this->registerAt && *this->registerAt <= moment) {
            this->registerDaemon();
        }
        if (moment >= this->housekeepingAt) {
            this->housekeepingAt = moment + housekeepingEvery;
            this->entry.listener().sweep();
            this->ready.sweep();
            this->metrics.sweep();
        }
        if (this->stoppingSince) {
            this->advanceShutdown(moment);
        }
        this->settle();
    }

    auto advanceShutdown(Instant moment) -> void
    {
        this->shutdownDue = moment + shutdownTick;
        const auto age = moment - *this->stoppingSince;
        const auto isBalancerDone = age >= balancerTime;
        if (age >= this->settings.shutdownTimeout - lastPart) {
            this->entry.refuseNew();
        }
        if (isBalancerDone) {
            this->entry.listener().closeIdle();
        }
        const auto isIdle = this->entry.openCount() == 0 && isBalancerDone
                            && this->entry.listener().connectionCount() == 0;
        if (isIdle || age >= this->settings.shutdownTimeout - exitMargin) {
            this->logger.write(LogLevel::Info,
                               LogLine("daemon_stopped")
                                   .with("open", static_cast<std::int64_t>(this->entry.openCount()))
                                   .text());
            this->loop.stop();
        }
    }

    auto setTimer() -> void
    {
        const auto moment = this->now();
        auto due = this->housekeepingAt;
        const auto consider = [&](const std::optional<Instant> &next) {
            if (next) {
                due = std::min(due, *next);
            }
        };
        consider(this->configurationView.nextDue());
        consider(this->noteView.nextDue());
        if (this->upstreamView) {
            consider(this->upstreamView->nextDue());
        }
        consider(this->directory.nextDue());
        consider(this->permits.nextDue());
        consider(this->flow.nextDue());
        consider(this->registerAt);
        for (const auto &[name, role] : this->roles) {
            consider(role->nextDue());
        }
        if (this->stoppingSince) {
            consider(this->shutdownDue);
        }
        const auto wait = std::max(Duration{200}, Duration{due - moment});
        this->timer.set(monotonicNow() + wait);
    }

    [[nodiscard]] auto isReady() const -> bool
    {
        if (this->stoppingSince || !this->routes) {
            return false;
        }
        const auto &services = this->routes->configuration().services;
        const auto areGranted =
            std::all_of(services.begin(), services.end(), [this](const ServiceSpec &spec) {
                return this->permits.grantorOf(spec.name) != nullptr;
            });
        return areGranted || this->now() - this->startedAt > grantorPatience;
    }

    auto onReadyAsked(ExchangeId exchange) -> void
    {
        MessageHead head;
        head.status = this->isReady() ? 200 : 503;
        this->ready.reply(exchange, head, "");
    }

    auto onMetricsAsked(ExchangeId exchange) -> void
    {
        EdgeGauges gauges;
        gauges.openRequests = this->flow.openCount();
        gauges.directRequests = this->flow.directCount();
        gauges.storeCalls = this->store.callCount();
        gauges.storeFailures = this->store.failureCount();
        gauges.upstreamConnections = this->pool.openedCount();
        gauges.badDatagrams = this->badDatagrams;
        gauges.droppedLogLines = static_cast<std::uint64_t>(this->logger.droppedLines());
        gauges.configurationVersion = this->routes ? this->routes->configuration().version : 0;
        for (const auto &[name, role] : this->roles) {
            gauges.grantedServices += role->isServing() ? 1 : 0;
            gauges.movedKeys += role->movedKeys();
        }
        MessageHead head;
        head.status = 200;
        head.headers = {HttpHeader{"Content-Type", "text/plain; version=0.0.4"}};
        this->metrics.reply(exchange, head, metricsText(this->counters.snapshot(), gauges));
    }

    EventLoop &loop;
    const Wire &wire;
    EdgeSettings settings;
    std::uint64_t life;
    std::function<Instant()> now;
    Logger &logger;
    RequestLog requestLog;
    Counters counters;
    OutboundPool pool;
    OutboundPool storePool;
    StoreClient<Wire> store;
    OrderClient<Wire> orders;
    PermitClient permits;
    DirectChoice direct;
    RequestFlow flow;
    EntryService<Wire> entry;
    FrontListener ready;
    FrontListener metrics;
    DatagramSocket peers;
    UpstreamDirectory directory;
    PrefixView configurationView;
    PrefixView noteView;
    std::unique_ptr<PrefixView> upstreamView;
    std::map<ServiceName, std::unique_ptr<GrantorRole>> roles;
    std::shared_ptr<const RouteTable> routes;
    std::string notePrefix = GrantorRoleSettings{}.notePrefix;
    std::vector<PermitMessage> local;
    ClockTimer timer;
    Instant startedAt{};
    Instant housekeepingAt{};
    std::optional<Instant> directAt;
    Instant ownersReadAt{};
    std::uint64_t seenDirect = 0;
    std::uint64_t badDatagrams = 0;
    std::optional<Instant> registerAt;
    std::optional<Instant> stoppingSince;
    Instant shutdownDue{};
    bool isSettling = false;
    bool isUnsettled = false;
};

} // namespace gooseberrywall
