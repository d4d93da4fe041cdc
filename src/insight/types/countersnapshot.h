#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/reason.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywall {

/// What a counter counts: one of the three ends of requests, or retries.
enum class CountedEvent : std::uint8_t { Answered, Refused, Unknown, Retried };

/// @returns the name of the event in metrics and JSON, such as "answered"
[[nodiscard]] auto toString(CountedEvent event) -> std::string;

/// Identifies one counter.
struct CounterKey
{
    ServiceName service;
    CallerId caller;
    CountedEvent event = CountedEvent::Answered;
    Reason reason = Reason::None;

    auto operator<=>(const CounterKey &) const = default;
};

/// One counter's value since the start of the daemon.
struct CounterSample
{
    CounterKey key;
    std::uint64_t count = 0;

    auto operator==(const CounterSample &) const -> bool = default;
};

/// Distribution of the time from a request's arrival to its answer, since the start of the daemon.
struct LatencySample
{
    ServiceName service;
    std::uint64_t count = 0;
    Duration sum{0};
    Duration maximum{0};
    /// Estimates of the 50th, 90th, 99th and 99.9th percentile.
    Duration p50{0};
    Duration p90{0};
    Duration p99{0};
    Duration p999{0};

    auto operator==(const LatencySample &) const -> bool = default;
};

/// Who has decided on the status of an answer to a caller.
enum class AnswerOrigin : std::uint8_t {
    /// The callers' listener, of a request that it couldn't or wouldn't read.
    Listener,
    /// The route table: no route matches.
    Routes,
    /// The daemon, of a request that has a route.
    Daemon,
    /// An upstream that has signed its answer.
    Upstream,
    /// Whoever answered at the upstream's address, without a signature.
    Unsigned,
};

/// @returns the name of the origin in metrics, such as "routes"
[[nodiscard]] auto toString(AnswerOrigin origin) -> std::string;

/// How many answers callers got with one status from one origin.
struct AnswerSample
{
    AnswerOrigin origin = AnswerOrigin::Daemon;
    int status = 0;
    std::uint64_t count = 0;

    auto operator==(const AnswerSample &) const -> bool = default;
};

/// All counters at one moment, sorted by key, for the metrics endpoint.
struct CounterSnapshot
{
    std::vector<CounterSample> counters;
    std::vector<AnswerSample> answers;
    std::vector<LatencySample> latencies;

    auto operator==(const CounterSnapshot &) const -> bool = default;
};

} // namespace gooseberrywall
