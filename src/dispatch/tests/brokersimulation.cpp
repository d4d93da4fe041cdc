#include "dispatch/tests/brokersimulation.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr int slots = 3;
constexpr std::size_t keyCount = 65536;
constexpr Duration tick = std::chrono::milliseconds{20};
/// A connection that can't be opened is given up after this time.
constexpr Duration connectTimeout = std::chrono::milliseconds{250};
constexpr Duration refusalTime = std::chrono::milliseconds{1};
/// A path is known as failed for at least this long after a failure.
constexpr Duration failedPathTime = std::chrono::milliseconds{900};
constexpr std::size_t domainCount = 3;
constexpr std::size_t maxConnectFailures = 3;
const ServiceName service{"service"};

auto upstreamId(std::size_t index) -> UpstreamId
{
    return UpstreamId{"u" + std::to_string(index)};
}

} // namespace

BrokerSimulation::BrokerSimulation(std::uint64_t seed, std::vector<double> speeds,
                                   std::vector<RequestClass> classes, bool isSharded,
                                   SlotBrokerSettings settings)
    : random(seed)
    , speeds(std::move(speeds))
    , slowdowns(this->speeds.size(), 1.0)
    , limits(this->speeds.size())
    , judgedSince(this->speeds.size())
    , recentSends(this->speeds.size())
    , classes(std::move(classes))
    , results(this->classes.size())
    , sentRequests(this->speeds.size(), 0)
    , running(this->speeds.size(), 0)
    , busyTimes(this->speeds.size(), Duration{0})
    , busyUntil(this->speeds.size())
    , isSharded(isSharded)
    , settings(settings)
    , seed(seed)
{
    this->resetCounts();
    this->setUpBroker();
    for (std::size_t classIndex = 0; classIndex < this->classes.size(); ++classIndex) {
        this->scheduleArrival(classIndex);
    }
    this->events.push(Event{this->now + tick, Event::Kind::Tick});
}

auto BrokerSimulation::setUpBroker() -> void
{
    this->broker = std::make_unique<SlotBroker>(service, this->isSharded, this->settings,
                                                RetryWindowSettings{}, this->seed);
    std::vector<UpstreamEntry> entries;
    std::vector<OwnedRange> owners;
    const auto count = this->speeds.size();
    for (std::size_t index = 0; index < this->speeds.size(); ++index) {
        UpstreamEntry entry;
        entry.id = upstreamId(index);
        entry.service = service;
        entry.slots = slots;
        entries.push_back(entry);
        OwnedRange owned;
        owned.keys = KeyRange{static_cast<KeyPosition>(keyCount * index / count),
                              static_cast<KeyPosition>(keyCount * (index + 1) / count - 1)};
        owned.owner = entry.id;
        owners.push_back(owned);
    }
    this->broker->setUpstreams(entries, this->now);
    if (this->isSharded) {
        this->broker->setOwners(owners, this->now);
    }
}

auto BrokerSimulation::replaceBroker() -> void
{
    this->setUpBroker();
}

auto BrokerSimulation::setVms(std::size_t count) -> void
{
    this->vms.clear();
    for (std::size_t index = 0; index < count; ++index) {
        const auto domain = index * domainCount / count;
        this->vms.push_back(Vm{Address{"10.0.0." + std::to_string(index) + ":7000"},
                               FailureDomain{"domain-" + std::to_string(domain)}});
    }
}

auto BrokerSimulation::loseLinks(std::size_t count, LostLinks kind, Duration statedAfter) -> void
{
    for (std::size_t index = 0; index < count; ++index) {
        this->vms.at(index).lostLinks = kind;
        this->vms.at(index).statesLossAt = this->now + statedAfter;
    }
}

auto BrokerSimulation::losePaths(double share) -> void
{
    std::bernoulli_distribution isLost(share);
    for (auto &vm : this->vms) {
        for (std::size_t upstream = 0; upstream < this->speeds.size(); ++upstream) {
            if (isLost(this->random)) {
                vm.lostPaths.insert(upstream);
            }
        }
    }
}

auto BrokerSimulation::restoreLinks() -> void
{
    for (auto &vm : this->vms) {
        vm.lostLinks.reset();
        vm.lostPaths.clear();
        vm.failedAt.clear();
    }
}

auto BrokerSimulation::firstTries(bool areLinksLost) const -> FirstTries
{
    FirstTries sum;
    for (const auto &vm : this->vms) {
        if (vm.lostLinks.has_value() == areLinksLost) {
            sum.asked += vm.firstTries.asked;
            sum.served += vm.firstTries.served;
            sum.unreachable += vm.firstTries.unreachable;
            sum.longestRefusal = std::max(sum.longestRefusal, vm.firstTries.longestRefusal);
        }
    }
    return sum;
}

auto BrokerSimulation::vmAt(const Address &address) const -> std::size_t
{
    const auto found = std::find_if(this->vms.begin(), this->vms.end(),
                                    [&](const Vm &vm) { return vm.address == address; });
    return static_cast<std::size_t>(found - this->vms.begin());
}

auto BrokerSimulation::setRequestLimit(std::size_t upstream, RequestLimit limit) -> void
{
    constexpr Duration firstReactionTime = std::chrono::seconds{3};
    constexpr Duration reactionTime = std::chrono::milliseconds{500};
    const auto isFirst = !this->judgedSince.at(upstream).has_value();
    const auto isLower = limit.perSecond < this->limits.at(upstream).perSecond;
    this->limits.at(upstream) = limit;
    if (isLower) {
        this->judgedSince.at(upstream) = this->now + (isFirst ? firstReactionTime : reactionTime);
    }
}

auto BrokerSimulation::onSent(std::size_t upstream) -> void
{
    constexpr Duration window = std::chrono::seconds{4};
    auto &sends = this->recentSends[upstream];
    sends.push_back(this->now);
    while (sends.front() <= this->now - window) {
        sends.pop_front();
    }
    const auto limit = this->limits[upstream];
    if (!limit.isLimited() || this->now < *this->judgedSince[upstream] + window) {
        return;
    }
    const auto allowed = 1.5 * limit.perSecond * 4 + 5;
    this->worstLimitExcess =
        std::max(this->worstLimitExcess, static_cast<double>(sends.size()) - allowed);
}

auto BrokerSimulation::scheduleArrival(std::size_t classIndex) -> void
{
    std::exponential_distribution<double> gap(std::max(0.001, this->classes[classIndex].perSecond));
    const auto request = this->nextRequest++;
    const auto at = this->now + Duration{static_cast<std::int64_t>(gap(this->random) * 1e6)};
    const auto key = static_cast<KeyPosition>(this->isSharded ? this->random() % keyCount : 0);
    const auto vm = this->vms.size() == 1 ? 0 : this->random() % this->vms.size();
    this->callers[request] = Caller{classIndex, at, false, key, vm};
    this->events.push(Event{at, Event::Kind::Arrive, request});
}

auto BrokerSimulation::setRate(std::size_t index, double perSecond) -> void
{
    this->classes.at(index).perSecond = perSecond;
}

auto BrokerSimulation::setSlowdown(std::size_t upstream, double factor) -> void
{
    this->slowdowns.at(upstream) = factor;
}

auto BrokerSimulation::resetCounts() -> void
{
    std::fill(this->results.begin(), this->results.end(), ClassCounts{});
    std::fill(this->sentRequests.begin(), this->sentRequests.end(), 0);
    for (auto &vm : this->vms) {
        vm.firstTries = FirstTries{};
    }
    std::fill(this->busyTimes.begin(), this->busyTimes.end(), Duration{0});
    std::fill(this->busyUntil.begin(), this->busyUntil.end(), this->now);
    this->countedSince = this->now;
    this->worstForwarded = 0;
    this->lostPathSends = 0;
    this->forwards = 0;
    this->abroadForwards = 0;
}

auto BrokerSimulation::addBusyTime(std::size_t upstream) -> void
{
    this->busyTimes[upstream] += this->running[upstream] * (this->now - this->busyUntil[upstream]);
    this->busyUntil[upstream] = this->now;
}

auto BrokerSimulation::utilisations() -> std::vector<double>
{
    std::vector<double> result;
    for (std::size_t upstream = 0; upstream < this->speeds.size(); ++upstream) {
        this->addBusyTime(upstream);
        result.push_back(static_cast<double>(this->busyTimes[upstream].count()) / slots
                         / static_cast<double>((this->now - this->countedSince).count()));
    }
    return result;
}

auto BrokerSimulation::run(Duration time) -> void
{
    const auto end = this->now + time;
    while (!this->events.empty() && this->events.top().at <= end) {
        const auto event = this->events.top();
        this->events.pop();
        this->now = event.at;
        if (event.kind == Event::Kind::Tick) {
            this->broker->advance(this->now);
            this->events.push(Event{this->now + tick, Event::Kind::Tick});
        } else if (event.kind == Event::Kind::End) {
            this->onEnd(event);
        } else {
            this->onArrival(event.request);
        }
        this->takeVerdicts();
    }
    this->now = end;
}

auto BrokerSimulation::onArrival(std::uint64_t request) -> void
{
    const auto caller = this->callers.at(request);
    if (!caller.isRetry) {
        this->scheduleArrival(caller.classIndex);
    }
    if (this->vms[caller.vm].isFrozen) {
        return;
    }
    if (!caller.isRetry) {
        ++this->results[caller.classIndex].asked;
        ++this->vms[caller.vm].firstTries.asked;
    }
    this->ask(request);
}

auto BrokerSimulation::ask(std::uint64_t id) -> void
{
    const auto &caller = this->callers.at(id);
    const auto &vm = this->vms[caller.vm];
    const auto &requestClass = this->classes[caller.classIndex];
    PermitRequest request;
    request.id = PermitId{vm.address, 1, id};
    request.service = service;
    request.domain = vm.domain;
    if (this->isSharded) {
        request.key = caller.key;
    }
    request.priority = requestClass.priority;
    request.remaining = caller.arrivedAt + requestClass.deadline - this->now;
    request.untilTarget = caller.arrivedAt + requestClass.target - this->now;
    request.avoid = caller.avoid;
    request.isIsolated = vm.lostLinks && vm.statesLossAt <= this->now;
    this->askedAt[id] = this->now;
    this->broker->ask(request, this->now);
}

auto BrokerSimulation::takeVerdicts() -> void
{
    for (const auto &issued : this->broker->takeVerdicts()) {
        if (issued.verdict.kind == PermitVerdict::Kind::Granted) {
            this->onGranted(issued);
        } else if (issued.verdict.kind == PermitVerdict::Kind::Refused) {
            this->onRefused(issued);
        }
    }
}

auto BrokerSimulation::onGranted(const IssuedVerdict &issued) -> void
{
    const auto request = issued.id.sequence;
    // An entry daemon ignores a repeated verdict while it uses the permit.
    if (!this->granted.insert(request).second) {
        return;
    }
    const auto &caller = this->callers.at(request);
    const auto index = static_cast<std::size_t>(std::stoi(issued.verdict.upstream.value.substr(1)));
    this->results[caller.classIndex].grantedWait += this->now - this->askedAt.at(request);
    ++this->sentRequests[index];
    this->onSent(index);
    this->addBusyTime(index);
    ++this->running[index];
    this->worstOvercommit = std::max(this->worstOvercommit, this->running[index] - slots);
    auto &vm = this->vms[caller.vm];
    if (issued.verdict.forwarder.empty()) {
        const auto failed = vm.failedAt.find(index);
        const auto isKnown =
            (vm.lostLinks && vm.statesLossAt <= this->now)
            || (failed != vm.failedAt.end() && this->now < failed->second + failedPathTime);
        this->lostPathSends += isKnown ? 1 : 0;
        this->events.push(this->attemptOf(vm, request, index));
        return;
    }
    const auto forwarderIndex = this->vmAt(issued.verdict.forwarder);
    auto &forwarder = this->vms.at(forwarderIndex);
    ++this->forwards;
    this->abroadForwards += forwarder.domain == vm.domain ? 0 : 1;
    this->worstForwarded = std::max(this->worstForwarded, ++forwarder.forwarding);
    auto end = this->attemptOf(forwarder, request, index);
    if (forwarder.isFrozen) {
        end.at = caller.arrivedAt + this->classes[caller.classIndex].deadline;
        end.end = AttemptEnd::NoAnswer;
    }
    end.isForwarded = true;
    end.forwarder = forwarderIndex;
    this->events.push(end);
}

auto BrokerSimulation::attemptOf(const Vm &sender, std::uint64_t request, std::size_t upstream)
    -> Event
{
    const auto &caller = this->callers.at(request);
    const auto &requestClass = this->classes[caller.classIndex];
    const auto dueAt = caller.arrivedAt + requestClass.deadline;
    Event end{this->now, Event::Kind::End, request, upstream};
    if (this->stopped.contains(upstream)) {
        end.at = this->now + refusalTime;
        end.end = AttemptEnd::NotSent;
        return end;
    }
    if (sender.lostPaths.contains(upstream)) {
        end.at = std::min(dueAt, this->now + connectTimeout);
        end.end = AttemptEnd::NotSent;
        return end;
    }
    const auto isPartly = sender.lostLinks == LostLinks::PartlyRefused
                          || sender.lostLinks == LostLinks::PartlyHanging;
    const auto isOnOpenConnection =
        sender.lostLinks == LostLinks::Hanging || (isPartly && this->random() % 2 == 0);
    const auto isHanging = isOnOpenConnection && sender.lostLinks != LostLinks::PartlyRefused
                           && this->now < sender.statesLossAt;
    if (isHanging) {
        end.at = dueAt;
        end.end = AttemptEnd::NoAnswer;
        return end;
    }
    if (sender.lostLinks && !(isOnOpenConnection && sender.lostLinks == LostLinks::PartlyRefused)) {
        const auto isTimeout =
            sender.lostLinks == LostLinks::ConnectTimeout || sender.lostLinks == LostLinks::Hanging;
        end.at = std::min(dueAt, this->now + (isTimeout ? connectTimeout : refusalTime));
        end.end = AttemptEnd::NotSent;
        return end;
    }
    std::lognormal_distribution<double> factor(-0.045, 0.3);
    const auto slow = this->slowdowns[upstream];
    const auto work = static_cast<double>(requestClass.work.count()) * factor(this->random)
                      * std::max(1.0, slow) / this->speeds[upstream];
    end.at = slow == 0 ? dueAt : this->now + Duration{static_cast<std::int64_t>(work)};
    end.end = slow == 0 || end.at >= dueAt ? AttemptEnd::NoAnswer : AttemptEnd::Answered;
    return end;
}

auto BrokerSimulation::onRefused(const IssuedVerdict &issued) -> void
{
    const auto caller = this->callers.at(issued.id.sequence);
    const auto &requestClass = this->classes[caller.classIndex];
    const auto wait = this->now - this->askedAt.at(issued.id.sequence);
    if (issued.verdict.reason == Reason::UpstreamUnreachable) {
        auto &tries = this->vms[caller.vm].firstTries;
        ++tries.unreachable;
        tries.longestRefusal = std::max(tries.longestRefusal, wait);
    }
    auto &result = this->results[caller.classIndex];
    ++result.refusals;
    result.refusedWait += wait;
    const auto remaining = caller.arrivedAt + requestClass.deadline - this->now;
    const auto retryAt = this->now + std::min(issued.verdict.retryAfter, remaining / 3);
    if (requestClass.retriesOnce && !caller.isRetry && remaining > Duration{0}) {
        const auto retry = this->nextRequest++;
        this->callers[retry] =
            Caller{caller.classIndex, caller.arrivedAt, true, caller.key, caller.vm};
        this->events.push(Event{retryAt, Event::Kind::Arrive, retry});
    } else {
        ++result.refused;
    }
}

auto BrokerSimulation::askAgain(const Caller &caller, std::size_t failedUpstream) -> void
{
    if (caller.avoid.size() >= maxConnectFailures
        || caller.arrivedAt + this->classes[caller.classIndex].deadline <= this->now) {
        return;
    }
    const auto request = this->nextRequest++;
    auto &next = this->callers[request] = caller;
    next.avoid.push_back(upstreamId(failedUpstream));
    this->ask(request);
}

auto BrokerSimulation::onEnd(const Event &event) -> void
{
    const auto isCutShort =
        event.end == AttemptEnd::Answered
        && (this->slowdowns[event.upstream] == 0 || this->stopped.contains(event.upstream));
    const auto attemptEnd = isCutShort ? AttemptEnd::NoAnswer : event.end;
    const auto caller = this->callers.at(event.request);
    const auto &requestClass = this->classes[caller.classIndex];
    PermitReport report;
    if (this->areLoadsReported && attemptEnd == AttemptEnd::Answered) {
        report.load = ReportedLoad{this->running[event.upstream], 0, slots,
                                   std::max(1.0, this->slowdowns[event.upstream])};
    }
    this->addBusyTime(event.upstream);
    --this->running[event.upstream];
    auto &vm = this->vms[caller.vm];
    report.id = PermitId{vm.address, 1, event.request};
    report.service = service;
    report.upstream = upstreamId(event.upstream);
    report.end = attemptEnd;
    report.latency = this->now - this->askedAt.at(event.request);
    if (event.isForwarded) {
        auto &forwarder = this->vms[event.forwarder];
        report.forwarder = forwarder.address;
        --forwarder.forwarding;
    } else if (attemptEnd == AttemptEnd::NotSent) {
        vm.failedAt[event.upstream] = this->now;
    }
    if (attemptEnd == AttemptEnd::Answered) {
        auto &sender = event.isForwarded ? this->vms[event.forwarder] : vm;
        if (sender.lostPaths.empty()) {
            sender.failedAt.clear();
        }
        report.requestLimit = this->limits[event.upstream];
        auto &result = this->results[caller.classIndex];
        result.responseTime += this->now - caller.arrivedAt;
        const auto isInTarget = this->now <= caller.arrivedAt + requestClass.target;
        result.inTarget += isInTarget ? 1 : 0;
        result.late += isInTarget ? 0 : 1;
        vm.firstTries.served += caller.isRetry ? 0 : 1;
    }
    this->broker->report(report, this->now);
    if (attemptEnd == AttemptEnd::NotSent) {
        this->askAgain(caller, event.upstream);
    }
}

} // namespace gooseberrywall
