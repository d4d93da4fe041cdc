#pragma once

#include "insight/types/countersnapshot.h"

#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace gooseberrywall {

class LatencyHistogram;

/// Counts the ends and retries of requests by service, caller label and reason. The number of
/// counters is limited: beyond the limit, service and caller are counted under the name "other".
class Counters
{
public:
    /// @param maximalSeries limit on the number of counters; latencies have a limit of their own
    explicit Counters(std::size_t maximalSeries = 4096);
    ~Counters();
    Counters(const Counters &) = delete;
    Counters(Counters &&) = delete;
    auto operator=(const Counters &) -> Counters & = delete;
    auto operator=(Counters &&) -> Counters & = delete;

    /// @param latency from the request's arrival to its answer
    auto countAnswer(const ServiceName &service, const CallerId &caller, Duration latency) -> void;
    auto countRefusal(const ServiceName &service, const CallerId &caller, Reason reason) -> void;
    auto countUnknownOutcome(const ServiceName &service, const CallerId &caller, Reason reason)
        -> void;
    auto countRetry(const ServiceName &service, const CallerId &caller, Reason reason) -> void;
    /// Counts the status of an answer to a caller, by who has decided on it.
    auto countStatus(AnswerOrigin origin, int status) -> void;

    [[nodiscard]] auto snapshot() const -> CounterSnapshot;

private:
    auto count(CounterKey key) -> void;
    auto histogramOf(const ServiceName &service) -> LatencyHistogram &;

    std::size_t maximalSeries;
    std::map<CounterKey, std::uint64_t> counts;
    std::map<ServiceName, std::unique_ptr<LatencyHistogram>> latencies;
    std::map<std::pair<AnswerOrigin, int>, std::uint64_t> statuses;
};

} // namespace gooseberrywall
