#pragma once

#include "entry/directchoice.h"
#include "entry/permitclient.h"
#include "entry/types/flowmessages.h"
#include "insight/counters.h"
#include "insight/stagehistograms.h"
#include "logging/requestlog.h"

#include <map>
#include <optional>
#include <vector>

namespace gooseberrywall {

struct RequestFlowSettings
{
    FailureDomain domain;
    /// After a route's timeout, an answer on its way is waited for this long.
    Duration answerGrace = std::chrono::milliseconds{80};
    /// Retry-After where no grantor and no upstream is known.
    Duration defaultRetryAfter = std::chrono::milliseconds{200};
    /// Without a grantor and without an upstream known, a request is kept for as long as an
    /// election takes, at most half of its time, and tried this often.
    Duration grantorWaitLimit = std::chrono::milliseconds{700};
    Duration grantorRetryEvery = std::chrono::milliseconds{40};
    /// Once that was in vain, others aren't kept for this time.
    Duration grantorWaitPause = std::chrono::seconds{2};
    auto operator==(const RequestFlowSettings &) const -> bool = default;
};

/// Where a flow's decisions are recorded.
struct FlowRecords
{
    RequestLog &log;
    Counters &counters;
    StageHistograms &stages;
};

/// Decides what happens to each request at its entry daemon: permit, attempt, further attempt,
/// answer or refusal. A request that isn't repeatable is sent again only where it surely hasn't
/// run. Without input or output; time is passed in.
class RequestFlow
{
public:
    RequestFlow(RequestFlowSettings settings, PermitClient &permits, DirectChoice &direct,
                FlowRecords records);

    auto begin(FlowRequest request, Instant now) -> void;
    auto onPermit(const PermitResult &result, Instant now) -> void;
    auto onAttemptEnd(const FlowAttemptEnd &end, Instant now) -> void;
    /// The caller has left.
    auto onCallerGone(ExchangeId exchange, Instant now) -> void;
    auto advance(Instant now) -> void;

    [[nodiscard]] auto takeCommands() -> std::vector<FlowCommand>;
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;
    [[nodiscard]] auto openCount() const -> std::size_t { return this->flows.size(); }
    /// @returns requests that were begun without a grantor's permit
    [[nodiscard]] auto directSendCount() const -> std::uint64_t { return this->directSends; }

private:
    struct Flow
    {
        FlowRequest request;
        Instant arrivedAt;
        Instant timeoutAt;
        /// The earlier of the route's timeout and the caller's deadline.
        Instant answerDue;
        /// When the route's target latency has passed, counted from the caller's first attempt.
        Instant targetAt;
        std::vector<UpstreamId> avoid;
        std::optional<PermitId> permit;
        UpstreamId upstream;
        Instant askedAt;
        Instant sentAt;
        /// Since when it is kept for want of a grantor, and when it is tried again.
        std::optional<Instant> grantorWaitSince;
        std::optional<Instant> grantorRetryAt;
        int attempts = 0;
        bool isSent = false;
        bool isDirect = false;
        bool mayHaveRun = false;
        /// An upstream's failure is kept in case no further attempt succeeds.
        bool hasFailureAnswer = false;
        bool isAbandoned = false;
    };

    /// @returns how long ago the caller first tried
    [[nodiscard]] auto timeSinceFirstTry(const FlowRequest &request, Instant now) -> Duration;
    auto askPermit(Flow &flow, bool isRetry, Instant now) -> void;
    /// Sends without a permit, keeps the request for a grantor, or refuses it.
    auto proceedWithoutGrantor(Flow &flow, Instant now) -> void;
    [[nodiscard]] auto mayWaitForGrantor(const Flow &flow, Instant now) const -> bool;
    auto retryPermits(Instant now) -> void;
    auto send(Flow &flow, const PermitVerdict &verdict, Instant now) -> void;
    /// Returns the attempt's permit and records how it ended; the request goes on.
    auto endAttempt(Flow &flow, const FlowAttemptEnd &end, Instant now) -> void;
    auto retryOrEnd(Flow &flow, AttemptEnd end, Instant now) -> void;
    auto failRequest(Flow &flow, Reason reason, std::optional<Duration> retryAfter, Instant now)
        -> void;
    auto deliver(const Flow &flow, Instant now) -> void;
    auto finish(ExchangeId exchange) -> void;
    auto recordStage(const Flow &flow, RequestStage stage, Duration duration) -> void;
    [[nodiscard]] auto permitRequest(const Flow &flow, bool isRetry, Instant now) const
        -> PermitRequest;
    auto logLine(const Flow &flow, const char *event, bool isUnusual, Instant now) const
        -> std::optional<LogLine>;

    RequestFlowSettings settings;
    PermitClient &permits;
    DirectChoice &direct;
    FlowRecords records;
    struct CallerTimeout
    {
        Duration longest{0};
        Instant seenAt;
    };

    std::map<ExchangeId, Flow> flows;
    /// The longest time that callers of each route wait: those who wait less have tried before.
    std::map<std::string, CallerTimeout> callerTimeouts;
    std::vector<FlowCommand> commands;
    std::uint64_t directSends = 0;
    /// When a request was last kept in vain.
    std::optional<Instant> waitFailedAt;
};

} // namespace gooseberrywall
