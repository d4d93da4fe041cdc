#include "dispatch/tests/brokersimulation.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr int slots = 3;
constexpr std::size_t keyCount = 65536;
constexpr Duration tick = std::chrono::milliseconds{20};
const ServiceName service{"service"};

auto upstreamId(std::size_t index) -> UpstreamId
{
    return UpstreamId{"u" + std::to_string(index)};
}

} // namespace

BrokerSimulation::BrokerSimulation(std::uint64_t seed, std::vector<double> speeds,
                                   std::vector<RequestClass> classes, bool isSharded)
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
    , isSharded(isSharded)
    , seed(seed)
{
    this->setUpBroker();
    for (std::size_t classIndex = 0; classIndex < this->classes.size(); ++classIndex) {
        this->scheduleArrival(classIndex);
    }
    this->events.push(Event{this->now + tick, Event::Kind::Tick});
}

auto BrokerSimulation::setUpBroker() -> void
{
    this->broker = std::make_unique<SlotBroker>(service, this->isSharded, SlotBrokerSettings{},
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
    this->callers[request] = Caller{classIndex, at, false, key};
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
            const auto caller = this->callers.at(event.request);
            if (!caller.isRetry) {
                ++this->results[caller.classIndex].asked;
                this->scheduleArrival(caller.classIndex);
            }
            PermitRequest request;
            request.id = PermitId{Address{"entry"}, 1, event.request};
            request.service = service;
            const auto &requestClass = this->classes[caller.classIndex];
            if (this->isSharded) {
                request.key = caller.key;
            }
            request.priority = requestClass.priority;
            request.remaining = caller.arrivedAt + requestClass.deadline - this->now;
            request.untilTarget = caller.arrivedAt + requestClass.target - this->now;
            this->askedAt[event.request] = this->now;
            this->broker->ask(request, this->now);
        }
        this->takeVerdicts();
    }
    this->now = end;
}

auto BrokerSimulation::takeVerdicts() -> void
{
    for (const auto &issued : this->broker->takeVerdicts()) {
        const auto request = issued.id.sequence;
        const auto caller = this->callers.at(request);
        const auto &requestClass = this->classes[caller.classIndex];
        if (issued.verdict.kind == PermitVerdict::Kind::Granted) {
            // An entry daemon ignores a repeated verdict while it uses the permit.
            if (!this->granted.insert(request).second) {
                continue;
            }
            const auto index =
                static_cast<std::size_t>(std::stoi(issued.verdict.upstream.value.substr(1)));
            this->results[caller.classIndex].grantedWait += this->now - this->askedAt.at(request);
            ++this->sentRequests[index];
            this->onSent(index);
            ++this->running[index];
            this->worstOvercommit = std::max(this->worstOvercommit, this->running[index] - slots);
            std::lognormal_distribution<double> factor(-0.045, 0.3);
            const auto slow = this->slowdowns[index];
            const auto work = static_cast<double>(requestClass.work.count()) * factor(this->random)
                              * std::max(1.0, slow) / this->speeds[index];
            const auto at = slow == 0 ? caller.arrivedAt + requestClass.deadline
                                      : this->now + Duration{static_cast<std::int64_t>(work)};
            this->events.push(Event{at, Event::Kind::End, request, index});
        } else if (issued.verdict.kind == PermitVerdict::Kind::Refused) {
            auto &result = this->results[caller.classIndex];
            ++result.refusals;
            result.refusedWait += this->now - this->askedAt.at(request);
            const auto remaining = caller.arrivedAt + requestClass.deadline - this->now;
            const auto retryAt = this->now + std::min(issued.verdict.retryAfter, remaining / 3);
            if (requestClass.retriesOnce && !caller.isRetry && remaining > Duration{0}) {
                const auto retry = this->nextRequest++;
                this->callers[retry] =
                    Caller{caller.classIndex, caller.arrivedAt, true, caller.key};
                this->events.push(Event{retryAt, Event::Kind::Arrive, retry});
            } else {
                ++result.refused;
            }
        }
    }
}

auto BrokerSimulation::onEnd(const Event &event) -> void
{
    const auto caller = this->callers.at(event.request);
    const auto &requestClass = this->classes[caller.classIndex];
    --this->running[event.upstream];
    const auto isAnswered = this->slowdowns[event.upstream] != 0
                            && this->now < caller.arrivedAt + requestClass.deadline;
    PermitReport report;
    report.id = PermitId{Address{"entry"}, 1, event.request};
    report.service = service;
    report.upstream = upstreamId(event.upstream);
    report.end = isAnswered ? AttemptEnd::Answered : AttemptEnd::NoAnswer;
    report.latency = this->now - this->askedAt.at(event.request);
    if (isAnswered) {
        report.requestLimit = this->limits[event.upstream];
    }
    auto &result = this->results[caller.classIndex];
    if (isAnswered) {
        const auto isInTarget = this->now <= caller.arrivedAt + requestClass.target;
        result.inTarget += isInTarget ? 1 : 0;
        result.late += isInTarget ? 0 : 1;
    }
    this->broker->report(report, this->now);
}

} // namespace gooseberrywall
