#include "dispatch/tests/brokertrial.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr int slots = 3;
constexpr Duration tick = std::chrono::milliseconds{20};
const ServiceName service{"service"};

auto upstreamId(std::size_t index) -> UpstreamId
{
    return UpstreamId{"u" + std::to_string(index)};
}

} // namespace

BrokerTrial::BrokerTrial(std::uint64_t seed, std::vector<double> speeds,
                         std::vector<TrialClass> classes)
    : random(seed)
    , speeds(std::move(speeds))
    , slowness(this->speeds.size(), 1.0)
    , classes(std::move(classes))
    , results(this->classes.size())
    , arrivals(this->speeds.size(), 0)
    , running(this->speeds.size(), 0)
    , broker(service, false, SlotBrokerSettings{}, RetryWindowSettings{}, seed)
{
    std::vector<UpstreamEntry> entries;
    for (std::size_t index = 0; index < this->speeds.size(); ++index) {
        UpstreamEntry entry;
        entry.id = upstreamId(index);
        entry.service = service;
        entry.slots = slots;
        entries.push_back(entry);
    }
    this->broker.setUpstreams(entries, this->now);
    for (std::size_t kind = 0; kind < this->classes.size(); ++kind) {
        this->scheduleArrival(kind);
    }
    this->events.push(Event{this->now + tick, Event::Kind::Tick});
}

auto BrokerTrial::scheduleArrival(std::size_t kind) -> void
{
    std::exponential_distribution<double> gap(std::max(0.001, this->classes[kind].perSecond));
    const auto request = this->nextRequest++;
    const auto at = this->now + Duration{static_cast<std::int64_t>(gap(this->random) * 1e6)};
    this->callers[request] = Caller{kind, at, false};
    this->events.push(Event{at, Event::Kind::Arrive, request});
}

auto BrokerTrial::setRate(std::size_t index, double perSecond) -> void
{
    this->classes.at(index).perSecond = perSecond;
}

auto BrokerTrial::setSlowness(std::size_t upstream, double factor) -> void
{
    this->slowness.at(upstream) = factor;
}

auto BrokerTrial::resetCounts() -> void
{
    std::fill(this->results.begin(), this->results.end(), TrialCount{});
    std::fill(this->arrivals.begin(), this->arrivals.end(), 0);
}

auto BrokerTrial::run(Duration time) -> void
{
    const auto end = this->now + time;
    while (!this->events.empty() && this->events.top().at <= end) {
        const auto event = this->events.top();
        this->events.pop();
        this->now = event.at;
        if (event.kind == Event::Kind::Tick) {
            this->broker.advance(this->now);
            this->events.push(Event{this->now + tick, Event::Kind::Tick});
        } else if (event.kind == Event::Kind::End) {
            this->onEnd(event);
        } else {
            const auto caller = this->callers.at(event.request);
            if (!caller.isReturning) {
                ++this->results[caller.kind].asked;
                this->scheduleArrival(caller.kind);
            }
            PermitRequest request;
            request.id = PermitId{Address{"entry"}, 1, event.request};
            request.service = service;
            const auto &kind = this->classes[caller.kind];
            request.priority = kind.priority;
            request.remaining = caller.first + kind.deadline - this->now;
            request.untilTarget = caller.first + kind.target - this->now;
            this->askedAt[event.request] = this->now;
            this->broker.ask(request, this->now);
        }
        this->takeVerdicts();
    }
    this->now = end;
}

auto BrokerTrial::takeVerdicts() -> void
{
    for (const auto &issued : this->broker.takeVerdicts()) {
        const auto request = issued.id.sequence;
        const auto caller = this->callers.at(request);
        const auto &kind = this->classes[caller.kind];
        if (issued.verdict.kind == PermitVerdict::Kind::Granted) {
            const auto index =
                static_cast<std::size_t>(std::stoi(issued.verdict.upstream.value.substr(1)));
            this->results[caller.kind].waited += this->now - this->askedAt.at(request);
            ++this->arrivals[index];
            ++this->running[index];
            this->worstOver = std::max(this->worstOver, this->running[index] - slots);
            std::lognormal_distribution<double> factor(-0.045, 0.3);
            const auto slow = this->slowness[index];
            const auto work = static_cast<double>(kind.work.count()) * factor(this->random)
                              * std::max(1.0, slow) / this->speeds[index];
            const auto at = slow == 0 ? caller.first + kind.deadline
                                      : this->now + Duration{static_cast<std::int64_t>(work)};
            this->events.push(Event{at, Event::Kind::End, request, index});
        } else if (issued.verdict.kind == PermitVerdict::Kind::Refused) {
            auto &result = this->results[caller.kind];
            ++result.refusals;
            result.held += this->now - this->askedAt.at(request);
            const auto left = caller.first + kind.deadline - this->now;
            const auto comesAt = this->now + std::min(issued.verdict.retryAfter, left / 3);
            if (kind.comesBack && !caller.isReturning && left > Duration{0}) {
                const auto again = this->nextRequest++;
                this->callers[again] = Caller{caller.kind, caller.first, true};
                this->events.push(Event{comesAt, Event::Kind::Arrive, again});
            } else {
                ++result.refused;
            }
        }
    }
}

auto BrokerTrial::onEnd(const Event &event) -> void
{
    const auto caller = this->callers.at(event.request);
    const auto &kind = this->classes[caller.kind];
    --this->running[event.upstream];
    const auto isAnswered =
        this->slowness[event.upstream] != 0 && this->now < caller.first + kind.deadline;
    PermitReport report;
    report.id = PermitId{Address{"entry"}, 1, event.request};
    report.service = service;
    report.upstream = upstreamId(event.upstream);
    report.end = isAnswered ? AttemptEnd::Answered : AttemptEnd::NoAnswer;
    report.latency = this->now - this->askedAt.at(event.request);
    auto &result = this->results[caller.kind];
    if (isAnswered) {
        const auto isInTarget = this->now <= caller.first + kind.target;
        result.inTarget += isInTarget ? 1 : 0;
        result.late += isInTarget ? 0 : 1;
    }
    this->broker.report(report, this->now);
}

} // namespace gooseberrywall
