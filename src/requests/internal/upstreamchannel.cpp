#include "requests/internal/upstreamchannel.h"

#include "common/hash.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration mirrorRetryAfter = std::chrono::milliseconds{200};

auto queueLimits(const ServicePolicy &policy, const DispatcherSettings &settings) -> QueueLimits
{
    return {static_cast<std::size_t>(std::max(1, policy.queueLimit)), policy.longWorkSlots,
            settings.maximalQueueDelay};
}

auto outcomeLimits(const ServicePolicy &policy, const DispatcherSettings &settings) -> OutcomeLimits
{
    return {policy.outcomeMemoryBytes, policy.outcomeMemoryTime, settings.keptAnswerLimitBytes,
            settings.clockSkew};
}

auto mirrorLimits(const DispatcherSettings &settings) -> MirrorLimits
{
    return {settings.mirrorResendInterval, settings.mirrorTimeout, settings.messageLimitBytes};
}

auto hashOf(const Request &request) -> std::uint64_t
{
    auto hash = stableHash(request.service.value);
    hash = stableHash(request.key.value, hash);
    hash = stableHash(request.operation, hash);
    return stableHash(request.body, hash);
}

auto outcomeEntryOf(const Request &request, const ShardId &shard) -> OutcomeEntry
{
    OutcomeEntry entry;
    entry.id = request.id;
    entry.caller = request.caller;
    entry.shard = shard;
    entry.fingerprint = hashOf(request);
    entry.issuedAt = request.issuedAt.value_or(0);
    entry.keyHash = stableHash(request.key.value);
    return entry;
}

} // namespace

UpstreamChannel::UpstreamChannel(Instant now, UpstreamEntry entry, const ServicePolicy &policy,
                                 ChannelContext &context)
    : context(context)
    , upstream(std::move(entry))
    , policy(policy)
    , queue(queueLimits(policy, context.settings))
    , concurrencyLimit(policy.slots, policy.coldStart)
    , retryBudget(policy.retryBudgetPercent)
    , memory(outcomeLimits(policy, context.settings))
    , mirror(upstream.id, mirrorLimits(context.settings))
    , loadSince(now)
{
    this->configure(policy);
    this->mirror.restart(now, this->upstream, this->memory);
}

auto UpstreamChannel::configure(const ServicePolicy &policy) -> void
{
    this->policy = policy;
    this->queue.configure(queueLimits(policy, this->context.settings), policy.callers);
    this->concurrencyLimit.configure(policy.slots, policy.coldStart);
    this->retryBudget.configure(policy.retryBudgetPercent);
    this->memory.configure(outcomeLimits(policy, this->context.settings));
}

auto UpstreamChannel::reply(const DaemonId &to, AttemptId attempt, RequestEnd end, Outbox &out)
    -> void
{
    out.toPeer(to, ForwardEnd{attempt, std::move(end), this->context.table->version()});
}

auto UpstreamChannel::ownsShard(const ShardId &shard) const -> bool
{
    const auto *entry = this->context.table->shard(shard);
    return entry != nullptr && entry->stage == ShardStage::Owned
           && entry->owner == this->upstream.id;
}

auto UpstreamChannel::makeItem(const Request &request) const -> QueuedItem
{
    QueuedItem item;
    item.caller = request.caller;
    item.deadline = request.deadline;
    item.cost = this->operationCosts.expected(request.operation);
    item.isLong = item.cost > this->policy.longWorkThreshold;
    if (request.sizeHint == SizeHint::Long && !item.isLong) {
        item.isLong = true;
        item.cost = std::max(item.cost, this->policy.longWorkThreshold);
    }
    return item;
}

auto UpstreamChannel::mirrorRefusal(Instant now) const -> Reason
{
    if (!this->mirror.hasStandby()) {
        return this->context.settings.runWithoutStandby ? Reason::None : Reason::MirrorUnavailable;
    }
    return this->mirror.isAvailable(now) ? Reason::None : Reason::MirrorUnavailable;
}

auto UpstreamChannel::accept(Instant now, const DaemonId &from, const ForwardRequest &message,
                             Outbox &out) -> void
{
    if (this->jobsByAttempt.contains(message.attempt)) {
        return;
    }
    Job job;
    job.request = message.request;
    job.request.deadline = now + message.remaining;
    job.shard = message.shard;
    job.waiters.push_back({from, message.attempt, job.request.deadline});
    if (job.needsOutcomeMemory()) {
        const auto entry = outcomeEntryOf(job.request, job.shard);
        job.fingerprint = entry.fingerprint;
        if (this->joinJob(now, from, message, entry, out)) {
            return;
        }
        if (auto end = this->endFromMemory(now, entry)) {
            this->reply(from, message.attempt, std::move(*end), out);
            return;
        }
    }
    if (this->context.crashes.suspicionOf(job.identity()) == Suspicion::Quarantined) {
        this->reply(from, message.attempt, RequestEnd::refused(Reason::Quarantined), out);
        return;
    }
    const auto refusal = job.needsOutcomeMemory() ? this->mirrorRefusal(now) : Reason::None;
    if (refusal != Reason::None) {
        this->reply(from, message.attempt, RequestEnd::refused(refusal, mirrorRetryAfter), out);
        return;
    }
    if (job.needsOutcomeMemory() && !this->memory.covers(job.shard)) {
        this->park(std::move(job), out);
        return;
    }
    this->enqueue(now, this->addJob(std::move(job)), out);
    this->startRuns(now, out);
}

auto UpstreamChannel::addJob(Job job) -> Job &
{
    this->lastJob = this->lastJob.next();
    job.id = this->lastJob;
    for (const auto &waiter : job.waiters) {
        this->jobsByAttempt.emplace(waiter.attempt, job.id);
    }
    if (job.needsOutcomeMemory()) {
        this->jobsByKey.emplace(OutcomeKey{job.request.caller, job.request.id}, job.id);
    }
    return this->jobs.emplace(job.id, std::move(job)).first->second;
}

auto UpstreamChannel::park(Job job, Outbox &out) -> void
{
    if (this->parkedJobs >= static_cast<std::size_t>(this->policy.transferQueueLimit)) {
        const auto &waiter = job.waiters.front();
        this->reply(waiter.from, waiter.attempt,
                    RequestEnd::refused(Reason::TransferQueueFull, mirrorRetryAfter), out);
        return;
    }
    auto &parked = this->addJob(std::move(job));
    parked.isParked = true;
    ++this->parkedJobs;
    this->awaitingMemory[parked.shard].push_back(parked.id);
}

auto UpstreamChannel::joinJob(Instant now, const DaemonId &from, const ForwardRequest &message,
                              const OutcomeEntry &entry, Outbox &out) -> bool
{
    const auto known = this->jobsByKey.find({entry.caller, entry.id});
    if (known == this->jobsByKey.end()) {
        return false;
    }
    auto &job = this->jobs.at(known->second);
    if (job.fingerprint != entry.fingerprint) {
        this->reply(from, message.attempt, RequestEnd::refused(Reason::RequestIdReused), out);
        return true;
    }
    job.waiters.push_back({from, message.attempt, now + message.remaining});
    this->jobsByAttempt.emplace(message.attempt, job.id);
    return true;
}

auto UpstreamChannel::endFromMemory(Instant now, const OutcomeEntry &entry) const
    -> std::optional<RequestEnd>
{
    const auto found = this->memory.lookUp(this->context.outcomeTime(now), entry);
    switch (found.result) {
    case LookupResult::Ended:
        return found.entry->end;
    case LookupResult::Started:
        return RequestEnd::unknown(Reason::UpstreamLost);
    case LookupResult::IdReused:
        return RequestEnd::refused(Reason::RequestIdReused);
    case LookupResult::Forgotten:
        return RequestEnd::unknown(Reason::OutcomeForgotten);
    case LookupResult::NeverRun:
    case LookupResult::NotCovered:
        break;
    }
    return std::nullopt;
}

auto UpstreamChannel::enqueue(Instant now, Job &job, Outbox &out) -> void
{
    job.item = this->makeItem(job.request);
    job.item.job = job.id;
    job.item.ready = !job.needsOutcomeMemory();
    job.lookupFence = this->fenceOf(now, job);
    const auto admission = this->queue.offer(now, job.item, this->slotUse(now));
    for (const auto victim : admission.evicted) {
        this->endNotRun(now, this->jobs.at(victim), Reason::QueueFull, Duration{0}, out);
    }
    if (admission.reason != Reason::None) {
        this->endNotRun(now, job, admission.reason, admission.retryAfter, out);
        return;
    }
    if (job.needsOutcomeMemory()) {
        this->recordStart(now, job, out);
    }
}

auto UpstreamChannel::recordStart(Instant now, Job &job, Outbox &out) -> void
{
    auto entry = outcomeEntryOf(job.request, job.shard);
    if (!this->memory.start(this->context.outcomeTime(now), entry)) {
        this->endNotRun(now, job, Reason::OutcomeMemoryFull, mirrorRetryAfter, out);
        return;
    }
    job.remembered = true;
    if (!this->mirror.hasStandby()) {
        this->queue.markReady(job.id);
        return;
    }
    job.mirrorTicket = this->mirror.add(now, std::move(entry));
    this->awaitingMirror.emplace(job.mirrorTicket, job.id);
    this->mirror.sendDue(now, out);
}

auto UpstreamChannel::query(Instant now, const DaemonId &from, const OutcomeQuery &message,
                            Outbox &out) -> void
{
    const OutcomeKey key{message.caller, message.id};
    const auto known = this->jobsByKey.find(key);
    if (known != this->jobsByKey.end()) {
        auto &job = this->jobs.at(known->second);
        job.waiters.push_back({from, message.attempt, now + message.remaining});
        this->jobsByAttempt.emplace(message.attempt, job.id);
        return;
    }
    const auto *entry = this->memory.find(key);
    if (entry == nullptr) {
        this->reply(from, message.attempt, RequestEnd::unknown(Reason::OutcomeForgotten), out);
        return;
    }
    const bool ended = entry->stage == OutcomeStage::Ended;
    this->reply(from, message.attempt,
                ended ? entry->end : RequestEnd::unknown(Reason::UpstreamLost), out);
}

auto UpstreamChannel::cancel(Instant now, const DaemonId &from, AttemptId attempt, Outbox &out)
    -> bool
{
    const auto found = this->jobsByAttempt.find(attempt);
    if (found == this->jobsByAttempt.end()) {
        return false;
    }
    auto &job = this->jobs.at(found->second);
    const auto removed = std::erase_if(job.waiters, [&](const Waiter &waiter) {
        return waiter.attempt == attempt && waiter.from == from;
    });
    if (removed == 0) {
        return true;
    }
    this->jobsByAttempt.erase(found);
    if (!job.waiters.empty()) {
        return true;
    }
    if (job.stage == JobStage::Queued) {
        this->endNotRun(now, job, Reason::CallerGone, Duration{0}, out);
    } else {
        this->cancelRun(job, out);
    }
    return true;
}

auto UpstreamChannel::cover(Instant now, const ShardOutcomes &outcomes, Outbox &out) -> void
{
    const auto time = this->context.outcomeTime(now);
    this->memory.cover(outcomes.coverage);
    for (const auto &entry : outcomes.entries) {
        this->memory.adopt(time, entry);
        this->mirror.add(now, entry);
    }
    this->mirror.setCoverage(now, this->memory.coverage(), this->memory.evictedUntil());
    const auto waiting = this->awaitingMemory.extract(outcomes.coverage.shard);
    if (waiting.empty()) {
        return;
    }
    for (const auto id : waiting.mapped()) {
        const auto job = this->jobs.find(id);
        if (job == this->jobs.end()) {
            continue;
        }
        job->second.isParked = false;
        --this->parkedJobs;
        const auto entry = outcomeEntryOf(job->second.request, job->second.shard);
        if (const auto end = this->endFromMemory(now, entry)) {
            this->replyToWaiters(now, job->second, *end, out);
            this->erase(job->second);
            continue;
        }
        this->enqueue(now, job->second, out);
    }
}

auto UpstreamChannel::adoptMemory(Instant now, OutcomeMemory memory) -> void
{
    this->memory = std::move(memory);
    this->memory.configure(outcomeLimits(this->policy, this->context.settings));
    this->mirror.restart(now, this->upstream, this->memory);
}

auto UpstreamChannel::covers(const ShardId &shard) const -> bool
{
    return this->memory.covers(shard);
}

auto UpstreamChannel::extract(Instant now, const ShardId &shard) -> std::optional<ShardOutcomes>
{
    auto outcomes = this->memory.extract(shard);
    if (outcomes) {
        this->mirror.setCoverage(now, this->memory.coverage(), this->memory.evictedUntil());
    }
    return outcomes;
}

auto UpstreamChannel::uncover(Instant now, const ShardId &shard, Outbox &out) -> void
{
    // These requests passed a lookup in a memory that may have a gap, so they may have run before.
    this->returnQueued(now, Reason::OwnerChanged, shard, out);
    this->memory.uncover(shard);
    this->mirror.setCoverage(now, this->memory.coverage(), this->memory.evictedUntil());
}

auto UpstreamChannel::splitMemory(Instant now, const ShardId &range, const PinnedKey &pin) -> void
{
    auto coverage = this->memory.coverageOf(range);
    if (!coverage) {
        return;
    }
    coverage->shard = ShardId{pin.service, pin.shardNumber};
    this->memory.cover(*coverage);
    this->memory.reassign(range, coverage->shard, stableHash(pin.key.value));
    this->mirror.restart(now, this->upstream, this->memory);
}

auto UpstreamChannel::mergeMemory(Instant now, const ShardId &pinned, const ShardId &range) -> bool
{
    const auto pinnedCoverage = this->memory.coverageOf(pinned);
    auto merged = this->memory.coverageOf(range);
    if (!pinnedCoverage || !merged) {
        return false;
    }
    merged->datedIdsCoveredFrom =
        std::max(merged->datedIdsCoveredFrom, pinnedCoverage->datedIdsCoveredFrom);
    merged->undatedIdsCoveredFrom =
        std::max(merged->undatedIdsCoveredFrom, pinnedCoverage->undatedIdsCoveredFrom);
    this->memory.cover(*merged);
    this->memory.uncover(pinned);
    this->memory.reassign(pinned, range, 0);
    this->mirror.restart(now, this->upstream, this->memory);
    return true;
}

} // namespace gooseberrywall
