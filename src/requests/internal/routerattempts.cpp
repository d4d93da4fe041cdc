// The part of RouterCore that makes an exchange's attempts and ends it.
#include "requests/internal/routercore.h"

#include "common/mutation.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr auto otherLabel = "other";

auto waitsForOwnership(Reason reason) -> bool
{
    switch (reason) {
    case Reason::WrongGrantor:
    case Reason::OwnerChanged:
    case Reason::StaleFence:
    case Reason::NotReady:
    case Reason::NoOwner:
    case Reason::ShuttingDown:
    case Reason::UpstreamDraining:
        return true;
    default:
        return false;
    }
}

auto isRetried(const Request &request, const RequestEnd &end) -> bool
{
    if (end.kind == EndKind::Refused) {
        return waitsForOwnership(end.reason) || end.reason == Reason::ConnectionFailed;
    }
    const bool lost = end.reason == Reason::AnswerLost || end.reason == Reason::UpstreamLost;
    return end.kind == EndKind::Unknown && request.idempotent && lost;
}

} // namespace

auto RouterCore::finalEnd(const Exchange &exchange, RequestEnd end) -> RequestEnd
{
    const bool isUncertain = exchange.mayHaveRun || exchange.purpose == ExchangePurpose::Query;
    if (end.kind == EndKind::Refused && isUncertain && !isMutated(Mutation::RefuseAfterSending)) {
        return RequestEnd::unknown(Reason::AnswerLost);
    }
    return end;
}

auto RouterCore::isListed(const ServicePolicy &policy, const CallerId &caller) -> bool
{
    const auto isCaller = [&caller](const CallerShare &share) { return share.caller == caller; };
    return std::any_of(policy.callers.begin(), policy.callers.end(), isCaller);
}

auto RouterCore::forward(Instant now, Exchange &exchange, const ForwardTarget &target, Outbox &out)
    -> void
{
    exchange.stage = ExchangeStage::Forwarded;
    exchange.attempt = this->nextAttempt();
    exchange.target = target;
    ++exchange.tries;
    this->attempts.emplace(exchange.attempt, exchange.id);
    this->setTimer(exchange, exchange.request.deadline + this->settings.endMargin);
    const auto remaining = exchange.request.deadline - now;
    if (exchange.purpose == ExchangePurpose::Query) {
        out.toPeer(target.grantor,
                   OutcomeQuery{exchange.attempt, target.upstream, target.term, exchange.shard,
                                exchange.request.key, exchange.request.id, exchange.request.caller,
                                remaining});
        return;
    }
    this->events.record(now, exchange.request.id, "forwarded", target.grantor.value);
    out.toPeer(target.grantor, ForwardRequest{exchange.attempt, target.upstream, target.term,
                                              exchange.shard, remaining, exchange.request});
}

auto RouterCore::onForwardEnd(Instant now, const DaemonId &from, const ForwardEnd &message,
                              Outbox &out) -> void
{
    const auto attempt = this->attempts.find(message.attempt);
    if (attempt == this->attempts.end()) {
        return;
    }
    auto &exchange = this->exchanges.at(attempt->second);
    if (exchange.target.grantor != from) {
        return;
    }
    if (this->table->version() < message.tableVersion) {
        out.toPeer(from, TableRequest{this->table->version()});
    }
    this->attempts.erase(attempt);
    exchange.attempt = AttemptId{};
    if (message.end.kind == EndKind::Answer) {
        this->retryBudgetOf(exchange.request.service).onSuccess();
    }
    if (isRetried(exchange.request, message.end) && exchange.request.deadline > now) {
        this->retry(now, exchange, message, out);
        return;
    }
    const bool isProvenNotRun = message.end.kind == EndKind::Refused && exchange.tries == 1
                                && exchange.request.resend && !exchange.request.idempotent;
    if (isProvenNotRun) {
        // The grantor looked the request up in the outcome memory before it refused it.
        exchange.mayHaveRun = false;
    }
    this->finish(now, exchange, message.end, out);
}

auto RouterCore::retry(Instant now, Exchange &exchange, const ForwardEnd &message, Outbox &out)
    -> void
{
    const auto reason = message.end.reason;
    if (message.end.kind == EndKind::Unknown) {
        exchange.mayHaveRun = true;
    }
    const bool isExemptFromBudget =
        waitsForOwnership(reason) && message.end.kind == EndKind::Refused;
    if (!isExemptFromBudget && !this->retryBudgetOf(exchange.request.service).take()) {
        this->finish(now, exchange, this->refusal(Reason::RetryBudgetEmpty), out);
        return;
    }
    this->events.record(now, exchange.request.id, "returned", toString(reason));
    this->counters.countRetry(exchange.request.service, this->callerLabel(exchange.request),
                              reason);
    auto &queue = this->enqueue(exchange, reason);
    queue.minimalTableVersion = std::max(queue.minimalTableVersion, message.tableVersion);
    queue.retryAt = std::max(queue.retryAt, now + this->backoff(exchange.tries));
}

auto RouterCore::abandonAttempt(Instant now, Exchange &exchange, Reason reason, Outbox &out) -> void
{
    if (exchange.request.deadline <= now) {
        return;
    }
    out.toPeer(exchange.target.grantor, ForwardCancel{exchange.attempt});
    this->attempts.erase(exchange.attempt);
    exchange.attempt = AttemptId{};
    exchange.mayHaveRun = true;
    this->counters.countRetry(exchange.request.service, this->callerLabel(exchange.request),
                              reason);
    this->enqueue(exchange, reason);
}

auto RouterCore::finish(Instant now, Exchange &exchange, RequestEnd end, Outbox &out) -> void
{
    if (exchange.attempt.value != 0) {
        out.toPeer(exchange.target.grantor, ForwardCancel{exchange.attempt});
    }
    end = finalEnd(exchange, std::move(end));
    this->countEnd(now, exchange, end);
    out.toCaller(exchange.id, std::move(end));
    this->erase(exchange);
}

auto RouterCore::countEnd(Instant now, const Exchange &exchange, const RequestEnd &end) -> void
{
    const auto &request = exchange.request;
    if (exchange.purpose == ExchangePurpose::Query) {
        return;
    }
    const auto *policy = this->policyOf(request.service);
    const auto service = policy != nullptr ? request.service : ServiceName{otherLabel};
    const auto caller = this->callerLabel(request);
    if (end.kind == EndKind::Answer) {
        this->events.record(now, request.id, "answered", exchange.target.upstream.value);
        this->counters.countAnswer(service, caller, now - exchange.arrivedAt);
        return;
    }
    const bool isRefused = end.kind == EndKind::Refused;
    this->events.record(now, request.id, isRefused ? "refused" : "unknown", toString(end.reason));
    if (isRefused) {
        this->counters.countRefusal(service, caller, end.reason);
        return;
    }
    this->counters.countUnknownOutcome(service, caller, end.reason);
}

auto RouterCore::callerLabel(const Request &request) const -> CallerId
{
    const auto *policy = this->policyOf(request.service);
    const bool listed = policy != nullptr && isListed(*policy, request.caller);
    return listed ? request.caller : CallerId{otherLabel};
}

} // namespace gooseberrywall
