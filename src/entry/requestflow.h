#pragma once

#include "entry/directchoice.h"
#include "entry/permitclient.h"
#include "entry/recentforwarders.h"
#include "entry/types/flowmessages.h"
#include "entry/upstreamreach.h"
#include "entry/upstreamstatements.h"
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
    /// An attempt in progress is aborted this long after its answer was due, because the answer may
    /// be on its way.
    Duration answerGrace = std::chrono::milliseconds{80};
    /// Retry-After where neither a grantor nor an upstream is known; half of it after a failed
    /// attempt.
    Duration defaultRetryAfter = std::chrono::milliseconds{200};
    /// A request for which neither a grantor nor an upstream is known waits about as long as an
    /// election takes, but at most half of its remaining time.
    Duration grantorWaitLimit = std::chrono::milliseconds{700};
    /// How often a waiting request asks for a permit again.
    Duration grantorRetryEvery = std::chrono::milliseconds{40};
    /// After such a wait has failed, no other request starts to wait for this time.
    Duration grantorWaitPause = std::chrono::seconds{2};
    /// How long an attempt may last, in multiples of its route's target latency, where the daemon
    /// is about to stop and the request's own end comes after that.
    int expectedTargets = 4;
    /// The same for requests that aren't repeatable, whose callers can't try again where they are
    /// cut off.
    int expectedTargetsOnce = 8;
    /// Permits that can't be used are returned this often for one request.
    int heldPermitLimit = 5;
    auto operator==(const RequestFlowSettings &) const -> bool = default;
};

/// When the daemon stops.
struct FlowStop
{
    /// Requests that are still at an upstream are ended then.
    Instant lastAnswerAt;
    /// Requests that arrive from then on are sent only if they surely end before `lastAnswerAt`.
    Instant certainFrom;
    auto operator==(const FlowStop &) const -> bool = default;
};

/// Log, counters and histograms in which RequestFlow records its decisions.
struct FlowRecords
{
    RequestLog &log;
    Counters &counters;
    StageHistograms &stages;
};

/// Decides the next step of each request at its entry daemon: permit, attempt, retry, answer or
/// refusal. A request that isn't repeatable is retried only where it is certain that it hasn't run.
/// Does no I/O; the time is passed in.
class RequestFlow
{
public:
    /// @param reach tells whether this VM reaches the upstreams itself
    RequestFlow(RequestFlowSettings settings, PermitClient &permits, DirectChoice &direct,
                UpstreamStatements &statements, UpstreamReach &reach, FlowRecords records);

    /// Starts a request by asking for a permit; refuses it where its deadline has passed.
    auto begin(FlowRequest request, Instant now) -> void;
    /// Handles the result of a permit request; an unexpected permit is returned.
    auto onPermit(const PermitResult &result, Instant now) -> void;
    /// Delivers the answer, retries the request, or ends it.
    auto onAttemptEnd(const FlowAttemptEnd &end, Instant now) -> void;
    /// Cancels the request of a caller that has disconnected. An attempt that isn't repeatable runs
    /// to its end.
    auto onCallerGone(ExchangeId exchange, Instant now) -> void;
    /// Announces that this daemon stops. Requests that would still be at an upstream then are
    /// refused instead of being sent.
    auto stopAt(FlowStop stop) -> void { this->stop = stop; }
    /// Refuses all requests that aren't at an upstream, because this daemon is about to stop.
    auto refuseWaiting(Instant now) -> void;
    /// Ends requests that are at an upstream, with an unknown outcome, because this daemon stops
    /// now and their connections with it.
    auto endSent(Instant now) -> void;
    /// Ends requests whose time is up, and asks again for the permits of waiting ones.
    auto advance(Instant now) -> void;

    /// @returns the commands to execute since the last call
    [[nodiscard]] auto takeCommands() -> std::vector<FlowCommand>;
    /// @returns when advance() has to be called next; empty where no request is open
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;
    [[nodiscard]] auto openCount() const -> std::size_t { return this->flows.size(); }
    /// @returns how many times a request was sent without a grantor's permit
    [[nodiscard]] auto directSendCount() const -> std::uint64_t { return this->directSends; }
    /// @returns how many times a request was sent through another daemon
    [[nodiscard]] auto forwardedCount() const -> std::uint64_t { return this->forwardedSends; }
    /// @returns how many times a request was held back from an upstream that leaves
    [[nodiscard]] auto heldByLeavingCount() const -> std::uint64_t { return this->heldByLeaving; }
    /// @returns how many times a request was held back from an upstream that wants a pause
    [[nodiscard]] auto heldByPauseCount() const -> std::uint64_t { return this->heldByPause; }

private:
    struct Flow
    {
        FlowRequest request;
        Instant arrivedAt;
        Instant timeoutAt;
        /// The earlier of the route's timeout and the caller's deadline.
        Instant answerDue;
        /// When the route's target latency has passed since the caller's first try.
        Instant targetAt;
        std::vector<UpstreamId> avoid;
        /// Upstreams whose permits were returned, because they want no requests.
        std::vector<UpstreamId> held;
        int heldPermits = 0;
        std::optional<PermitId> permit;
        UpstreamId upstream;
        Address address;
        Incarnation incarnation;
        /// The daemon that forwards the attempt; empty where this one sends it itself.
        Address forwarder;
        /// Attempts that a forwarder didn't send on.
        std::size_t failedForwards = 0;
        Instant askedAt;
        Instant sentAt;
        /// Since when the request has been waiting for a grantor.
        std::optional<Instant> grantorWaitSince;
        /// When a waiting request asks for a permit again.
        std::optional<Instant> grantorRetryAt;
        int attempts = 0;
        bool isSent = false;
        bool isDirect = false;
        bool mayHaveRun = false;
        /// The last attempt ended with a server error; it is delivered where no retry follows.
        bool hasErrorAnswer = false;
        /// The caller has disconnected, and the attempt runs to its end.
        bool isAbandoned = false;
    };

    /// @returns until when the request may be sent; empty where it ends by itself before the stop
    [[nodiscard]] auto sendLimit(const Flow &flow) const -> std::optional<Instant>;
    [[nodiscard]] auto isTooLateToSend(const Flow &flow, Instant now) const -> bool;
    template<typename Condition>
    auto refuseWaitingIf(Condition condition, Instant now) -> void;
    /// Refuses requests that aren't at an upstream and can't end any more before the stop.
    auto refuseTooLate(Instant now) -> void;
    /// Estimates how long ago the caller first sent a request that it may be retrying: callers keep
    /// one deadline over their retries, so a timeout below the route's longest means earlier tries.
    /// @returns zero where the caller gives no timeout
    [[nodiscard]] auto timeSinceFirstTry(const FlowRequest &request, Instant now) -> Duration;
    auto askPermit(Flow &flow, bool isRetry, Instant now) -> void;
    /// Sends the request without a permit, lets it wait for a grantor, or refuses it.
    auto proceedWithoutGrantor(Flow &flow, Instant now) -> void;
    [[nodiscard]] auto mayWaitForGrantor(const Flow &flow, Instant now) const -> bool;
    auto retryPermits(Instant now) -> void;
    auto send(Flow &flow, const PermitVerdict &verdict, Instant now) -> void;
    /// Returns a permit by which this VM would have to reach the upstream itself although it is
    /// isolated, and asks for another one or refuses the request.
    /// @returns false where the request may be sent with the permit
    auto exchangeForForwarder(Flow &flow, const PermitVerdict &verdict, Instant now) -> bool;
    /// Sends a request without a permit, through a forwarder where this VM is isolated.
    auto sendWithoutGrantor(Flow &flow, PermitVerdict verdict, Instant now) -> void;
    /// After the VM's links were lost, sends repeatable requests anew whose attempts hang.
    auto leaveLostLinks(Instant now) -> void;
    /// Takes in how an attempt ended on the way that it was sent.
    auto noteWay(const Flow &flow, AttemptEnd end, Instant now) -> void;
    /// Returns a permit for an upstream that wants no requests, and asks for another one or refuses
    /// the request.
    /// @returns false where the request may be sent with the permit
    auto holdBack(Flow &flow, const PermitVerdict &verdict, Instant now) -> bool;
    auto countHeld(const Flow &flow, const UpstreamId &upstream, Reason reason, Instant now)
        -> void;
    /// Returns a permit that wasn't used, with what its upstream is known to have stated.
    auto returnUnused(const PermitId &permit, const PermitVerdict &verdict,
                      const std::optional<SendHold> &hold) -> void;
    /// Takes in what an answer states on further requests.
    auto noteStatements(const Flow &flow, const FlowAttemptEnd &end, Instant now) -> void;
    auto logStatements() -> void;
    /// @returns the time for which the only upstream that may run the request wants none; empty
    ///          where another one may run it
    [[nodiscard]] auto pauseOfOwner(const Flow &flow, Instant now) -> std::optional<Duration>;
    /// Returns the attempt's permit and records how the attempt ended; the request stays open.
    auto endAttempt(Flow &flow, const FlowAttemptEnd &end, Instant now) -> void;
    /// Aborts the attempt in progress, and ends the request with an unknown outcome.
    auto abortAttempt(Flow &flow, Reason reason, Instant now) -> void;
    auto retryOrEnd(Flow &flow, AttemptEnd end, Instant now) -> void;
    /// Ends a request that no attempt has answered successfully: delivers the upstream's server
    /// error where there is one, and refuses the request otherwise.
    auto failRequest(Flow &flow, Reason reason, std::optional<Duration> retryAfter, Instant now)
        -> void;
    auto deliver(const Flow &flow, Instant now) -> void;
    auto finish(ExchangeId exchange) -> void;
    auto recordStage(const Flow &flow, RequestStage stage, Duration duration) -> void;
    [[nodiscard]] auto permitRequest(const Flow &flow, bool isRetry, Instant now) const
        -> PermitRequest;
    /// @returns a line to be completed; empty where the request isn't logged
    auto logLine(const Flow &flow, const char *event, bool isUnusual, Instant now) const
        -> std::optional<LogLine>;

    RequestFlowSettings settings;
    PermitClient &permits;
    DirectChoice &direct;
    UpstreamStatements &statements;
    UpstreamReach &reach;
    FlowRecords records;
    /// The longest timeout that a route's callers have given, and when.
    struct CallerTimeout
    {
        Duration longest{0};
        Instant seenAt;
    };

    std::map<ExchangeId, Flow> flows;
    /// By the route's name.
    std::map<std::string, CallerTimeout> callerTimeouts;
    std::vector<FlowCommand> commands;
    std::uint64_t directSends = 0;
    std::uint64_t forwardedSends = 0;
    RecentForwarders forwarders;
    /// UpstreamReach::isolationCount() as of the last loss of links that was handled.
    std::uint64_t handledIsolations = 0;
    std::optional<FlowStop> stop;
    std::uint64_t heldByLeaving = 0;
    std::uint64_t heldByPause = 0;
    /// When a wait for a grantor last failed.
    std::optional<Instant> waitFailedAt;
};

} // namespace gooseberrywall
