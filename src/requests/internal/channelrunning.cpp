// The part of UpstreamChannel that runs requests: from the queue to the upstream.
#include "requests/internal/upstreamchannel.h"

#include "common/mutation.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

/// How often the queued requests are checked for shards whose grants have ended.
constexpr Duration ownershipCheckInterval = std::chrono::milliseconds{20};

} // namespace

auto UpstreamChannel::slotUse(Instant now) const -> SlotUse
{
    SlotUse use;
    use.allowed = this->concurrencyLimit.allowed(now);
    use.running = static_cast<int>(this->running.size());
    for (const auto id : this->running) {
        const auto &job = this->jobs.at(id);
        const bool isLong = job.item.isLong || now - job.sentAt > this->policy.longWorkThreshold;
        use.runningLong += isLong ? 1 : 0;
    }
    return use;
}

auto UpstreamChannel::fenceOf(Instant now, const Job &job) const -> std::optional<Fence>
{
    if (this->retired || !this->ownsShard(job.shard)) {
        return std::nullopt;
    }
    return this->context.grants.fenceFor(now, job.shard);
}

auto UpstreamChannel::isMirrored(const Job &job) const -> bool
{
    if (!job.needsOutcomeMemory()) {
        return true;
    }
    if (!job.remembered) {
        return false;
    }
    if (!this->mirror.hasStandby()) {
        return this->context.settings.runWithoutStandby;
    }
    return this->mirror.isAcknowledged(job.mirrorTicket);
}

auto UpstreamChannel::startRuns(Instant now, Outbox &out) -> void
{
    this->shedExpired(now, out);
    const bool suspectRuns = std::any_of(this->running.begin(), this->running.end(),
                                         [this](JobId id) { return this->jobs.at(id).isSuspect; });
    if (!suspectRuns) {
        for (const auto &item : std::exchange(this->heldSuspects, {})) {
            this->queue.putBack(item);
        }
    }
    while (auto item = this->queue.take(this->slotUse(now))) {
        this->run(now, this->jobs.at(item->job), out);
    }
}

auto UpstreamChannel::shedExpired(Instant now, Outbox &out) -> void
{
    for (const auto id : this->queue.expire(now)) {
        auto &job = this->jobs.at(id);
        auto reason =
            job.request.deadline <= now ? Reason::DeadlinePassed : Reason::DeadlineTooShort;
        if (job.needsOutcomeMemory() && !this->isMirrored(job)) {
            reason = Reason::MirrorUnavailable;
        }
        this->endNotRun(now, job, reason, this->context.settings.maximalQueueDelay, out);
    }
    std::vector<JobId> waiting;
    for (const auto &item : this->heldSuspects) {
        waiting.push_back(item.job);
    }
    for (const auto &[shard, jobs] : this->awaitingMemory) {
        waiting.insert(waiting.end(), jobs.begin(), jobs.end());
    }
    this->endPastDeadline(now, waiting, out);
}

auto UpstreamChannel::endPastDeadline(Instant now, const std::vector<JobId> &waiting, Outbox &out)
    -> void
{
    for (const auto id : waiting) {
        const auto job = this->jobs.find(id);
        if (job != this->jobs.end() && job->second.request.deadline <= now) {
            this->endNotRun(now, job->second, Reason::DeadlinePassed, Duration{0}, out);
        }
    }
}

auto UpstreamChannel::run(Instant now, Job &job, Outbox &out) -> void
{
    const auto fence = this->fenceOf(now, job);
    if (!fence || (job.needsOutcomeMemory() && fence != job.lookupFence)) {
        this->endNotRun(now, job, Reason::OwnerChanged, Duration{0}, out);
        return;
    }
    const auto suspicion = this->context.crashes.suspicionOf(job.identity());
    if (suspicion == Suspicion::Quarantined) {
        this->endNotRun(now, job, Reason::Quarantined, Duration{0}, out);
        return;
    }
    job.isSuspect = suspicion == Suspicion::Suspect;
    const bool suspectRuns = std::any_of(this->running.begin(), this->running.end(),
                                         [this](JobId id) { return this->jobs.at(id).isSuspect; });
    if (job.isSuspect && suspectRuns) {
        this->heldSuspects.push_back(job.item);
        return;
    }
    if (!this->isMirrored(job)) {
        job.item.ready = false;
        this->awaitingMirror.emplace(job.mirrorTicket, job.id);
        this->queue.putBack(job.item);
        return;
    }
    this->send(now, job, *fence, out);
}

auto UpstreamChannel::send(Instant now, Job &job, Fence fence, Outbox &out) -> void
{
    RunRequest message;
    job.attempt =
        isMutated(Mutation::ReuseAttemptId) ? AttemptId{1} : AttemptId{this->context.random()};
    message.attempt = job.attempt;
    message.id = job.request.id;
    message.shard = job.shard;
    message.fence = fence;
    message.key = job.request.key;
    message.operation = job.request.operation;
    message.idempotent = job.request.idempotent;
    message.remaining = job.request.deadline - now;
    message.body = job.request.body;
    const auto timeout = message.remaining + 2 * this->context.settings.runGrace;
    job.stage = JobStage::Running;
    job.sentAt = now;
    ++job.tries;
    this->running.push_back(job.id);
    this->context.events.record(now, job.request.id, "sent", this->upstream.id.value);
    job.call =
        out.toUpstream(this->upstream.id, this->upstream.address, std::move(message), timeout);
    this->jobsByCall.emplace(job.call, job.id);
}

auto UpstreamChannel::markMirrored() -> void
{
    while (!this->awaitingMirror.empty()) {
        const auto first = this->awaitingMirror.begin();
        const auto job = this->jobs.find(first->second);
        if (job != this->jobs.end() && !this->isMirrored(job->second)) {
            return;
        }
        if (job != this->jobs.end()) {
            job->second.item.ready = true;
            this->queue.markReady(first->second);
        }
        this->awaitingMirror.erase(first);
    }
}

auto UpstreamChannel::onMirrorAnswer(Instant now, const DaemonId &from, const MirrorAnswer &answer,
                                     Outbox &out) -> void
{
    if (!this->mirror.onAnswer(now, from, answer)) {
        return;
    }
    this->markMirrored();
    this->mirror.sendDue(now, out);
    this->startRuns(now, out);
}

auto UpstreamChannel::cancelOverdueRuns(Instant now, Outbox &out) -> void
{
    const auto grace = this->context.settings.runGrace;
    for (const auto id : this->running) {
        auto &job = this->jobs.at(id);
        if (now >= job.request.deadline) {
            this->cancelRun(job, out);
        }
        const auto isOverdue = [&](const Waiter &waiter) { return now >= waiter.deadline + grace; };
        for (const auto &waiter : job.waiters) {
            if (isOverdue(waiter)) {
                this->jobsByAttempt.erase(waiter.attempt);
                this->reply(waiter.from, waiter.attempt,
                            RequestEnd::unknown(Reason::UpstreamFrozen), out);
            }
        }
        std::erase_if(job.waiters, isOverdue);
    }
}

auto UpstreamChannel::cancelRun(Job &job, Outbox &out) -> void
{
    if (job.cancelled) {
        return;
    }
    job.cancelled = true;
    const auto call = out.toUpstream(this->upstream.id, this->upstream.address,
                                     CancelRun{job.attempt}, this->context.settings.runGrace);
    this->cancelCalls.insert(call);
}

auto UpstreamChannel::returnUnownedJobs(Instant now, Outbox &out) -> void
{
    std::vector<JobId> unowned;
    std::unordered_map<ShardId, bool> served;
    for (const auto &[id, job] : this->jobs) {
        if (job.stage != JobStage::Queued) {
            continue;
        }
        const auto [shard, isNew] = served.try_emplace(job.shard, false);
        if (isNew) {
            shard->second = this->fenceOf(now, job).has_value();
        }
        if (!shard->second) {
            unowned.push_back(id);
        }
    }
    std::sort(unowned.begin(), unowned.end());
    for (const auto id : unowned) {
        this->endNotRun(now, this->jobs.at(id), Reason::OwnerChanged, Duration{0}, out);
    }
}

auto UpstreamChannel::retire(Instant now, Reason reason, Outbox &out) -> void
{
    this->retired = true;
    this->mirror.stop();
    this->returnQueued(now, reason, std::nullopt, out);
}

auto UpstreamChannel::returnQueued(Instant now, Reason reason, const std::optional<ShardId> &shard,
                                   Outbox &out) -> void
{
    std::vector<JobId> queued;
    for (const auto &[id, job] : this->jobs) {
        if (job.stage == JobStage::Queued && (!shard || job.shard == *shard)) {
            queued.push_back(id);
        }
    }
    std::sort(queued.begin(), queued.end());
    for (const auto id : queued) {
        this->endNotRun(now, this->jobs.at(id), reason, Duration{0}, out);
    }
}

auto UpstreamChannel::tick(Instant now, Outbox &out) -> void
{
    this->cancelOverdueRuns(now, out);
    if (now >= this->nextOwnershipCheck) {
        this->nextOwnershipCheck = now + ownershipCheckInterval;
        this->returnUnownedJobs(now, out);
    }
    this->memory.expire(this->context.outcomeTime(now));
    this->mirror.restartIfStuck(now, this->memory);
    this->mirror.sendDue(now, out);
    this->startRuns(now, out);
}

auto UpstreamChannel::isIdle(Instant now) const -> bool
{
    const bool mirrored =
        !this->mirror.hasStandby() || this->mirror.isDrained() || !this->mirror.isAvailable(now);
    return this->jobs.empty() && (mirrored || this->retired);
}

auto UpstreamChannel::takeLoad(Instant now) -> UpstreamLoad
{
    UpstreamLoad load;
    load.upstream = this->upstream.id;
    load.healthy = this->consecutiveFailures == 0;
    const auto interval = static_cast<double>((now - this->loadSince).count());
    const int slots = std::max(1, this->policy.slots);
    if (interval > 0.0) {
        load.utilisation = static_cast<double>(this->busyTime.count()) / (interval * slots);
    }
    this->busyTime = Duration{0};
    this->loadSince = now;
    return load;
}

} // namespace gooseberrywall
