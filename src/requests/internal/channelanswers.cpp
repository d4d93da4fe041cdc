// The part of UpstreamChannel that ends runs: answers, failures and lost upstreams.
#include "requests/internal/upstreamchannel.h"

#include "common/mutation.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration shedRetryAfter = std::chrono::milliseconds{100};
constexpr std::size_t maximalUnansweredRuns = 256;

/// @returns the entry as a message that makes the stand-by forget it
auto removalOf(OutcomeEntry entry) -> OutcomeEntry
{
    entry.stage = OutcomeStage::Ended;
    entry.end = RequestEnd::refused(Reason::None);
    return entry;
}

} // namespace

auto UpstreamChannel::onAnswer(Instant now, CallId call, const UpstreamAnswer &answer, Outbox &out)
    -> bool
{
    if (this->cancelCalls.erase(call) > 0) {
        return true;
    }
    const auto found = this->jobsByCall.find(call);
    if (found == this->jobsByCall.end()) {
        return false;
    }
    auto &job = this->jobs.at(found->second);
    this->jobsByCall.erase(found);
    std::erase(this->running, job.id);
    job.stage = JobStage::Queued;
    if (const auto *failure = std::get_if<UpstreamFailure>(&answer)) {
        this->onFailure(now, job, *failure, out);
    } else if (const auto *run = std::get_if<RunAnswer>(&answer);
               run != nullptr && run->attempt == job.attempt) {
        this->onRunAnswer(now, job, *run, out);
    } else {
        this->onFailure(now, job, UpstreamFailure::BadAnswer, out);
    }
    this->mirror.sendDue(now, out);
    this->startRuns(now, out);
    return true;
}

auto UpstreamChannel::onRunAnswer(Instant now, Job &job, const RunAnswer &answer, Outbox &out)
    -> void
{
    this->consecutiveFailures = 0;
    switch (answer.runStatus) {
    case RunStatus::Done:
        this->onCompleted(now, job, answer, out);
        return;
    case RunStatus::Aborted:
        this->operationCosts.observe(job.request.operation, now - job.sentAt);
        this->endUnknown(now, job, Reason::AnswerLost, out);
        return;
    case RunStatus::Shed:
        this->concurrencyLimit.onShed(now);
        this->onNotRun(now, job, Reason::UpstreamShed, out);
        return;
    case RunStatus::StaleFence:
    case RunStatus::NotOwner:
        this->endNotRun(now, job, Reason::StaleFence, Duration{0}, out);
        return;
    case RunStatus::Draining:
        this->endNotRun(now, job, Reason::UpstreamDraining, Duration{0}, out);
        return;
    case RunStatus::DeadlinePassed:
    case RunStatus::Cancelled:
        this->endNotRun(now, job, Reason::DeadlinePassed, Duration{0}, out);
        return;
    }
}

auto UpstreamChannel::onCompleted(Instant now, Job &job, const RunAnswer &answer, Outbox &out)
    -> void
{
    const auto responseTime = now - job.sentAt;
    const auto serviceTime = answer.serviceTime.count() > 0 ? answer.serviceTime : responseTime;
    this->operationCosts.observe(job.request.operation, responseTime);
    this->concurrencyLimit.onCompleted(now, responseTime, answer.serviceTime);
    this->retryBudget.onSuccess();
    this->busyTime += serviceTime;
    this->context.completedRuns.push_back(
        {job.shard, job.request.key, serviceTime, this->upstream.id});
    const auto identity = job.identity();
    std::erase_if(this->unansweredRuns,
                  [&](const UnansweredRun &unanswered) { return unanswered.request == identity; });
    if (this->context.crashes.onCompleted(identity)) {
        this->context.broadcast(SuspectsCleared{{identity}}, out);
    }
    auto end = RequestEnd::answer(answer.status, answer.body);
    if (answer.body.size() > this->policy.answerLimitBytes) {
        end = RequestEnd::unknown(Reason::AnswerTooLarge);
    }
    this->recordEnd(now, job, end);
    this->replyToWaiters(now, job, end, out);
    this->erase(job);
}

auto UpstreamChannel::onFailure(Instant now, Job &job, UpstreamFailure failure, Outbox &out) -> void
{
    ++this->consecutiveFailures;
    this->concurrencyLimit.onFailure(now);
    if (failure == UpstreamFailure::NotSent) {
        this->onNotRun(now, job, Reason::ConnectionFailed, out);
        return;
    }
    if (failure == UpstreamFailure::NoAnswer) {
        this->unansweredRuns.push_back({now, job.identity()});
        if (this->unansweredRuns.size() > maximalUnansweredRuns) {
            this->unansweredRuns.pop_front();
        }
    }
    if (job.request.idempotent && this->runAgain(now, job, Reason::AnswerLost)) {
        return;
    }
    const bool isPastDeadline = now >= job.request.deadline;
    this->endUnknown(now, job, isPastDeadline ? Reason::UpstreamFrozen : Reason::AnswerLost, out);
}

auto UpstreamChannel::onNotRun(Instant now, Job &job, Reason reason, Outbox &out) -> void
{
    if (this->runAgain(now, job, reason)) {
        return;
    }
    this->endNotRun(now, job, reason, shedRetryAfter, out);
}

auto UpstreamChannel::runAgain(Instant now, Job &job, Reason reason) -> bool
{
    const bool hasTime = now + job.item.cost < job.request.deadline;
    const bool isWanted = !job.waiters.empty() && !job.cancelled && !this->retired;
    if (!isWanted || !hasTime || job.tries >= this->context.settings.maximalTries) {
        return false;
    }
    if (!this->fenceOf(now, job) || !this->retryBudget.take()) {
        return false;
    }
    this->context.counters.countRetry(job.request.service, job.request.caller, reason);
    this->context.events.record(now, job.request.id, "run_again", toString(reason));
    if (reason == Reason::AnswerLost) {
        job.mayHaveRun = true;
    }
    this->queue.putBack(job.item);
    return true;
}

auto UpstreamChannel::endUnknown(Instant now, Job &job, Reason reason, Outbox &out) -> void
{
    const auto end = RequestEnd::unknown(reason);
    this->recordEnd(now, job, end);
    this->replyToWaiters(now, job, end, out);
    this->erase(job);
}

auto UpstreamChannel::endNotRun(Instant now, Job &job, Reason reason, Duration retryAfter,
                                Outbox &out) -> void
{
    if (job.mayHaveRun && !isMutated(Mutation::RefuseAfterSending)) {
        this->endUnknown(now, job, Reason::AnswerLost, out);
        return;
    }
    if (job.remembered) {
        const OutcomeKey key{job.request.caller, job.request.id};
        if (const auto *entry = this->memory.find(key)) {
            this->mirror.add(now, removalOf(*entry));
        }
        this->memory.erase(key);
    }
    this->replyToWaiters(now, job, RequestEnd::refused(reason, retryAfter), out);
    this->erase(job);
}

auto UpstreamChannel::recordEnd(Instant now, Job &job, const RequestEnd &end) -> void
{
    if (!job.remembered) {
        return;
    }
    const auto *entry = this->memory.finish({job.request.caller, job.request.id}, end);
    if (entry != nullptr) {
        this->mirror.add(now, *entry);
    }
}

auto UpstreamChannel::replyToWaiters(Instant now, Job &job, const RequestEnd &end, Outbox &out)
    -> void
{
    for (const auto &waiter : job.waiters) {
        this->jobsByAttempt.erase(waiter.attempt);
        this->reply(waiter.from, waiter.attempt, end, out);
    }
    job.waiters.clear();
    this->context.events.record(now, job.request.id, "ended", toString(end.reason));
}

auto UpstreamChannel::erase(Job &job) -> void
{
    const auto id = job.id;
    for (const auto &waiter : job.waiters) {
        this->jobsByAttempt.erase(waiter.attempt);
    }
    const auto key = this->jobsByKey.find({job.request.caller, job.request.id});
    if (key != this->jobsByKey.end() && key->second == id) {
        this->jobsByKey.erase(key);
    }
    this->awaitingMirror.erase(job.mirrorTicket);
    this->parkedJobs -= job.isParked ? 1 : 0;
    std::erase_if(this->heldSuspects, [id](const QueuedItem &item) { return item.job == id; });
    this->queue.remove(id);
    this->jobs.erase(id);
}

auto UpstreamChannel::updateEntry(Instant now, const UpstreamEntry &entry, Outbox &out) -> void
{
    const auto previous = this->upstream;
    this->upstream = entry;
    const bool restarted = entry.incarnation != previous.incarnation;
    const bool lost = entry.state == UpstreamState::Lost;
    if (restarted || (lost && previous.state != UpstreamState::Lost)) {
        this->reportCrash(now, previous.incarnation, out);
        this->endLostRuns(now, restarted, out);
    }
    if (restarted) {
        this->concurrencyLimit.onColdStart(now);
    }
    if (!this->retired && !this->mirror.matches(entry)) {
        this->mirror.restart(now, entry, this->memory);
        this->markMirrored();
        this->mirror.sendDue(now, out);
    }
    this->returnUnownedJobs(now, out);
}

auto UpstreamChannel::reportCrash(Instant now, Incarnation incarnation, Outbox &out) -> void
{
    CrashSuspects crash{this->upstream.id, incarnation, {}};
    for (const auto id : this->running) {
        crash.suspects.push_back(this->jobs.at(id).identity());
    }
    for (const auto &unanswered : this->unansweredRuns) {
        if (now - unanswered.at <= this->context.settings.crashWindow) {
            crash.suspects.push_back(unanswered.request);
        }
    }
    this->unansweredRuns.clear();
    if (crash.suspects.empty()) {
        return;
    }
    this->context.crashes.onCrash(now, crash);
    this->context.broadcast(crash, out);
}

auto UpstreamChannel::endLostRuns(Instant now, bool processEnded, Outbox &out) -> void
{
    const auto lost = this->running;
    for (const auto id : lost) {
        auto &job = this->jobs.at(id);
        if (!processEnded && !job.request.idempotent) {
            continue;
        }
        const auto end = RequestEnd::unknown(Reason::UpstreamLost);
        if (processEnded) {
            this->recordEnd(now, job, end);
        }
        this->replyToWaiters(now, job, end, out);
    }
}

} // namespace gooseberrywall
