#include "insight/counters.h"

#include "insight/internal/latencyhistogram.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr auto overflowName = "other";
constexpr std::size_t maximalLatencySeries = 256;

} // namespace

Counters::Counters(std::size_t maximalSeries)
    : maximalSeries(maximalSeries)
{
}

Counters::~Counters() = default;

auto Counters::count(CounterKey key) -> void
{
    const auto known = this->counts.find(key);
    if (known != this->counts.end()) {
        ++known->second;
        return;
    }
    if (this->counts.size() >= this->maximalSeries) {
        key.service.value = overflowName;
        key.caller.value = overflowName;
    }
    ++this->counts[std::move(key)];
}

auto Counters::histogramOf(const ServiceName &service) -> LatencyHistogram &
{
    const auto known = this->latencies.find(service);
    if (known != this->latencies.end()) {
        return *known->second;
    }
    const bool full = this->latencies.size() >= maximalLatencySeries;
    auto &histogram = this->latencies[full ? ServiceName{overflowName} : service];
    if (!histogram) {
        histogram = std::make_unique<LatencyHistogram>();
    }
    return *histogram;
}

auto Counters::countAnswer(const ServiceName &service, const CallerId &caller, Duration latency)
    -> void
{
    this->count({service, caller, CountedEvent::Answered, Reason::None});
    this->histogramOf(service).add(latency);
}

auto Counters::countRefusal(const ServiceName &service, const CallerId &caller, Reason reason)
    -> void
{
    this->count({service, caller, CountedEvent::Refused, reason});
}

auto Counters::countUnknownOutcome(const ServiceName &service, const CallerId &caller,
                                   Reason reason) -> void
{
    this->count({service, caller, CountedEvent::Unknown, reason});
}

auto Counters::countRetry(const ServiceName &service, const CallerId &caller, Reason reason) -> void
{
    this->count({service, caller, CountedEvent::Retried, reason});
}

auto Counters::countStatus(AnswerOrigin origin, int status) -> void
{
    ++this->statuses[{origin, status}];
}

auto Counters::snapshot() const -> CounterSnapshot
{
    CounterSnapshot result;
    result.counters.reserve(this->counts.size());
    for (const auto &[key, count] : this->counts) {
        result.counters.push_back({key, count});
    }
    for (const auto &[key, count] : this->statuses) {
        result.answers.push_back({key.first, key.second, count});
    }
    for (const auto &[service, histogram] : this->latencies) {
        result.latencies.push_back(histogram->sample(service));
    }
    return result;
}

} // namespace gooseberrywall
