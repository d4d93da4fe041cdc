#include "entry/requestflow.h"

#include "common/durations.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

auto eventOf(StatementChange::Kind kind) -> std::string_view
{
    switch (kind) {
    case StatementChange::Kind::LeavingStated:
        return "upstream_leaving_stated";
    case StatementChange::Kind::LeavingEnded:
        return "upstream_leaving_ended";
    case StatementChange::Kind::PauseStated:
        return "upstream_pause_stated";
    case StatementChange::Kind::PauseEnded:
        return "upstream_pause_ended";
    }
    return "";
}

/// @returns whether the upstream itself has answered, and not another one at its address
auto isAnswer(AttemptEnd end) -> bool
{
    return end == AttemptEnd::Answered || end == AttemptEnd::Failed || end == AttemptEnd::NotRun;
}

} // namespace

auto RequestFlow::holdBack(Flow &flow, const PermitVerdict &verdict, Instant now) -> bool
{
    const auto hold = this->statements.holdOf(verdict.upstream, verdict.incarnation, now);
    if (!hold) {
        return false;
    }
    const auto wasHeld =
        std::find(flow.held.begin(), flow.held.end(), verdict.upstream) != flow.held.end();
    // The grantor knows that the upstream leaves and still names it: no other one can serve the
    // request.
    if (wasHeld && hold->allowsLastResort) {
        return false;
    }
    this->countHeld(flow, verdict.upstream, hold->reason(), now);
    this->returnUnused(*flow.permit, verdict, hold);
    flow.permit.reset();
    if (!wasHeld) {
        flow.held.push_back(verdict.upstream);
    }
    ++flow.heldPermits;
    const auto isOnlyOwner = flow.request.key && hold->pause;
    if (isOnlyOwner || flow.heldPermits >= this->settings.heldPermitLimit) {
        this->failRequest(flow, hold->reason(),
                          hold->pause.value_or(this->settings.defaultRetryAfter), now);
        return true;
    }
    if (wasHeld) {
        flow.grantorRetryAt = now + this->settings.grantorRetryEvery * flow.heldPermits;
    } else {
        this->askPermit(flow, flow.attempts > 0, now);
    }
    return true;
}

auto RequestFlow::countHeld(const Flow &flow, const UpstreamId &upstream, Reason reason,
                            Instant now) -> void
{
    ++(reason == Reason::UpstreamPaused ? this->heldByPause : this->heldByLeaving);
    if (auto line = this->logLine(flow, "request_held_back", false, now)) {
        this->records.log.write(
            line->with("upstream", upstream.value).with("reason", toString(reason)));
    }
}

auto RequestFlow::returnUnused(const PermitId &permit, const PermitVerdict &verdict,
                               const std::optional<SendHold> &hold) -> void
{
    PermitReport unused;
    unused.id = permit;
    unused.upstream = verdict.upstream;
    if (hold) {
        unused.isLeaving = hold->isLeaving;
        unused.pause = hold->pause;
    }
    this->permits.report(unused);
}

auto RequestFlow::noteStatements(const Flow &flow, const FlowAttemptEnd &end, Instant now) -> void
{
    AttemptStatement attempt;
    attempt.upstream = flow.upstream;
    attempt.incarnation = flow.incarnation;
    attempt.request = flow.request.id;
    attempt.sentAt = flow.sentAt;
    attempt.isAnswered = isAnswer(end.end);
    attempt.isLeaving = end.isLeaving;
    attempt.pause = end.pause;
    attempt.leaveHint = end.leaveHint;
    this->statements.onAttemptEnd(attempt, now);
    this->logStatements();
}

auto RequestFlow::logStatements() -> void
{
    for (const auto &change : this->statements.takeChanges()) {
        LogLine line(eventOf(change.kind));
        line.with("upstream", change.upstream.value)
            .with("life", static_cast<std::int64_t>(change.incarnation.value))
            .with("request", change.request.value);
        if (change.kind == StatementChange::Kind::PauseStated) {
            line.with("pause_ms", toMilliseconds(change.pause));
        }
        this->records.log.write(line);
    }
}

auto RequestFlow::pauseOfOwner(const Flow &flow, Instant now) -> std::optional<Duration>
{
    if (!flow.request.key) {
        return std::nullopt;
    }
    const auto hold = this->statements.holdOf(flow.upstream, flow.incarnation, now);
    return hold ? hold->pause : std::nullopt;
}

} // namespace gooseberrywall
