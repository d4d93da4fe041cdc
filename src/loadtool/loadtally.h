#pragma once

#include "common/types/instant.h"
#include "loadtool/types/callend.h"
#include "loadtool/types/plannedrequest.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrywall {

/// Latencies of answered requests, measured from their planned send times.
struct LatencySummary
{
    Duration p50{0};
    Duration p90{0};
    Duration p99{0};
    Duration p999{0};
    Duration longest{0};
    auto operator==(const LatencySummary &) const -> bool = default;
};

/// A period in which requests for a key waited or failed and none was answered.
struct Unavailability
{
    Key key;
    Duration start{0};
    /// The part of the period in which requests were known to wait or fail.
    Duration atLeast{0};
    /// From the start to the next answer. It exceeds `atLeast` by the time without any request.
    Duration atMost{0};
    auto operator==(const Unavailability &) const -> bool = default;
};

/// Counts how the requests of a load run ended. Times are relative to the start of the run.
class LoadTally
{
public:
    /// Adds the end of a request.
    /// @param endedAt the time of the end
    auto add(const PlannedRequest &request, Duration endedAt, const CallEnd &end) -> void;

    /// Adds the result of an outcome query for an unresolved request.
    auto addOutcomeQuery(const PlannedRequest &request, const CallEnd &end) -> void;

    /// Counts one resend of a request.
    auto addResend() -> void { this->resendCount += 1; }

    [[nodiscard]] auto total() const -> std::uint64_t;
    [[nodiscard]] auto count(CallEndKind kind) const -> std::uint64_t;
    /// @returns the number of outcome queries that ended with the kind
    [[nodiscard]] auto outcomeQueries(CallEndKind kind) const -> std::uint64_t;

    /// @returns the non-idempotent requests of which the caller doesn't know whether they have run
    [[nodiscard]] auto unresolved() const -> const std::vector<PlannedRequest> &
    {
        return this->unresolvedRequests;
    }

    [[nodiscard]] auto resends() const -> std::uint64_t { return this->resendCount; }

    /// @returns the number of ends other than answers, by "kind/reason", or "kind" without a reason
    [[nodiscard]] auto reasons() const -> const std::map<std::string, std::uint64_t> &
    {
        return this->reasonCounts;
    }

    [[nodiscard]] auto latencies() const -> LatencySummary;

    /// @param now the end of the period for keys that are still not served
    /// @returns the period with the longest `atLeast`, where the latency of an answer counts too;
    ///          nothing if there was no request
    [[nodiscard]] auto longestUnavailability(Duration now) const -> std::optional<Unavailability>;

    /// @returns how each request ended, with the results of outcome queries
    [[nodiscard]] auto ends() const -> const std::unordered_map<RequestId, CallEndKind> &
    {
        return this->endsById;
    }

private:
    struct KeyState
    {
        Duration lastAnswer{0};
        /// Start of the first request that failed since the last answer.
        std::optional<Duration> failingSince;
        /// End of the last request that failed since the last answer.
        Duration failingUntil{0};
    };

    auto addAnswer(const PlannedRequest &request, Duration endedAt) -> void;
    auto addFailure(const PlannedRequest &request, Duration endedAt, const CallEnd &end) -> void;

    std::array<std::uint64_t, callEndKinds> counts{};
    std::array<std::uint64_t, callEndKinds> outcomeQueryCounts{};
    std::vector<PlannedRequest> unresolvedRequests;
    std::map<std::string, std::uint64_t> reasonCounts;
    std::vector<Duration> answerLatencies;
    std::unordered_map<RequestId, CallEndKind> endsById;
    std::unordered_map<Key, KeyState> keys;
    std::optional<Unavailability> longest;
    std::uint64_t resendCount = 0;
};

} // namespace gooseberrywall
