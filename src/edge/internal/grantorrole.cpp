#include "edge/grantorrole.h"

#include "common/durations.h"
#include "common/hash.h"
#include "edge/grantordirectory.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

/// Bounds the claim delay: VMs with a smaller share of a core wait as long as with this one.
constexpr double minimumCores = 0.05;
constexpr Duration idleAdvanceEvery = std::chrono::milliseconds{500};
/// How often the upstreams' health is checked for changes to log.
constexpr Duration healthEvery = std::chrono::milliseconds{500};

/// Share of the bound for cold upstreams that a grantor uses whose lease may have ended: its
/// successor may grant the whole rate at the same time, and bounds.warmup_overage is 1.5.
constexpr double shareWithoutAuthority = 0.1;

/// A new grantor waits no longer than this for the list of upstreams: the store has just answered
/// its claim, and entry daemons look for another way by then.
constexpr Duration longestListWait = std::chrono::milliseconds{300};

auto ownCrashSettings(const GrantorRoleSettings &settings) -> RequestQuarantineSettings
{
    RequestQuarantineSettings result;
    result.suspectLifetime = settings.ownCrashLifetime;
    return result;
}

} // namespace

GrantorRole::GrantorRole(ServiceSpec spec, GrantorRoleSettings settings, SendStoreCall store,
                         SendRangeOrder orders, std::function<Instant()> now, Logger &logger,
                         RequestLog &requestLog)
    : spec(std::move(spec))
    , settings(std::move(settings))
    , store(std::move(store))
    , orders(std::move(orders))
    , now(std::move(now))
    , logger(logger)
    , requestLog(requestLog)
    , alive(std::make_shared<bool>(true))
    , ownClaimDelay(claimDelayOf(this->spec.name, this->settings))
    , election(this->settings.grantorPrefix + this->spec.name.value, this->ownGrantorText(),
               this->settings.election, this->store, this->now)
    , quarantine(std::make_shared<RequestQuarantine>(RequestQuarantineSettings{}))
    , ownCrashes(ownCrashSettings(this->settings))
    , broker(std::make_unique<SlotBroker>(this->spec.name, this->spec.isSharded,
                                          this->settings.broker, this->settings.retries,
                                          this->settings.incarnation, this->quarantine))
    , planner(this->settings.planner)
    , startedAt(this->now())
{
}

auto GrantorRole::claimDelayOf(const ServiceName &service, const GrantorRoleSettings &settings)
    -> Duration
{
    // The hash spreads the claims of several daemons, and differs by service.
    const auto spreadPermille =
        stableHash(settings.daemon.value + service.value, settings.incarnation) % 1000;
    const auto coreDelaySeconds = std::chrono::duration<double>(settings.claimDelay).count()
                                  / std::max(minimumCores, settings.processorCores);
    return settings.claimSpread * static_cast<std::int64_t>(spreadPermille) / 1000
           + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(coreDelaySeconds));
}

auto GrantorRole::ownGrantorText() const -> std::string
{
    return GrantorDirectory::grantorText(this->settings.daemon.value, this->settings.peerAddress,
                                         this->settings.incarnation);
}

auto GrantorRole::notGrantorVerdict() const -> PermitVerdict
{
    PermitVerdict verdict;
    verdict.kind = PermitVerdict::Kind::NotGrantor;
    const auto address =
        this->knownGrantor ? GrantorDirectory::addressOf(*this->knownGrantor) : Address{};
    if (address != this->settings.peerAddress && !address.empty()) {
        verdict.address = address;
        verdict.grantorTerm = this->knownGrantor->term.value;
    }
    return verdict;
}

auto GrantorRole::onUpstreams(const std::vector<UpstreamEntry> &entries) -> void
{
    std::vector<UpstreamEntry> own;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(own),
                 [&](const UpstreamEntry &entry) { return entry.service == this->spec.name; });
    this->hasUpstreams = true;
    if (own == this->upstreams) {
        return;
    }
    const auto former = std::exchange(this->upstreams, std::move(own));
    this->noteLostUpstreams(former, this->now());
    this->endLeaving();
    if (!this->serving) {
        return;
    }
    const auto moment = this->now();
    this->broker->setUpstreams(this->upstreams, moment);
    if (this->ranges) {
        this->ranges->setUpstreams(this->upstreams, moment);
    }
    this->advance();
}

auto GrantorRole::onMessage(const Address &from, const PermitMessage &message) -> void
{
    const auto moment = this->now();
    this->updateWarmUpRate(moment);
    this->updateAuthority(moment);
    if (const auto *request = std::get_if<PermitRequest>(&message)) {
        if (!this->serving || this->isCutOff) {
            this->datagrams.push_back(
                PermitDatagram{from, PermitAnswer{request->id, this->notGrantorVerdict()}});
            return;
        }
        this->daemons.onHeard(from, moment);
        if (this->heldUntil) {
            this->heldRequests.emplace_back(from, *request);
            return;
        }
        this->broker->ask(*request, moment);
    } else if (const auto *report = std::get_if<PermitReport>(&message)) {
        this->broker->report(*report, moment);
        this->takeInChanges();
    } else if (const auto *notice = std::get_if<SuspectNotice>(&message)) {
        this->onSuspectNotice(from, *notice);
    } else if (const auto *cancel = std::get_if<PermitCancel>(&message)) {
        std::erase_if(this->heldRequests,
                      [&](const auto &each) { return each.second.id == cancel->id; });
        this->broker->cancel(cancel->id, moment);
    } else if (std::holds_alternative<DaemonHello>(message)) {
        // Also before this daemon is elected: it then announces itself at once.
        this->daemons.onHeard(from, moment);
        if (this->serving && this->hasAuthority(moment)) {
            this->datagrams.push_back(PermitDatagram{from, this->announcement()});
        }
    }
    this->flushVerdicts();
}

auto GrantorRole::onUpstreamsListed(Instant listedAt, bool areCurrent) -> void
{
    this->upstreamsListedAt = listedAt;
    this->areUpstreamsCurrent = areCurrent;
    if (areCurrent) {
        this->askHeld();
    }
}

auto GrantorRole::holdUntilListed() -> void
{
    if (!this->areUpstreamsCurrent) {
        this->heldUntil = this->now() + longestListWait;
    }
}

auto GrantorRole::askHeld() -> void
{
    this->heldUntil.reset();
    for (const auto &[from, request] : std::exchange(this->heldRequests, {})) {
        this->onMessage(from, request);
    }
}

auto GrantorRole::advance() -> void
{
    this->election.advance();
    const auto elected = this->election.term();
    if (elected && this->term != elected) {
        this->onElected(*elected);
    }
    const auto moment = this->now();
    this->stepDownIfIsolated(moment);
    this->advancedAt = moment;
    this->orderEndsDue = moment + idleAdvanceEvery;
    if (this->ranges) {
        this->advanceRanges(moment);
    }
    this->handOverSuspects(moment);
    if (!this->serving) {
        return;
    }
    if (this->heldUntil && moment >= *this->heldUntil) {
        this->askHeld();
    }
    this->updateWarmUpRate(moment);
    this->updateAuthority(moment);
    this->broker->advance(moment);
    this->takeInChanges();
    this->flushVerdicts();
    this->logHealth(moment);
    this->logCrashes();
    // Without authority, this daemon falls silent, so that the others look for a grantor: one of
    // them may have to take over.
    if (this->hasAuthority(moment)) {
        this->writeDaemons(moment);
        if (moment >= this->announceDue) {
            this->announce();
        }
        this->tellSuspects(moment);
    }
}

auto GrantorRole::hasAuthority(Instant moment) const -> bool
{
    const auto isAuthorized = this->isLeading() && moment < this->election.authorityEnd();
    // No other daemon can be elected before this one has claimed its place again.
    return (isAuthorized || this->election.isReclaiming()) && !this->isCutOff;
}

auto GrantorRole::updateAuthority(Instant moment) -> void
{
    // After the election, onElected() or onReclaimed() decide first what the new term adds to.
    const auto isInTerm = this->election.term() == this->term;
    // A renewal tells that no other daemon has led since the one before, however long that took.
    this->authority.until = isInTerm
                                ? std::max(this->authority.until, this->election.authorityEnd())
                                : std::min(this->authority.until, moment);
    this->broker->setAuthority(this->authority);
}

auto GrantorRole::setCutOff(bool cutOff) -> void
{
    // Other daemons have no need to call the store, so they aren't cut off by their silence.
    if (!this->serving || this->isCutOff == cutOff) {
        return;
    }
    this->isCutOff = cutOff;
    this->holdUntilListed();
    LogLine line(cutOff ? "grantor_cut_off" : "grantor_reconnected");
    line.with("service", this->spec.name.value)
        .with("why", cutOff ? "another grantor reaches the store" : "store reached");
    this->log(LogLevel::Warning, line);
}

auto GrantorRole::setRetryAllowance(double ratio, double extra) -> void
{
    this->settings.retries.ratio = ratio;
    this->settings.retries.extra = extra;
    this->broker->setRetryAllowance(ratio, extra);
}

auto GrantorRole::logHealth(Instant moment) -> void
{
    if (moment < this->healthDue) {
        return;
    }
    this->healthDue = moment + healthEvery;
    for (const auto &change : this->healthChanges.update(this->broker->upstreamStatuses(moment))) {
        constexpr auto percent = 100;
        LogLine line("upstream_health");
        line.with("service", this->spec.name.value)
            .with("upstream", change.upstream.id.value)
            .with("state", toString(change.kind))
            .with("failures_percent",
                  static_cast<std::int64_t>(change.upstream.failureShare * percent))
            .with("latency_ms", toMilliseconds(change.upstream.expectedLatency));
        if (change.upstream.requestLimit.isLimited()) {
            line.withDecimal("limit_per_s", change.upstream.requestLimit.perSecond)
                .withDecimal("granted_per_s", change.upstream.grantedPerSecond);
        }
        this->log(LogLevel::Info, line);
    }
}

auto GrantorRole::flushVerdicts() -> void
{
    if (this->isCutOff) {
        this->declineVerdicts();
        return;
    }
    for (auto &issued : this->broker->takeVerdicts()) {
        this->logVerdict(issued);
        const auto entry = issued.id.entry;
        this->datagrams.push_back(
            PermitDatagram{entry, PermitAnswer{std::move(issued.id), std::move(issued.verdict)}});
    }
}

auto GrantorRole::declineVerdicts() -> void
{
    // Taking a permit back may grant its slot to the next waiting request.
    for (auto verdicts = this->broker->takeVerdicts(); !verdicts.empty();
         verdicts = this->broker->takeVerdicts()) {
        for (const auto &issued : verdicts) {
            this->broker->cancel(issued.id, this->now());
            this->datagrams.push_back(PermitDatagram{
                issued.id.entry, PermitAnswer{issued.id, this->notGrantorVerdict()}});
        }
    }
}

auto GrantorRole::logVerdict(const IssuedVerdict &issued) -> void
{
    const auto isRefused = issued.verdict.kind == PermitVerdict::Kind::Refused;
    if (!this->requestLog.shouldLog(issued.request, isRefused)) {
        return;
    }
    const auto isGranted = issued.verdict.kind == PermitVerdict::Kind::Granted;
    LogLine line(isRefused ? "permit_refused" : isGranted ? "permit_granted" : "permit_queued");
    line.with("request", issued.request.value)
        .with("service", this->spec.name.value)
        .with("entry", issued.id.entry.value)
        .with("waiting", static_cast<std::int64_t>(issued.basis.backlogSize))
        .with("remaining_ms", toMilliseconds(issued.basis.remaining))
        .with("wait_ms", toMilliseconds(issued.basis.expectedWait))
        .with("latency_ms", toMilliseconds(issued.basis.expectedLatency))
        .with("upstreams", static_cast<std::int64_t>(this->upstreams.size()))
        .with("term", static_cast<std::int64_t>(this->term ? this->term->value : 0));
    if (issued.basis.key) {
        line.with("key", *issued.basis.key).with("owner", issued.basis.owner.value);
    }
    if (isGranted) {
        line.with("upstream", issued.verdict.upstream.value);
    }
    if (isRefused) {
        line.with("reason", toString(issued.verdict.reason))
            .with("retry_after_ms", toMilliseconds(issued.verdict.retryAfter));
    }
    if (isRefused && issued.verdict.reason == Reason::Quarantined) {
        line.with("fingerprint", std::to_string(issued.fingerprint.value));
    }
    this->requestLog.write(line);
}

auto GrantorRole::readDaemons() -> void
{
    this->isReadingDaemons = true;
    this->call(StoreGet{this->daemonsKey(), false}, [this](const StoreAnswer &answer) {
        this->isReadingDaemons = false;
        const auto isRead =
            answer.kind == StoreAnswer::Kind::Ok || answer.kind == StoreAnswer::Kind::NotFound;
        if (!isRead) {
            return;
        }
        if (!answer.items.empty()) {
            this->daemons.adopt(answer.items.front().value, this->now());
        }
        this->areDaemonsKnown = true;
        this->announce();
        if (answer.items.empty() && this->isFirstStart() && !this->hasKnownOther) {
            this->createDaemons();
        }
    });
}

auto GrantorRole::createDaemons() -> void
{
    StoreTransaction transaction;
    transaction.conditions = {StoreCondition{this->daemonsKey(), StoreRevision{}}};
    transaction.writes = {StoreWrite{this->daemonsKey(), KnownDaemons::emptyText(), StoreLease{}}};
    this->call(transaction, [this, askedTerm = this->term](const StoreAnswer &answer) {
        if (answer.kind == StoreAnswer::Kind::Ok && this->term == askedTerm) {
            this->authority.from -= this->settings.retries.window;
            this->updateAuthority(this->now());
        }
    });
}

auto GrantorRole::writeDaemons(Instant moment) -> void
{
    this->daemons.advance(moment);
    const auto text = this->daemons.takeText(moment);
    if (!text) {
        return;
    }
    StoreTransaction transaction;
    transaction.writes = {StoreWrite{this->daemonsKey(), *text, StoreLease{}}};
    this->call(transaction, [this](const StoreAnswer &answer) {
        if (answer.kind != StoreAnswer::Kind::Ok) {
            this->daemons.retryText(this->now());
        }
    });
}

auto GrantorRole::daemonsKey() const -> std::string
{
    return this->settings.daemonPrefix + this->spec.name.value;
}

auto GrantorRole::announcement() const -> GrantorAnnouncement
{
    const auto configuration =
        this->announcedConfiguration ? this->announcedConfiguration() : AnnouncedConfiguration{};
    return GrantorAnnouncement{this->spec.name,
                               this->term->value,
                               configuration.revision.value,
                               configuration.age,
                               static_cast<std::uint32_t>(this->daemons.count()),
                               configuration.evacuated};
}

auto GrantorRole::announce() -> void
{
    this->announceDue = this->now() + this->settings.announceEvery;
    const auto message = this->announcement();
    for (const auto &daemon : this->daemons.addresses()) {
        this->datagrams.push_back(PermitDatagram{daemon, message});
    }
}

auto GrantorRole::nextDue() const -> Instant
{
    const auto moment = this->now();
    // Counted from the last advance, so that a busy daemon doesn't postpone it for ever.
    auto due = this->advancedAt + idleAdvanceEvery;
    if (const auto next = this->election.nextDue()) {
        due = std::min(due, *next);
    }
    if (this->handoversLeft > 0) {
        due = std::min(due, this->handoverDue);
    }
    if (this->serving) {
        if (const auto next = this->broker->nextDue(this->advancedAt)) {
            due = std::min(due, *next);
        }
        due = std::min({due, this->announceDue, this->heldUntil.value_or(due)});
        if (this->quarantine->hasNotices(moment)) {
            due = std::min(due, this->suspectNoticeDue);
        }
    }
    if (this->ranges && this->isRecordAdopted) {
        due = std::min(
            {due, this->ranges->nextDue(this->advancedAt), this->planDue, this->orderEndsDue});
    }
    return std::max(due, moment + Duration{500});
}

auto GrantorRole::takeDatagrams() -> std::vector<PermitDatagram>
{
    return std::exchange(this->datagrams, {});
}

auto GrantorRole::limitedUpstreamCount() const -> std::uint64_t
{
    const auto statuses = this->broker->upstreamStatuses(this->now());
    return static_cast<std::uint64_t>(
        std::count_if(statuses.begin(), statuses.end(), [](const auto &each) {
            return each.requestLimit.isLimited() && !each.isCold;
        }));
}

auto GrantorRole::coldUpstreamCount() const -> std::uint64_t
{
    const auto statuses = this->broker->upstreamStatuses(this->now());
    return static_cast<std::uint64_t>(std::count_if(statuses.begin(), statuses.end(),
                                                    [](const auto &each) { return each.isCold; }));
}

auto GrantorRole::setWarmUpRate(double perSecond) -> void
{
    this->spec.warmUpPerSecond = perSecond;
    this->updateWarmUpRate(this->now());
}

auto GrantorRole::updateWarmUpRate(Instant moment) -> void
{
    const auto share = this->hasAuthority(moment) ? 1.0 : shareWithoutAuthority;
    this->broker->setWarmUpRate(share * this->spec.warmUpPerSecond, moment);
}

auto GrantorRole::movedKeys() const -> std::uint64_t
{
    return this->ranges ? this->ranges->movedKeys() : 0;
}

auto GrantorRole::call(const StoreCall &call, std::function<void(const StoreAnswer &)> done) -> void
{
    this->store(call, this->settings.storeTimeout,
                [done = std::move(done),
                 watcher = std::weak_ptr<bool>(this->alive)](const StoreAnswer &answer) {
                    if (!watcher.expired()) {
                        done(answer);
                    }
                });
}

auto GrantorRole::log(LogLevel level, LogLine &line) -> void
{
    line.with("daemon", this->settings.daemon.value);
    this->logger.write(level, line.text());
}

} // namespace gooseberrywall
