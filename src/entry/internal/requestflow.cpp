#include "entry/requestflow.h"

#include "common/durations.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
/// A route's longest caller timeout is forgotten after this time, because callers may change.
constexpr Duration callerTimeoutMemory = std::chrono::seconds{30};

auto toText(AttemptEnd end) -> std::string_view
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::NotRun:
        return "not_run";
    case AttemptEnd::WrongOwner:
        return "wrong_owner";
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::NoAnswer:
        return "no_answer";
    case AttemptEnd::Unused:
        return "unused";
    }
    return "unused";
}

/// @returns the reason under which a retry after such an end is counted
auto retryReason(AttemptEnd end) -> Reason
{
    switch (end) {
    case AttemptEnd::NotSent:
        return Reason::ConnectionFailed;
    case AttemptEnd::WrongOwner:
        return Reason::OwnerChanged;
    case AttemptEnd::NotRun:
        return Reason::UpstreamShed;
    default:
        return Reason::AnswerLost;
    }
}

} // namespace

RequestFlow::RequestFlow(RequestFlowSettings settings, PermitClient &permits, DirectChoice &direct,
                         UpstreamStatements &statements, UpstreamReach &reach, FlowRecords records)
    : settings(std::move(settings))
    , permits(permits)
    , direct(direct)
    , statements(statements)
    , reach(reach)
    , records(records)
{
}

auto RequestFlow::begin(FlowRequest request, Instant now) -> void
{
    const auto exchange = request.exchange;
    Flow flow;
    flow.arrivedAt = now;
    flow.timeoutAt = now + request.route.timeout;
    flow.answerDue = flow.timeoutAt;
    if (request.callerTimeout) {
        flow.answerDue = std::min(flow.answerDue, now + *request.callerTimeout);
    }
    flow.targetAt = now + request.route.targetLatency - this->timeSinceFirstTry(request, now);
    flow.request = std::move(request);
    auto &placed = this->flows.emplace(exchange, std::move(flow)).first->second;
    if (auto line = this->logLine(placed, "request_admitted", false, now)) {
        this->records.log.write(line->with("route", placed.request.route.name)
                                    .with("service", placed.request.service.value)
                                    .with("due_ms", toMilliseconds(placed.answerDue - now)));
    }
    if (placed.answerDue <= now) {
        this->failRequest(placed, Reason::DeadlinePassed, std::nullopt, now);
        return;
    }
    if (this->isTooLateToSend(placed, now)) {
        this->failRequest(placed, Reason::ShuttingDown, this->settings.defaultRetryAfter, now);
        return;
    }
    this->askPermit(placed, false, now);
}

auto RequestFlow::timeSinceFirstTry(const FlowRequest &request, Instant now) -> Duration
{
    if (!request.callerTimeout) {
        return Duration{0};
    }
    auto &known = this->callerTimeouts[request.route.name];
    if (*request.callerTimeout >= known.longest || now - known.seenAt > callerTimeoutMemory) {
        known = CallerTimeout{*request.callerTimeout, now};
    }
    return known.longest - *request.callerTimeout;
}

auto RequestFlow::askPermit(Flow &flow, bool isRetry, Instant now) -> void
{
    flow.askedAt = now;
    flow.permit =
        this->permits.ask(flow.request.exchange, this->permitRequest(flow, isRetry, now), now);
}

auto RequestFlow::permitRequest(const Flow &flow, bool isRetry, Instant now) const -> PermitRequest
{
    PermitRequest request;
    request.request = flow.request.id;
    request.service = flow.request.service;
    request.domain = this->settings.domain;
    request.priority = flow.request.route.priority;
    request.remaining = flow.answerDue - now;
    request.untilTarget = flow.targetAt - now;
    request.key = flow.request.key;
    request.fingerprint = flow.request.fingerprint;
    request.isRetry = isRetry;
    request.avoid = flow.avoid;
    request.avoid.insert(request.avoid.end(), flow.held.begin(), flow.held.end());
    request.isIsolated = this->reach.isIsolated();
    return request;
}

auto RequestFlow::onPermit(const PermitResult &result, Instant now) -> void
{
    const auto found = this->flows.find(result.exchange);
    const auto isExpected =
        found != this->flows.end() && !found->second.isSent && found->second.permit == result.id;
    if (!isExpected) {
        if (result.verdict && result.verdict->kind == PermitVerdict::Kind::Granted) {
            this->returnUnused(result.id, *result.verdict, std::nullopt);
        }
        return;
    }
    auto &flow = found->second;
    this->recordStage(flow, RequestStage::Permit, now - flow.askedAt);
    if (result.queuedFor > Duration{0}) {
        this->recordStage(flow, RequestStage::Queue, result.queuedFor);
    }
    if (!result.verdict) {
        flow.permit.reset();
        this->proceedWithoutGrantor(flow, now);
        return;
    }
    if (result.verdict->kind == PermitVerdict::Kind::Refused) {
        flow.permit.reset();
        this->failRequest(flow, result.verdict->reason, result.verdict->retryAfter, now);
        return;
    }
    this->direct.onGranted(flow.request.service, *result.verdict);
    if (this->isTooLateToSend(flow, now)) {
        flow.permit.reset();
        this->returnUnused(result.id, *result.verdict, std::nullopt);
        this->failRequest(flow, Reason::ShuttingDown, this->settings.defaultRetryAfter, now);
        return;
    }
    if (this->holdBack(flow, *result.verdict, now)
        || this->exchangeForForwarder(flow, *result.verdict, now)) {
        return;
    }
    flow.isDirect = false;
    this->send(flow, *result.verdict, now);
}

auto RequestFlow::proceedWithoutGrantor(Flow &flow, Instant now) -> void
{
    // A retry draws on the grantor's retry budget, so it isn't sent without a permit.
    const auto verdict = flow.attempts > 0
                             ? std::nullopt
                             : this->direct.choose(this->permitRequest(flow, false, now), now);
    if (verdict && verdict->kind == PermitVerdict::Kind::Refused) {
        this->heldByPause += verdict->reason == Reason::UpstreamPaused ? 1 : 0;
        this->failRequest(flow, verdict->reason, verdict->retryAfter, now);
        return;
    }
    if (verdict) {
        this->sendWithoutGrantor(flow, *verdict, now);
        return;
    }
    if (this->mayWaitForGrantor(flow, now)) {
        if (auto line = this->logLine(flow, "request_kept", !flow.grantorWaitSince, now)) {
            this->records.log.write(line->with("reason", toString(Reason::GrantorUnreachable))
                                        .with("service", flow.request.service.value)
                                        .with("due_ms", toMilliseconds(flow.answerDue - now)));
        }
        flow.grantorWaitSince = flow.grantorWaitSince.value_or(now);
        flow.grantorRetryAt = now + this->settings.grantorRetryEvery;
        return;
    }
    if (flow.grantorWaitSince) {
        this->waitFailedAt = now;
    }
    this->failRequest(flow, Reason::GrantorUnreachable, this->settings.defaultRetryAfter, now);
}

auto RequestFlow::mayWaitForGrantor(const Flow &flow, Instant now) const -> bool
{
    const auto isWaitPaused =
        this->waitFailedAt && now - *this->waitFailedAt < this->settings.grantorWaitPause;
    const auto since = flow.grantorWaitSince.value_or(now);
    const auto longest =
        std::min(this->settings.grantorWaitLimit, Duration{(flow.answerDue - since) / 2});
    return !isWaitPaused && now + this->settings.grantorRetryEvery <= since + longest;
}

auto RequestFlow::retryPermits(Instant now) -> void
{
    for (auto &[exchange, flow] : this->flows) {
        if (flow.grantorRetryAt && *flow.grantorRetryAt <= now) {
            flow.grantorRetryAt.reset();
            this->askPermit(flow, flow.attempts > 0, now);
        }
    }
}

auto RequestFlow::send(Flow &flow, const PermitVerdict &verdict, Instant now) -> void
{
    flow.isSent = true;
    flow.sentAt = now;
    flow.upstream = verdict.upstream;
    flow.address = verdict.address;
    flow.incarnation = verdict.incarnation;
    flow.forwarder = verdict.forwarder;
    if (flow.forwarder.empty()) {
        this->reach.onSent(flow.address, now);
    } else {
        ++this->forwardedSends;
        this->forwarders.onNamed(flow.forwarder, now);
    }
    this->direct.onSent(verdict.upstream, now);
    this->statements.onSent(verdict.upstream, verdict.incarnation, now);
    if (auto line = this->logLine(flow, "request_sent", flow.isDirect, now)) {
        this->records.log.write(line->with("upstream", verdict.upstream.value)
                                    .with("way", flow.isDirect ? "direct" : "permit")
                                    .with("forwarder", flow.forwarder.value)
                                    .with("attempt", flow.attempts + 1));
    }
    const auto wasHeld =
        std::find(flow.held.begin(), flow.held.end(), verdict.upstream) != flow.held.end();
    this->commands.emplace_back(FlowSend{flow.request.exchange, verdict.upstream, verdict.address,
                                         std::max(Duration{1000}, flow.answerDue - now),
                                         verdict.incarnation, verdict.forwarder, wasHeld});
}

auto RequestFlow::onAttemptEnd(const FlowAttemptEnd &end, Instant now) -> void
{
    const auto found = this->flows.find(end.exchange);
    if (found == this->flows.end() || !found->second.isSent) {
        return;
    }
    auto &flow = found->second;
    this->endAttempt(flow, end, now);
    if (flow.isAbandoned) {
        this->finish(end.exchange);
        return;
    }
    if (end.end != AttemptEnd::Answered) {
        this->retryOrEnd(flow, end.end, now);
        return;
    }
    const auto isLate = now > flow.targetAt;
    if (auto line = this->logLine(flow, "request_answered", isLate, now)) {
        this->records.log.write(line->with("late", isLate ? "yes" : "no")
                                    .with("service", flow.request.service.value)
                                    .with("upstream", flow.upstream.value)
                                    .with("queued_ms", toMilliseconds(flow.sentAt - flow.arrivedAt))
                                    .with("attempts", flow.attempts + 1));
    }
    this->deliver(flow, now);
    this->finish(end.exchange);
}

auto RequestFlow::endAttempt(Flow &flow, const FlowAttemptEnd &end, Instant now) -> void
{
    flow.isSent = false;
    this->noteWay(flow, end.end, now);
    if (end.end == AttemptEnd::Answered) {
        this->direct.onAnswered(flow.request.service, flow.upstream, end.load, now - flow.sentAt,
                                now);
    }
    if (end.requestLimit) {
        this->direct.onLimitStated(flow.upstream, *end.requestLimit, flow.sentAt, now);
    }
    this->noteStatements(flow, end, now);
    this->recordStage(flow, RequestStage::Upstream, now - flow.sentAt);
    if (flow.permit) {
        PermitReport report;
        report.id = *flow.permit;
        report.service = flow.request.service;
        report.upstream = flow.upstream;
        report.end = end.end;
        report.latency = now - flow.sentAt;
        report.load = end.load;
        report.requestLimit = end.requestLimit;
        report.isLeaving = end.isLeaving;
        report.pause = end.pause;
        report.leaveHint = end.leaveHint;
        report.forwarder = flow.forwarder;
        this->permits.report(report);
        flow.permit.reset();
    }
    const auto isUnusual = end.end != AttemptEnd::Answered;
    if (auto line = this->logLine(flow, "attempt_ended", isUnusual, now)) {
        this->records.log.write(line->with("upstream", flow.upstream.value)
                                    .with("end", toText(end.end))
                                    .with("attempt_ms", toMilliseconds(now - flow.sentAt)));
    }
}

auto RequestFlow::retryOrEnd(Flow &flow, AttemptEnd end, Instant now) -> void
{
    const auto isSurelyNotRun =
        end == AttemptEnd::NotRun || end == AttemptEnd::WrongOwner || end == AttemptEnd::NotSent;
    if (end == AttemptEnd::NotSent && !flow.forwarder.empty()) {
        ++flow.failedForwards;
    } else {
        flow.avoid.push_back(flow.upstream);
    }
    if (end != AttemptEnd::NotSent) {
        ++flow.attempts;
    }
    flow.hasErrorAnswer = end == AttemptEnd::Failed;
    flow.mayHaveRun = flow.mayHaveRun || !isSurelyNotRun;
    const auto mayRepeat = flow.request.route.isIdempotent || isSurelyNotRun;
    const auto hasAttemptsLeft = flow.attempts < flow.request.route.maximalAttempts;
    // Failed connections aren't counted as attempts, but each costs time.
    const auto hasTriesLeft = flow.avoid.size() + flow.failedForwards
                              < static_cast<std::size_t>(flow.request.route.maximalAttempts) + 2;
    if (!mayRepeat || !hasAttemptsLeft || !hasTriesLeft || now >= flow.answerDue) {
        const auto reason = isSurelyNotRun ? Reason::UpstreamShed : Reason::AnswerLost;
        this->failRequest(flow, reason, this->settings.defaultRetryAfter / 2, now);
        return;
    }
    if (const auto pause =
            end == AttemptEnd::NotRun ? this->pauseOfOwner(flow, now) : std::nullopt) {
        this->failRequest(flow, Reason::UpstreamPaused, pause, now);
        return;
    }
    this->records.counters.countRetry(flow.request.service, CallerId{flow.request.route.name},
                                      retryReason(end));
    this->askPermit(flow, flow.attempts > 0, now);
}

auto RequestFlow::failRequest(Flow &flow, Reason reason, std::optional<Duration> retryAfter,
                              Instant now) -> void
{
    const auto exchange = flow.request.exchange;
    if (flow.hasErrorAnswer) {
        this->deliver(flow, now);
    } else {
        const auto isLate = now >= flow.answerDue;
        auto status = flow.mayHaveRun ? statusBadGateway : statusUnavailable;
        if (flow.mayHaveRun && isLate) {
            status = statusTimeout;
        }
        if (auto line = this->logLine(flow, "request_refused", true, now)) {
            this->records.log.write(line->with("status", status)
                                        .with("reason", toString(reason))
                                        .with("attempts", flow.attempts));
        }
        const CallerId route{flow.request.route.name};
        if (flow.mayHaveRun) {
            this->records.counters.countUnknownOutcome(flow.request.service, route, reason);
        } else {
            this->records.counters.countRefusal(flow.request.service, route, reason);
        }
        this->recordStage(flow, RequestStage::Total, now - flow.arrivedAt);
        this->commands.emplace_back(
            FlowRefuse{exchange, status, reason, flow.mayHaveRun ? std::nullopt : retryAfter});
    }
    this->finish(exchange);
}

auto RequestFlow::onCallerGone(ExchangeId exchange, Instant now) -> void
{
    const auto found = this->flows.find(exchange);
    if (found == this->flows.end()) {
        return;
    }
    auto &flow = found->second;
    if (auto line = this->logLine(flow, "caller_gone", false, now)) {
        this->records.log.write(line->with("sent", flow.isSent ? "yes" : "no"));
    }
    if (!flow.isSent) {
        this->permits.cancel(exchange);
        this->finish(exchange);
        return;
    }
    if (!flow.request.route.isIdempotent) {
        // An attempt that may not be repeated runs to its end; its answer is discarded.
        flow.isAbandoned = true;
        return;
    }
    this->commands.emplace_back(FlowAbort{exchange});
    this->endAttempt(flow, FlowAttemptEnd{exchange, AttemptEnd::Unused, std::nullopt, std::nullopt},
                     now);
    this->finish(exchange);
}

auto RequestFlow::advance(Instant now) -> void
{
    this->leaveLostLinks(now);
    std::vector<ExchangeId> due;
    for (const auto &[exchange, flow] : this->flows) {
        const auto grace = flow.isSent ? this->settings.answerGrace : Duration{0};
        if (flow.answerDue + grace <= now) {
            due.push_back(exchange);
        }
    }
    for (const auto exchange : due) {
        auto &flow = this->flows.at(exchange);
        this->permits.cancel(exchange);
        if (flow.isSent) {
            this->abortAttempt(flow, Reason::DeadlinePassed, now);
            continue;
        }
        this->failRequest(flow, Reason::DeadlinePassed, std::nullopt, now);
    }
    this->refuseTooLate(now);
    this->retryPermits(now);
    this->statements.advance(now);
    this->logStatements();
}

auto RequestFlow::abortAttempt(Flow &flow, Reason reason, Instant now) -> void
{
    const auto exchange = flow.request.exchange;
    flow.mayHaveRun = true;
    this->commands.emplace_back(FlowAbort{exchange});
    this->endAttempt(
        flow, FlowAttemptEnd{exchange, AttemptEnd::NoAnswer, std::nullopt, std::nullopt}, now);
    if (flow.isAbandoned) {
        this->finish(exchange);
        return;
    }
    this->failRequest(flow, reason, std::nullopt, now);
}

auto RequestFlow::deliver(const Flow &flow, Instant now) -> void
{
    this->records.counters.countAnswer(flow.request.service, CallerId{flow.request.route.name},
                                       now - flow.arrivedAt);
    this->recordStage(flow, RequestStage::Total, now - flow.arrivedAt);
    this->commands.emplace_back(FlowDeliver{flow.request.exchange});
}

auto RequestFlow::recordStage(const Flow &flow, RequestStage stage, Duration duration) -> void
{
    this->records.stages.add(flow.request.route.name, stage, duration);
}

auto RequestFlow::finish(ExchangeId exchange) -> void
{
    this->flows.erase(exchange);
}

auto RequestFlow::takeCommands() -> std::vector<FlowCommand>
{
    return std::exchange(this->commands, {});
}

auto RequestFlow::nextDue() const -> std::optional<Instant>
{
    std::optional<Instant> due;
    for (const auto &[exchange, flow] : this->flows) {
        auto moment = flow.answerDue + (flow.isSent ? this->settings.answerGrace : Duration{0});
        moment = std::min(moment, flow.grantorRetryAt.value_or(moment));
        if (!flow.isSent) {
            moment = std::min(moment, this->sendLimit(flow).value_or(moment));
        }
        due = due ? std::min(*due, moment) : moment;
    }
    return due;
}

auto RequestFlow::logLine(const Flow &flow, const char *event, bool isUnusual, Instant now) const
    -> std::optional<LogLine>
{
    if (!this->records.log.shouldLog(flow.request.id, isUnusual)) {
        return std::nullopt;
    }
    LogLine line(event);
    line.with("request", flow.request.id.value)
        .with("age_ms", toMilliseconds(now - flow.arrivedAt));
    return line;
}

} // namespace gooseberrywall
