#pragma once

#include "edge/callclients.h"
#include "edge/componentsettings.h"
#include "edge/configurationlog.h"
#include "edge/edgemetrics.h"
#include "edge/edgepages.h"
#include "edge/entryservice.h"
#include "edge/evacuationkeys.h"
#include "edge/forwardrole.h"
#include "edge/grantorroles.h"
#include "edge/grantorwatch.h"
#include "edge/memorylog.h"
#include "edge/peermessages.h"
#include "edge/shutdownplan.h"
#include "edge/upstreamlinks.h"
#include "edge/upstreamwatch.h"
#include "http/clocktimer.h"
#include "storelink/erakey.h"
#include "tasks/eventloop.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywall {

/// The daemon on an entry VM, in one thread: serves callers' requests, is a candidate for grantor
/// of each service, and keeps no persistent state outside the store.
template<WireAdapter Wire>
class EdgeDaemon
{
public:
    /// @param incarnation differs after each restart
    /// @param now reads a clock that goes on while the VM is suspended
    EdgeDaemon(EventLoop &loop, const Wire &wire, EdgeSettings settings, std::uint64_t incarnation,
               std::function<Instant()> now, Logger &logger)
        : loop(loop)
        , wire(wire)
        , settings(std::move(settings))
        , incarnation(incarnation)
        , now(now)
        , logger(logger)
        , requestLog(logger, this->settings.logSampleOneIn)
        , memory(memoryBudget(this->settings))
        , memoryLog(logger)
        , upstreamPool(loop.base(), upstreamPoolSettings(wire.echoHeader()), now, &this->memory)
        , storePool(loop.base(), storePoolSettings(), now, &this->memory)
        , store(wire, this->storePool, this->settings.store, now, logger)
        , orderPool(loop.base(), orderPoolSettings(), now, &this->memory)
        , orders(wire, this->orderPool)
        , permits(this->settings.peerListen, incarnation, PermitClientSettings{})
        , statements(UpstreamStatementSettings{this->settings.drainTime})
        , direct(
              incarnation, this->statements,
              [this](const PermitRequest &each) { return this->roles.isQuarantined(each); },
              [this](const EndedAttempt &each) { this->roles.onAttemptEnd(each); })
        , links(loop.base(), now, logger, [this] { this->onTimer(); })
        , flow(RequestFlowSettings{this->settings.domain}, this->permits, this->direct,
               this->statements, this->links.reach(),
               FlowRecords{this->requestLog, this->counters, this->stages})
        , forwardClient(loop.base(), now, &this->memory)
        , answerRecord(this->requestLog, this->counters, now,
                       [this] { return this->configurationSource.newerKnownSince(); })
        , entry(
              loop.base(), wire, this->settings, this->memory, this->upstreamPool,
              this->forwardClient, this->flow, this->counters, this->answerRecord,
              [this] { return this->configurationSource.newerKnownSince().has_value(); }, now,
              [this] { this->processPending(); }, static_cast<double>(incarnation % 1000) / 1000)
        , pages(
              loop.base(), this->settings.readyListen, this->settings.metricsListen, now,
              [this] { return this->isReady(); }, [this] { return this->metricsPage(); })
        , peers(
              loop.base(), this->settings.peerListen,
              [this](const Address &from, const PermitMessage &message) {
                  this->deliver(from, message);
              },
              [this] { this->processPending(); })
        , evacuations(logger)
        , upstreamWatch(
              wire,
              UpstreamWatchSettings{this->settings.upstreamHeartbeat, this->settings.drainTime},
              this->storeSender(), now, logger, this->evacuations, this->direct,
              [this](const auto &entries) { this->roles.onUpstreams(entries); })
        , peerServer(loop.base(), this->settings.peerListen, now, logger, &this->memory)
        , forwarder(wire, this->peerServer, this->upstreamPool, this->statements, now,
                    [this] { this->processPending(); })
        , configurationSource(
              loop.base(), this->peerServer,
              configurationSettings(this->settings, wire.configurationKey(), wire.operatorPrefix(),
                                    incarnation),
              this->storeSender(), now, logger,
              [this](const std::string &text, StoreRevision revision) {
                  return this->onConfiguration(text, revision);
              },
              [this] { this->processPending(); },
              [this](const PrefixView::Items &items, StoreRevision revision, bool isStale) {
                  this->onEvacuations(
                      readEvacuations(this->wire, items, revision, this->evacuations), isStale);
              },
              [this] { return this->store.isAnswerArriving(); })
        , roles(roleSettings(this->settings, incarnation, wire.doReleasesRaiseFences()),
                this->storeSender(), this->links.observed(this->orderSender()), now, logger,
                this->requestLog)
        , grantorWatch(grantorWatchSettings(this->settings), this->storeSender(), now,
                       this->permits, this->roles, logger)
        , timer(loop.base(), [this] { this->onTimer(); })
    {
        this->memory.setRelief([this] {
            this->entry.listener().shedExcess();
            this->peerServer.shedExcess();
        });
        this->roles.setAnnouncedConfiguration([this] {
            return AnnouncedConfiguration{this->configurationSource.revision(),
                                          this->configurationSource.age(),
                                          this->evacuations.announced()};
        });
    }

    /// Starts listening and reading the store.
    /// @throws std::runtime_error where the callers' or the readiness address can't be bound
    auto start() -> void
    {
        this->startedAt = this->now();
        this->logger.setBuffering(true);
        this->entry.start();
        this->peerServer.start();
        this->pages.startReadiness();
        try {
            this->pages.startMetrics();
        } catch (const std::runtime_error &failure) {
            this->logger.write(LogLevel::Warning,
                               LogLine("metrics_unavailable").with("why", failure.what()).text());
        }
        this->logger.write(LogLevel::Info,
                           LogLine("daemon_started")
                               .with("daemon", this->settings.id.value)
                               .with("life", static_cast<std::int64_t>(this->incarnation))
                               .with("domain", this->settings.domain.value)
                               .text());
        this->processPending();
    }

    /// Applies the settings that may change at run time; the rest takes effect at the next start.
    auto applySettings(const EdgeSettings &changed) -> void
    {
        this->logger.setLimits(changed.logLevel, changed.logLinesPerSecond);
        this->requestLog.setSample(changed.logSampleOneIn);
        this->roles.setRetryAllowance(changed.retryRatio, changed.retryExtra);
        this->entry.listener().setConnectionLimit(changed.connectionLimit);
        this->settings.shutdownTimeout = changed.shutdownTimeout;
    }

    /// Reports not ready, serves open requests and those that still arrive, then stops the loop.
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
        this->roles.resign();
        this->forwarder.refuseNew();
        this->peerServer.closeAfterReplies();
        this->entry.listener().closeAfterReplies();
        this->advanceShutdown(*this->stoppingSince);
        this->processPending();
    }

private:
    /// How often callers' connections are swept; also the longest time between two timer events.
    static constexpr Duration housekeepingEvery = std::chrono::milliseconds{500};
    /// Upstreams are watched for this long after the last request without a grantor.
    static constexpr Duration directWatchTime = std::chrono::seconds{3};
    /// Key owners are read from the store at most this often.
    static constexpr Duration ownersReadEvery = std::chrono::milliseconds{2000};
    /// The daemon reports ready after this time even if a service has no known grantor.
    static constexpr Duration grantorWaitLimit = std::chrono::seconds{4};
    static constexpr Duration shutdownCheckEvery = std::chrono::milliseconds{50};

    [[nodiscard]] auto storeSender() -> SendStoreCall
    {
        return [this](const StoreCall &call, Duration timeout, const auto &done) {
            this->store.send(call, timeout,
                             [this, done, sentAt = this->now()](const StoreAnswer &answer) {
                                 this->onStoreEra(answer.era.value_or(0));
                                 this->configurationSource.onStoreAnswer(answer, sentAt);
                                 this->upstreamWatch.onStoreAnswer(answer, sentAt);
                                 this->grantorWatch.onStoreAnswer(answer, sentAt);
                                 done(answer);
                                 this->processPending();
                             });
        };
    }

    [[nodiscard]] auto orderSender() -> SendRangeOrder
    {
        return [this](const RangeOrder &order, std::function<void(RangeOrderEnd)> done) {
            const auto incarnation =
                this->upstreamWatch.incarnationOf(order.upstream, order.address);
            this->orders.send(order, [this, order, incarnation, done = std::move(done)](
                                         const RangeOrderEnd &end, const OrderStatement &stated) {
                if (incarnation) {
                    this->roles.onStatement(UpstreamStatement{
                        order.upstream, *incarnation, this->settings.peerListen, RequestId{},
                        stated.isLeaving, stated.pause, stated.leaveHint});
                }
                done(end);
                this->processPending();
            });
        };
    }

    /// @returns whether it is the newest configuration known
    auto onConfiguration(const std::string &text, StoreRevision revision) -> bool
    {
        this->roles.announceSoon();
        auto configuration = this->wire.configuration(text);
        const auto known = this->routes ? this->routes->configuration().version : 0;
        if (!configuration || configuration->version <= known) {
            logIgnoredConfiguration(this->logger, configuration.has_value(), known);
            return false;
        }
        logAdoptedConfiguration(this->logger, *configuration, revision);
        this->routes = std::make_shared<const RouteTable>(std::move(*configuration));
        this->entry.setRoutes(this->routes);
        this->roles.setConfiguration(this->routes->configuration());
        this->direct.setServices(this->routes->configuration().services);
        this->grantorWatch.setServices(this->routes->configuration().services);
        return true;
    }

    /// Takes in which failure domains are evacuated, as the store or a grantor tells.
    auto onEvacuations(const EvacuatedDomains &known, bool isStale) -> void
    {
        if (this->evacuations.update(known, isStale, this->upstreamWatch.entries(), this->now())) {
            this->upstreamWatch.onEvacuations();
            this->roles.announceSoon();
        }
    }

    /// Takes in an era of the store. Copies of what it had in an earlier one are read anew.
    auto onStoreEra(std::uint64_t era) -> void
    {
        if (era <= this->storeEra) {
            return;
        }
        this->storeEra = era;
        this->configurationSource.onStoreEra(era);
        this->grantorWatch.onStoreEra(era);
        this->upstreamWatch.onStoreEra(era);
        this->roles.onStoreEra(era);
    }

    /// Upstreams are watched by grantors, and by other daemons while a grantor is missing.
    auto watchUpstreams(Instant moment) -> void
    {
        if (this->flow.directSendCount() != this->seenDirectSends) {
            this->seenDirectSends = this->flow.directSendCount();
            this->directSentAt = moment;
        }
        const auto isRecent = [moment](const std::optional<Instant> &last) {
            return last && moment - *last < directWatchTime;
        };
        const auto isGrantorMissing = isRecent(this->permits.lastNoGrantorAt());
        if (const auto due = this->roles.listingDue()) {
            this->upstreamWatch.listAnewAfter(*due);
        }
        this->isDirect = isGrantorMissing || isRecent(this->directSentAt);
        this->upstreamWatch.advance(this->roles.servingCount() > 0, this->isDirect);
        this->roles.onUpstreamsListed(this->upstreamWatch.listedAt(),
                                      this->upstreamWatch.isCurrent());
        if (isGrantorMissing && moment >= this->ownersReadDue) {
            this->ownersReadDue = moment + ownersReadEvery;
            for (const auto &service : this->roles.shardedNotServed()) {
                this->upstreamWatch.readOwners(
                    service,
                    eraKey(this->roles.settings().recordPrefix + service.value, this->storeEra),
                    ownersReadEvery);
            }
        }
    }

    auto deliver(const Address &from, const PermitMessage &message) -> void
    {
        if (const auto *answer = std::get_if<PermitAnswer>(&message)) {
            this->permits.onAnswer(from, *answer, this->now());
            return;
        }
        if (const auto *announcement = std::get_if<GrantorAnnouncement>(&message)) {
            this->onStoreEra(eraOf(StoreRevision{announcement->term}));
            this->grantorWatch.onAnnouncement(from, *announcement);
            this->configurationSource.onAnnouncement(from, *announcement);
            this->upstreamWatch.onStoreReachedByOther(this->now() - announcement->configurationAge);
            this->onEvacuations(announcement->evacuated, false);
            this->direct.onDaemonCount(announcement->daemonCount, this->now());
            this->upstreamWatch.setDaemonCount(announcement->daemonCount);
            return;
        }
        this->roles.deliver(from, message);
    }

    /// Handles everything that the last event has caused, and sets the timer for the next.
    auto processPending() -> void
    {
        if (this->isProcessing) {
            this->hasPending = true;
            return;
        }
        this->isProcessing = true;
        do {
            this->hasPending = false;
            // Datagrams go before answers: a large answer fills the VM's link, which then drops
            // datagrams.
            this->peers.send(this->permits.takeDatagrams());
            this->entry.execute();
            for (const auto &result : this->permits.takeResults()) {
                this->flow.onPermit(result, this->now());
                this->hasPending = true;
            }
            this->upstreamWatch.onStatements(this->roles.takeStatements());
            this->upstreamWatch.onStatements(this->statements.takeHints());
            this->peers.send(this->roles.takeDatagrams());
            this->peers.send(this->grantorWatch.takeDatagrams());
            this->hasPending = this->peers.deliverOwn() || this->hasPending;
        } while (this->hasPending);
        this->isProcessing = false;
        this->memory.relieve();
        this->setTimer();
        this->logger.flushIfDue();
    }

    auto onTimer() -> void
    {
        const auto moment = this->now();
        this->configurationSource.advance(this->roles.servingCount() > 0, this->isDirect);
        this->grantorWatch.advance();
        this->roles.setCutOff(this->configurationSource.isCutOff(this->store.contact()));
        this->links.advance();
        this->roles.setUpstreamsReached(!this->links.isIsolated());
        if (this->configurationSource.takeConfirmation()) {
            this->roles.announceSoon();
        }
        this->roles.advance();
        this->watchUpstreams(moment);
        this->permits.advance(moment);
        this->flow.advance(moment);
        if (moment >= this->housekeepingDue) {
            this->housekeepingDue = moment + housekeepingEvery;
            this->entry.listener().sweep();
            this->pages.sweep();
            this->peerServer.sweep();
            this->memoryLog.update(this->entry.listener().counters(), this->peerServer.counters(),
                                   this->memory, moment);
        }
        if (this->stoppingSince) {
            this->advanceShutdown(moment);
        }
        this->processPending();
    }

    auto advanceShutdown(Instant moment) -> void
    {
        this->shutdownDue = moment + shutdownCheckEvery;
        const ShutdownPlan plan(*this->stoppingSince, this->settings.shutdownTimeout);
        const auto isBalancerDrained = moment >= plan.balancerDrainedAt();
        this->flow.stopAt(FlowStop{plan.lastAnswersAt(), plan.certainFrom()});
        if (moment >= plan.lastAnswersAt()) {
            this->entry.refuseNew();
            this->flow.refuseWaiting(moment);
            this->flow.endSent(moment);
        }
        if (isBalancerDrained) {
            this->entry.listener().closeIdle();
        }
        const auto isIdle = this->entry.openCount() == 0 && isBalancerDrained
                            && this->forwarder.openCount() == 0
                            && this->entry.listener().connectionCount() == 0;
        const auto unsent = this->entry.listener().unsentBytes() + this->peerServer.unsentBytes();
        const auto isFlushed = moment >= plan.exitAt() && unsent == 0;
        if (isIdle || isFlushed || moment >= plan.lastExitAt()) {
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
        auto due = this->housekeepingDue;
        const auto consider = [&](const std::optional<Instant> &next) {
            if (next) {
                due = std::min(due, *next);
            }
        };
        consider(this->configurationSource.nextDue());
        consider(this->grantorWatch.nextDue());
        consider(this->upstreamWatch.nextDue());
        consider(this->permits.nextDue());
        consider(this->flow.nextDue());
        consider(this->links.nextDue());
        consider(this->roles.nextDue());
        consider(this->stoppingSince ? std::optional(this->shutdownDue) : std::nullopt);
        const auto wait = std::max(Duration{200}, Duration{due - moment});
        this->forwarder.onWait(moment, moment + wait);
        this->timer.set(monotonicNow() + wait);
    }

    [[nodiscard]] auto isReady() const -> bool
    {
        if (this->stoppingSince || !this->routes) {
            return false;
        }
        const auto &services = this->routes->configuration().services;
        const auto areGrantorsKnown =
            std::all_of(services.begin(), services.end(), [this](const ServiceSpec &spec) {
                return this->permits.grantorOf(spec.name) != nullptr;
            });
        return areGrantorsKnown || this->now() - this->startedAt > grantorWaitLimit;
    }

    [[nodiscard]] auto metricsPage() const -> std::string
    {
        EdgeMetrics metrics;
        addGrantorMetrics(metrics, this->roles);
        addRequestMetrics(metrics, this->flow, this->statements);
        addListenerMetrics(metrics, this->memory, this->entry.listenerCounters(),
                           this->peerServer.counters());
        addConfigurationMetrics(metrics, this->configurationSource, this->evacuations, this->now());
        addWatchMetrics(metrics, this->upstreamWatch, this->grantorWatch, this->now());
        addStoreMetrics(metrics, this->store);
        addPoolMetrics(metrics, this->upstreamPool, this->orderPool, this->storePool,
                       this->forwardClient.givenUpCount());
        addPeerMetrics(metrics, this->peers);
        metrics.droppedLogLines = static_cast<std::uint64_t>(this->logger.droppedLines());
        metrics.configurationVersion = this->routes ? this->routes->configuration().version : 0;
        metrics.isIsolated = this->links.isIsolated() ? 1 : 0;
        metrics.servedForwards = this->forwarder.sentCount();
        return metricsText(this->counters.snapshot(), this->stages.snapshot(), metrics);
    }

    EventLoop &loop;
    const Wire &wire;
    EdgeSettings settings;
    std::uint64_t incarnation;
    std::function<Instant()> now;
    Logger &logger;
    RequestLog requestLog;
    Counters counters;
    StageHistograms stages;
    MemoryAccount memory;
    MemoryLog memoryLog;
    OutboundPool upstreamPool;
    OutboundPool storePool;
    StoreClient<Wire> store;
    OutboundPool orderPool;
    OrderClient<Wire> orders;
    PermitClient permits;
    UpstreamStatements statements;
    DirectChoice direct;
    UpstreamLinks links;
    RequestFlow flow;
    ForwardClient forwardClient;
    AnswerRecord answerRecord;
    EntryService<Wire> entry;
    EdgePages pages;
    PeerMessages peers;
    Evacuations evacuations;
    UpstreamWatch<Wire> upstreamWatch;
    PeerServer peerServer;
    ForwardRole<Wire> forwarder;
    ConfigurationSource configurationSource;
    GrantorRoles roles;
    GrantorWatch grantorWatch;
    std::shared_ptr<const RouteTable> routes;
    ClockTimer timer;
    Instant startedAt{};
    Instant housekeepingDue{};
    std::optional<Instant> directSentAt;
    /// Requests are sent without a grantor, or were lately.
    bool isDirect = false;
    Instant ownersReadDue{};
    std::uint64_t seenDirectSends = 0;
    /// The highest era of the store that is known.
    std::uint64_t storeEra = 0;
    std::optional<Instant> stoppingSince;
    Instant shutdownDue{};
    bool isProcessing = false;
    bool hasPending = false;
};

} // namespace gooseberrywall
