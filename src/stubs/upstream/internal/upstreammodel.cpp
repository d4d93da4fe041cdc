#include "stubs/upstream/upstreammodel.h"

#include "stubs/upstream/types/operationplan.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr int answerStatus = 200;
constexpr std::int64_t partsPerMillion = 1'000'000;

/// The body starts with the request's id, so that callers can check that an answer belongs to it.
auto answerBody(const RunRequest &request) -> std::string
{
    auto body = request.id.value + '\n' + request.body;
    body.resize(std::max(body.size(), planOf(request.operation).answerBytes), '.');
    return body;
}

} // namespace

UpstreamModel::UpstreamModel(UpstreamModelSettings settings, Incarnation incarnation, Instant start)
    : settings(std::move(settings))
    , currentIncarnation(incarnation)
    , started(start)
    , incarnationStart(start)
    , notBefore(start)
    , grants(this->settings.checksSender, this->settings.grantsExpire)
{
    this->snapshot.taken = start;
}

auto UpstreamModel::receive(Instant now, CallId call, UpstreamRequest request) -> void
{
    this->advance(now);
    if (this->isCrashed) {
        this->reply(call, UpstreamFailure::NotSent);
        return;
    }
    if (this->isFrozen) {
        this->inbox.push_back({call, std::move(request)});
        return;
    }
    this->handle(now, {call, std::move(request)});
}

auto UpstreamModel::handle(Instant now, const Call &call) -> void
{
    if (this->isCrashed) {
        this->reply(call.id, UpstreamFailure::NoAnswer);
        return;
    }
    if (const auto *batch = std::get_if<GrantBatch>(&call.request)) {
        this->handleBatch(now, call.id, *batch);
    } else if (const auto *run = std::get_if<RunRequest>(&call.request)) {
        this->handleRun(now, call.id, *run);
    } else if (const auto *cancel = std::get_if<CancelRun>(&call.request)) {
        this->handleCancel(now, call.id, *cancel);
    } else {
        this->handleProbe(now, call.id);
    }
}

auto UpstreamModel::handleBatch(Instant now, CallId call, const GrantBatch &batch) -> void
{
    const auto draining = this->drainingSince.has_value();
    PendingBatch pending{
        call, this->grants.apply(this->clock(now), this->currentIncarnation, draining, batch), {}};
    for (std::size_t index = 0; index < pending.answer.results.size(); ++index) {
        const auto &order = batch.orders[index];
        const auto done = pending.answer.results[index].status == GrantStatus::Done;
        if (done && order.action == GrantAction::Revoke) {
            pending.revoked.push_back(order.shard);
            this->refuseQueuedOf(order.shard);
        }
    }
    this->pendingBatches.push_back(std::move(pending));
    this->finishBatches(now);
}

auto UpstreamModel::finishBatches(Instant now) -> void
{
    if (this->pendingBatches.empty()) {
        return;
    }
    std::vector<PendingBatch> waiting;
    for (auto &batch : this->pendingBatches) {
        std::erase_if(batch.revoked,
                      [this](const ShardId &shard) { return !this->hasRunning(shard); });
    }
    // A revocation is finished once no run of the shard is active, whichever batch ordered it.
    for (const auto &grant : this->grants.heldGrants(this->clock(now))) {
        if (this->grants.isClosing(grant.shard) && !this->hasRunning(grant.shard)) {
            this->grants.finishRevocation(grant.shard);
        }
    }
    for (auto &batch : this->pendingBatches) {
        if (!batch.revoked.empty()) {
            waiting.push_back(std::move(batch));
            continue;
        }
        batch.answer.clock = this->clock(now);
        batch.answer.held = this->grants.heldGrants(batch.answer.clock);
        this->reply(batch.call, std::move(batch.answer));
    }
    this->pendingBatches = std::move(waiting);
}

auto UpstreamModel::handleProbe(Instant now, CallId call) -> void
{
    if (now - this->snapshot.taken >= this->settings.reportLag) {
        const auto work = this->running.size() + this->queue.size();
        this->snapshot = {now, this->drainingSince.has_value(), this->busySlots(),
                          static_cast<double>(work) / std::max(1, this->settings.slots)};
    }
    UpstreamReport report;
    report.incarnation = this->currentIncarnation;
    report.clock = this->clock(now);
    report.healthy = this->reportedHealth.value_or(true);
    report.draining = this->snapshot.draining;
    report.slots = this->settings.slots;
    report.busySlots = this->snapshot.busySlots;
    report.load = this->reportedLoad.value_or(this->snapshot.load);
    this->reply(call, report);
}

auto UpstreamModel::handleRun(Instant now, CallId call, const RunRequest &request) -> void
{
    QueuedRun run{call, request, now + request.remaining};
    if (this->cancelledAttempts.contains(request.attempt)) {
        this->refuseRun(run, RunStatus::Cancelled);
        return;
    }
    const auto status = this->check(now, run);
    if (status != RunStatus::Done) {
        this->refuseRun(run, status);
        return;
    }
    if (this->busySlots() < this->settings.slots && this->queue.empty()) {
        this->startRun(now, std::move(run));
        return;
    }
    if (this->queue.size() >= this->settings.queueLimit) {
        this->refuseRun(run, RunStatus::Shed);
        return;
    }
    this->queue.push_back(std::move(run));
}

auto UpstreamModel::check(Instant now, const QueuedRun &run) const -> RunStatus
{
    if (now >= run.deadline) {
        return RunStatus::DeadlinePassed;
    }
    const auto &shard = run.request.shard;
    if (run.request.fence < this->grants.highestFence(shard)) {
        return RunStatus::StaleFence;
    }
    const auto held = this->grants.heldFence(this->clock(now), shard);
    if (held != run.request.fence || this->grants.isClosing(shard)) {
        return RunStatus::NotOwner;
    }
    const auto drained =
        this->drainingSince.has_value() && now - *this->drainingSince >= this->settings.drainGrace;
    return drained ? RunStatus::Draining : RunStatus::Done;
}

auto UpstreamModel::startRun(Instant now, QueuedRun run) -> void
{
    const auto plan = planOf(run.request.operation);
    const auto time = this->serviceTime(now, plan.serviceTime.value_or(this->settings.serviceTime));
    RunRecord record;
    record.incarnation = this->currentIncarnation;
    record.id = run.request.id;
    record.attempt = run.request.attempt;
    record.shard = run.request.shard;
    record.fence = run.request.fence;
    record.key = run.request.key;
    record.idempotent = run.request.idempotent;
    record.start = now;
    const auto number = this->log.start(std::move(record));
    this->running.push_back({std::move(run), number, now, now + time, plan.crashes});
}

auto UpstreamModel::startQueued(Instant now) -> void
{
    while (!this->queue.empty() && this->busySlots() < this->settings.slots) {
        auto run = std::move(this->queue.front());
        this->queue.pop_front();
        const auto status = this->check(now, run);
        if (status != RunStatus::Done) {
            this->refuseRun(run, status);
            continue;
        }
        this->startRun(now, std::move(run));
    }
}

auto UpstreamModel::endRun(Instant now, std::size_t index, RunStatus status) -> void
{
    const auto active = std::move(this->running[index]);
    this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(index));
    this->log.finish(active.number, now, status, status == RunStatus::Done);
    this->endedAttempts.insert(active.run.request.attempt);
    RunAnswer answer;
    answer.attempt = active.run.request.attempt;
    answer.incarnation = this->currentIncarnation;
    answer.runStatus = status;
    answer.serviceTime = now - active.start;
    if (status == RunStatus::Done) {
        answer.status = answerStatus;
        answer.body = answerBody(active.run.request);
    }
    this->reply(active.run.call, std::move(answer));
}

auto UpstreamModel::refuseRun(const QueuedRun &run, RunStatus status) -> void
{
    RunAnswer answer;
    answer.attempt = run.request.attempt;
    answer.incarnation = this->currentIncarnation;
    answer.runStatus = status;
    this->reply(run.call, std::move(answer));
}

auto UpstreamModel::refuseQueuedOf(const ShardId &shard) -> void
{
    std::deque<QueuedRun> kept;
    for (auto &run : this->queue) {
        if (run.request.shard == shard) {
            this->refuseRun(run, RunStatus::NotOwner);
            continue;
        }
        kept.push_back(std::move(run));
    }
    this->queue = std::move(kept);
}

auto UpstreamModel::handleCancel(Instant now, CallId call, const CancelRun &cancel) -> void
{
    RunAnswer answer;
    answer.attempt = cancel.attempt;
    answer.incarnation = this->currentIncarnation;
    answer.runStatus = RunStatus::Cancelled;
    const auto active =
        std::find_if(this->running.begin(), this->running.end(), [&cancel](const ActiveRun &run) {
            return run.run.request.attempt == cancel.attempt;
        });
    const auto queued =
        std::find_if(this->queue.begin(), this->queue.end(), [&cancel](const QueuedRun &run) {
            return run.request.attempt == cancel.attempt;
        });
    if (active != this->running.end()) {
        answer.runStatus = RunStatus::Aborted;
        this->endRun(now, static_cast<std::size_t>(active - this->running.begin()),
                     RunStatus::Aborted);
        this->startQueued(now);
        this->finishBatches(now);
    } else if (queued != this->queue.end()) {
        this->refuseRun(*queued, RunStatus::Cancelled);
        this->queue.erase(queued);
    } else if (this->endedAttempts.contains(cancel.attempt)) {
        answer.runStatus = RunStatus::Aborted;
    } else {
        this->cancelledAttempts.insert(cancel.attempt);
    }
    this->reply(call, std::move(answer));
}

auto UpstreamModel::hasRunning(const ShardId &shard) const -> bool
{
    return std::any_of(this->running.begin(), this->running.end(),
                       [&shard](const ActiveRun &run) { return run.run.request.shard == shard; });
}

auto UpstreamModel::serviceTime(Instant now, Duration warmTime) const -> Duration
{
    const auto age = now - this->incarnationStart;
    if (age >= this->settings.coldStart) {
        return warmTime;
    }
    const auto remainingShare =
        1.0
        - static_cast<double>(age.count()) / static_cast<double>(this->settings.coldStart.count());
    const auto factor = 1.0 + (this->settings.coldStartFactor - 1.0) * remainingShare;
    return Duration{static_cast<Duration::rep>(static_cast<double>(warmTime.count()) * factor)};
}

auto UpstreamModel::clock(Instant now) const -> UpstreamInstant
{
    const auto elapsed = now - this->started;
    const auto drift = elapsed.count() * this->settings.clockRatePpm / partsPerMillion;
    return this->settings.clockStart + elapsed + Duration{drift};
}

auto UpstreamModel::heldFence(Instant now, const ShardId &shard) const -> std::optional<Fence>
{
    return this->isCrashed ? std::nullopt : this->grants.heldFence(this->clock(now), shard);
}

auto UpstreamModel::reply(CallId call, UpstreamAnswer answer) -> void
{
    this->replies.push_back({call, std::move(answer)});
}

auto UpstreamModel::takeReplies() -> std::vector<UpstreamReply>
{
    return std::exchange(this->replies, {});
}

} // namespace gooseberrywall
