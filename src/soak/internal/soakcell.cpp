#include "soak/soakcell.h"

#include "http1/messagewriter.h"
#include "soak/internal/soakconfiguration.h"
#include "soak/peerprocess.h"
#include "testing/freeaddress.h"

#include <algorithm>
#include <csignal>
#include <event2/event.h>
#include <fstream>
#include <utility>

namespace gooseberrywall {

namespace {

using std::chrono::milliseconds;

constexpr Duration tickInterval = milliseconds{5};
constexpr int upstreamCount = 6;
constexpr int shardedUpstreamCount = 4;
/// Consecutive requests that must be served for the cell to count as recovered.
constexpr int consecutiveServedForRecovery = 40;
constexpr std::size_t daemonFaultKinds = 4;
constexpr std::size_t faultKinds = 10;
/// Requests that end earlier than this didn't end by their deadline of one second.
constexpr Duration shortestDeadline = milliseconds{900};
/// In runs with planned stops only, some requests are long.
constexpr Duration longServiceTime = milliseconds{250};

/// @returns whether the status tells the caller that its request is wrong; 408, 421 and 429 tell
/// that it hasn't run
auto isTurnedAway(int status) -> bool
{
    const auto isPromise = status == 408 || status == 421 || status == 429;
    return status >= 300 && status < 500 && !isPromise;
}

} // namespace

SoakCell::SoakCell(SoakSettings settings)
    : settings(std::move(settings))
    , random(this->settings.seed)
    , storeAddress(freeAddress())
    , store(this->loop.base(), this->storeAddress, monotonicNow)
    , storeProxy(this->loop.base(), this->storeAddress)
    , cuts(this->upstreamProxies, static_cast<std::size_t>(this->settings.daemons),
           this->settings.seed)
    , callers(this->loop.base(), OutboundPoolSettings{}, monotonicNow)
    , tick(this->loop.base(), [this] { this->onTick(); })
{
    this->store.start();
    for (auto index = 0; index < upstreamCount; ++index) {
        KeyedUpstreamStub::Settings upstream;
        upstream.id = "u" + std::to_string(index);
        upstream.isSharded = index < shardedUpstreamCount;
        upstream.service = upstream.isSharded ? "keyed" : "plain";
        upstream.listen = freeAddress();
        const auto isSlow = this->settings.hasOnlyStops && index % 2 == 1;
        upstream.serviceTime = isSlow ? longServiceTime : Duration{milliseconds{15}};
        this->upstreamProxies.push_back(std::make_unique<FaultProxy>(
            this->loop.base(), upstream.listen,
            [this](int descriptor) { return this->daemonOf(descriptor); }));
        upstream.advertisedAddress = this->upstreamProxies.back()->address();
        this->upstreams.push_back(std::make_unique<KeyedUpstreamStub>(this->loop.base(), upstream,
                                                                      monotonicNow, this->runs));
        this->upstreams.back()->start();
        this->store.put(this->upstreams.back()->storeKey(), this->upstreams.back()->entry(false));
    }
    if (this->settings.hasLeaves) {
        this->lives = std::make_unique<UpstreamLives>(
            this->upstreams, this->store,
            [this](const std::string &request) -> std::optional<UpstreamLives::Origin> {
                const auto found = this->sent.find(request);
                return found == this->sent.end() ? std::nullopt
                                                 : std::optional(UpstreamLives::Origin{
                                                     found->second.daemon, found->second.sentAt});
            },
            this->settings.seed);
    }
    this->putConfiguration(this->version);
    for (auto index = 0; index < this->settings.daemons; ++index) {
        this->daemons.push_back(
            std::make_unique<DaemonProcess>(this->settings.program, this->writeSettings(index)));
        this->daemons.back()->start();
    }
    this->onTick();
}

auto SoakCell::run() -> SoakReport
{
    const std::vector<std::string> noViolations;
    this->isSending = true;
    if (!this->waitUntilServed(this->settings.recoveryTime)) {
        this->addViolation("the cell doesn't serve requests before the first fault");
        return this->report;
    }
    const auto end = monotonicNow() + this->settings.faultTime;
    while (monotonicNow() < end) {
        this->injectFault();
        this->runFor(milliseconds{200 + static_cast<int>(this->pick(1200))});
    }
    this->clearFaults();
    if (!this->waitUntilServed(this->settings.recoveryTime)) {
        this->addViolation("the cell doesn't serve requests after the faults were cleared");
    }
    this->isSending = false;
    this->runFor(std::chrono::seconds{3});
    this->checkRuns();
    for (const auto &violation : this->cuts.violations()) {
        this->addViolation(violation);
    }
    for (const auto &violation : this->lives ? this->lives->violations() : noViolations) {
        this->addViolation(violation);
    }
    for (const auto &daemon : this->daemons) {
        if (!daemon->isRunning() || daemon->unexpectedExits() > 0) {
            this->addViolation("a daemon exited without a signal from the soak");
        }
    }
    return this->report;
}

auto SoakCell::runFor(Duration time) -> void
{
    const auto end = monotonicNow() + time;
    const timeval step{0, 2000};
    while (monotonicNow() < end) {
        event_base_loopexit(this->loop.base(), &step);
        event_base_loop(this->loop.base(), EVLOOP_ONCE);
    }
}

auto SoakCell::waitUntilServed(Duration limit) -> bool
{
    const auto end = monotonicNow() + limit;
    this->consecutiveServed = 0;
    while (this->consecutiveServed < consecutiveServedForRecovery && monotonicNow() < end) {
        this->runFor(milliseconds{20});
    }
    return this->consecutiveServed >= consecutiveServedForRecovery;
}

auto SoakCell::writeSettings(int index) -> std::string
{
    auto name = this->settings.folder + "/daemon-" + std::to_string(index) + ".ini";
    this->callerAddresses.push_back(freeAddress());
    std::ofstream file(name);
    file << "[daemon]\nid = d" << index << "\nfailure_domain = north-" << index % 3 + 1
         << "\ncaller_listen = " << this->callerAddresses.back().value
         << "\nready_listen = " << freeAddress().value << "\npeer_listen = " << freeAddress().value
         << "\nmetrics_listen = " << freeAddress().value
         << "\n[store]\naddress = " << this->storeProxy.address().value
         << "\n[retries]\nratio = 0.2\nextra = 100\n[log]\nlines_per_second = 1000\n";
    return name;
}

auto SoakCell::putConfiguration(int newVersion) -> void
{
    this->store.put("op/config", soakConfiguration(newVersion));
}

auto SoakCell::injectFault() -> void
{
    if (this->settings.hasOnlyCuts) {
        if (const auto change = this->cuts.advance(monotonicNow()); !change.empty()) {
            this->addFault(change);
        }
        return;
    }
    if (this->lives) {
        this->injectLeave();
        return;
    }
    const auto kind = this->settings.hasOnlyStops ? daemonFaultKinds - 1 : this->pick(faultKinds);
    const auto upstream = this->pick(this->upstreamProxies.size());
    auto &proxy = *this->upstreamProxies[upstream];
    const auto mode = static_cast<FaultProxy::Mode>(this->pick(FaultProxy::linkModes));
    if (kind >= daemonFaultKinds && this->settings.hasAnswerFaults && this->pick(2) == 0) {
        this->injectAnswerFault(upstream);
        return;
    }
    if (kind < daemonFaultKinds) {
        this->injectDaemonFault(static_cast<int>(kind));
        return;
    }
    this->addFault("fault " + std::to_string(kind));
    switch (kind) {
    case 4:
        proxy.setMode(mode);
        return;
    case 5:
        proxy.reset();
        return;
    case 6:
        this->storeProxy.setMode(mode);
        return;
    case 7:
        this->storeProxy.reset();
        return;
    case 8:
        this->store.setMode(static_cast<KvStoreMode>(this->pick(5)));
        return;
    default:
        this->putConfiguration(++this->version);
        this->store.compact();
        return;
    }
}

auto SoakCell::injectLeave() -> void
{
    constexpr std::size_t kinds = 10;
    constexpr Duration outageTime = std::chrono::seconds{3};
    constexpr Duration stableTime = std::chrono::seconds{3};
    constexpr auto stopFault = static_cast<int>(daemonFaultKinds) - 1;
    const auto now = monotonicNow();
    switch (this->pick(kinds)) {
    case 0:
        this->setStoreMode(this->pick(2) == 0 ? KvStoreMode::Refusing : KvStoreMode::Silent);
        this->storeOutageEnd = now + outageTime;
        return;
    case 1:
        this->injectDaemonFault(stopFault - 1);
        return;
    case 2:
        this->injectDaemonFault(stopFault);
        return;
    case 3:
        this->keepOrRestoreStore();
        return;
    default:
        const auto isStable = !this->storeOutageEnd && now - this->storeFaultAt >= stableTime;
        if (const auto begun = this->lives->begin(isStable, now); !begun.empty()) {
            this->addFault(begun);
        }
        return;
    }
}

auto SoakCell::keepOrRestoreStore() -> void
{
    if (!std::exchange(this->hasStoreCopy, !this->hasStoreCopy)) {
        this->store.keepCopy();
        return;
    }
    this->addFault("store restored");
    this->store.restoreCopy();
    this->putConfiguration(++this->version);
    this->lives->writeEntries();
    this->storeFaultAt = monotonicNow();
}

auto SoakCell::setStoreMode(KvStoreMode mode) -> void
{
    this->addFault("store mode " + std::to_string(static_cast<int>(mode)));
    this->store.setMode(mode);
    this->storeFaultAt = monotonicNow();
}

auto SoakCell::advanceLeaves() -> void
{
    const auto now = monotonicNow();
    if (this->storeOutageEnd && now >= *this->storeOutageEnd) {
        this->storeOutageEnd.reset();
        this->setStoreMode(KvStoreMode::Normal);
    }
    if (this->storeOutageEnd) {
        this->storeFaultAt = now;
    }
    this->lives->onStoreFault(this->storeFaultAt);
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        if (!this->daemons[index]->isUndisturbed()) {
            this->lives->onDaemonFault(index, now);
        }
    }
    this->lives->advance(now);
}

auto SoakCell::injectAnswerFault(std::size_t upstream) -> void
{
    const auto mode = static_cast<FaultProxy::Mode>(
        FaultProxy::linkModes + this->pick(FaultProxy::allModes - FaultProxy::linkModes));
    this->addFault("answer fault " + std::to_string(static_cast<int>(mode)));
    for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
        if (mode == FaultProxy::Mode::Twice || index == upstream) {
            this->upstreamProxies[index]->setMode(mode);
            this->upstreams[index]->setMode(KeyedUpstreamMode::OftenFull);
        }
    }
}

auto SoakCell::injectDaemonFault(int kind) -> void
{
    auto &daemon = *this->daemons[this->pick(this->daemons.size())];
    this->addFault("daemon fault " + std::to_string(kind));
    switch (kind) {
    case 0:
        daemon.signal(SIGSTOP);
        return;
    case 1:
        daemon.signal(SIGCONT);
        return;
    case 2:
        daemon.signal(SIGCONT);
        daemon.signal(SIGKILL);
        return;
    default:
        daemon.signal(SIGCONT);
        daemon.signal(SIGTERM);
        return;
    }
}

auto SoakCell::clearFaults() -> void
{
    this->cuts.clear(monotonicNow());
    if (this->lives) {
        this->lives->clear(monotonicNow());
    }
    this->storeOutageEnd.reset();
    this->store.setMode(KvStoreMode::Normal);
    this->storeProxy.setMode(FaultProxy::Mode::Pass);
    for (const auto &proxy : this->upstreamProxies) {
        proxy->setMode(FaultProxy::Mode::Pass);
    }
    for (const auto &upstream : this->upstreams) {
        upstream->setMode(KeyedUpstreamMode::Normal);
    }
    for (const auto &daemon : this->daemons) {
        daemon->signal(SIGCONT);
    }
}

auto SoakCell::onTick() -> void
{
    this->tick.set(monotonicNow() + tickInterval);
    this->store.tick();
    this->checkOwners();
    if (this->lives) {
        this->advanceLeaves();
    }
    for (const auto &daemon : this->daemons) {
        if (!daemon->isRunning()) {
            daemon->start();
        }
    }
    const auto gap = std::chrono::duration<double>(1 / this->settings.requestsPerSecond);
    if (this->isSending && monotonicNow() >= this->nextSend) {
        this->nextSend = monotonicNow() + std::chrono::duration_cast<Duration>(gap);
        this->sendRequest();
    }
}

auto SoakCell::sendRequest() -> void
{
    const auto id = "s" + std::to_string(this->nextRequest++);
    const auto isKeyed = this->pick(2) == 0;
    SentRequest entry;
    entry.sentAt = monotonicNow();
    entry.isIdempotent = isKeyed;
    entry.path = std::string(isKeyed ? "/keyed/" : "/plain/") + id;
    MessageHead head;
    head.method = isKeyed ? "GET" : "PUT";
    head.target = entry.path;
    head.headers = {{"Host", "h.example"}, {"Request-Id", id}, {"Deadline-Ms", "1000"}};
    if (isKeyed) {
        head.headers.push_back({"Shard-Key", std::to_string(this->pick(65536))});
    }
    const auto daemon = this->pick(this->callerAddresses.size());
    entry.daemon = daemon;
    entry.firstTry = this->cuts.classify(daemon, entry.sentAt);
    this->sent[id] = entry;
    ++this->report.sent;
    OutboundRequest request;
    request.address = this->callerAddresses[daemon];
    request.text = requestText(head, isKeyed ? "" : "body", {});
    request.timeout = std::chrono::seconds{2};
    this->callers.send(std::move(request),
                       [this, id](const OutboundResult &result) { this->onAnswer(id, result); });
}

auto SoakCell::onAnswer(const std::string &id, const OutboundResult &result) -> void
{
    auto &entry = this->sent[id];
    const auto status = result.end == OutboundResult::End::Answered ? result.answer.head.status : 0;
    if (this->lives && status != 0) {
        this->lives->onAnswer(entry.daemon, result.answer.head, monotonicNow());
    }
    this->cuts.onEnd(entry.firstTry, status == 200);
    this->consecutiveServed = status == 200 ? this->consecutiveServed + 1 : 0;
    if (status == 200) {
        ++this->report.served;
        const auto *echoed = result.answer.head.find("Request-Id");
        const auto isOwn =
            echoed != nullptr && *echoed == id && result.answer.body.ends_with(" to " + entry.path);
        if (!isOwn) {
            this->addViolation(id + " got the answer to another request");
        }
    } else if (status == 503) {
        ++this->report.refused;
        entry.isRefused = true;
    } else {
        ++this->report.unknown;
        if (isTurnedAway(status)) {
            this->addViolation(id + " was turned away with status " + std::to_string(status));
        }
        entry.isCut = monotonicNow() - entry.sentAt < shortestDeadline;
        const auto *signature = result.answer.head.find("Server-Signature");
        entry.failedBy = status == 500 && signature != nullptr ? *signature : std::string{};
    }
}

auto SoakCell::checkOwners() -> void
{
    constexpr int sampledKeys = 32;
    for (auto key = 0; key < 65536; key += 65536 / sampledKeys) {
        const auto owners = std::count_if(this->upstreams.begin(), this->upstreams.end(),
                                          [&](const auto &each) { return each->ownsKey(key); });
        if (owners > 1) {
            this->addViolation("key " + std::to_string(key) + " has two owners");
        }
    }
}

auto SoakCell::isEndedByHold(const std::string &id, const SentRequest &entry) const -> bool
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto &upstream) {
        return upstream->signature() == entry.failedBy && upstream->hasEndedByHold(id);
    });
}

auto SoakCell::checkRuns() -> void
{
    std::map<std::string, int> counts;
    for (const auto &run : this->runs) {
        ++counts[run.request];
    }
    for (const auto &[id, entry] : this->sent) {
        const auto runCount = counts.contains(id) ? counts[id] : 0;
        if (!entry.isIdempotent && runCount > 1) {
            this->addViolation(id + " is not idempotent and ran " + std::to_string(runCount)
                               + " times");
        }
        if (this->settings.hasOnlyStops && entry.isCut && runCount > 0
            && !this->isEndedByHold(id, entry)) {
            this->addViolation(id + " ran and was cut off by a planned stop");
        }
        if (!entry.isIdempotent && entry.isRefused && runCount > 0) {
            this->addViolation(id + " was refused as not run, but ran");
        }
    }
}

auto SoakCell::daemonOf(int descriptor) const -> int
{
    std::vector<pid_t> processes;
    for (const auto &daemon : this->daemons) {
        processes.push_back(daemon->processId());
    }
    const auto process = peerProcess(descriptor, processes);
    const auto found = std::find(processes.begin(), processes.end(), process);
    return process == 0 || found == processes.end() ? FaultProxy::unknownClient
                                                    : static_cast<int>(found - processes.begin());
}

auto SoakCell::addViolation(const std::string &what) -> void
{
    constexpr std::size_t violationLimit = 20;
    if (this->report.violations.size() < violationLimit) {
        this->report.violations.push_back(what);
    }
}

auto SoakCell::addFault(const std::string &what) -> void
{
    const auto now = std::chrono::duration_cast<milliseconds>(monotonicNow() - this->startedAt);
    this->report.faults.push_back(std::to_string(now.count()) + " ms: " + what);
}

auto SoakCell::pick(std::size_t count) -> std::size_t
{
    return static_cast<std::size_t>(this->random() % count);
}

} // namespace gooseberrywall
