#include "stubs/upstream/upstreammodel.h"

#include <algorithm>
#include <utility>

// The part of UpstreamModel that advances the time and starts and ends incarnations.

namespace gooseberrywall {

auto UpstreamModel::advance(Instant now) -> void
{
    if (this->isFrozen && this->frozenUntil.has_value() && *this->frozenUntil <= now) {
        this->resume(*this->frozenUntil);
    }
    if (!this->isFrozen && !this->isCrashed) {
        this->stepTo(now);
    }
}

auto UpstreamModel::catchUp(Instant now) -> void
{
    this->notBefore = now;
    if (this->isFrozen && this->frozenUntil.has_value() && *this->frozenUntil <= now) {
        this->resume(now);
    }
    this->advance(now);
}

auto UpstreamModel::stepTo(Instant now) -> void
{
    while (!this->isCrashed) {
        const auto next = this->nextRunChange();
        if (!next.has_value() || *next > now) {
            return;
        }
        // A run that became due during a freeze is checked at the time when the freeze ended.
        this->stepRuns(std::max(*next, this->notBefore));
    }
}

auto UpstreamModel::stepRuns(Instant now) -> void
{
    for (std::size_t index = 0; index < this->running.size();) {
        const auto &active = this->running[index];
        if (active.finish > now && active.run.deadline > now) {
            ++index;
            continue;
        }
        if (active.crashes && active.finish <= now) {
            this->crash(now);
            return;
        }
        const auto &request = active.run.request;
        const auto isInTime = active.finish <= active.run.deadline && now <= active.run.deadline;
        const auto isOwner =
            this->grants.heldFence(this->clock(now), request.shard) == request.fence;
        this->endRun(now, index, isInTime && isOwner ? RunStatus::Done : RunStatus::Aborted);
    }
    std::deque<QueuedRun> kept;
    for (auto &run : this->queue) {
        if (run.deadline <= now) {
            this->refuseRun(run, RunStatus::DeadlinePassed);
            continue;
        }
        kept.push_back(std::move(run));
    }
    this->queue = std::move(kept);
    this->startQueued(now);
    this->finishBatches(now);
}

auto UpstreamModel::nextRunChange() const -> std::optional<Instant>
{
    std::optional<Instant> next;
    const auto consider = [&next](Instant candidate) {
        next = next.has_value() ? std::min(*next, candidate) : candidate;
    };
    for (const auto &active : this->running) {
        consider(std::min(active.finish, active.run.deadline));
    }
    for (const auto &run : this->queue) {
        consider(run.deadline);
    }
    return next;
}

auto UpstreamModel::nextChange() const -> std::optional<Instant>
{
    if (this->isCrashed) {
        return std::nullopt;
    }
    return this->isFrozen ? this->frozenUntil : this->nextRunChange();
}

auto UpstreamModel::freeze(Instant now, std::optional<Instant> until) -> void
{
    this->advance(now);
    this->isFrozen = !this->isCrashed;
    this->frozenUntil = until;
}

auto UpstreamModel::resume(Instant now) -> void
{
    if (!this->isFrozen) {
        return;
    }
    this->isFrozen = false;
    this->frozenUntil = std::nullopt;
    this->notBefore = now;
    this->stepTo(now);
    const auto waiting = std::exchange(this->inbox, {});
    for (const auto &call : waiting) {
        this->handle(now, call);
    }
}

auto UpstreamModel::crash(Instant now) -> void
{
    if (this->isCrashed) {
        return;
    }
    this->notBefore = now;
    this->isCrashed = true;
    this->isFrozen = false;
    for (const auto &active : this->running) {
        this->reply(active.run.call, UpstreamFailure::NoAnswer);
    }
    for (const auto &run : this->queue) {
        this->reply(run.call, UpstreamFailure::NoAnswer);
    }
    for (const auto &batch : this->pendingBatches) {
        this->reply(batch.call, UpstreamFailure::NoAnswer);
    }
    for (const auto &call : this->inbox) {
        this->reply(call.id, UpstreamFailure::NoAnswer);
    }
    this->clearIncarnationState();
}

auto UpstreamModel::restart(Instant now, Incarnation next) -> void
{
    this->crash(now);
    this->isCrashed = false;
    this->currentIncarnation = next;
    this->incarnationStart = now;
    this->notBefore = now;
    this->snapshot = {now, false, 0, 0.0};
}

auto UpstreamModel::clearIncarnationState() -> void
{
    this->grants = GrantLedger(this->settings.checksSender, this->settings.grantsExpire);
    this->running.clear();
    this->queue.clear();
    this->pendingBatches.clear();
    this->inbox.clear();
    this->endedAttempts = {};
    this->cancelledAttempts = {};
    this->drainingSince = std::nullopt;
    this->frozenUntil = std::nullopt;
}

auto UpstreamModel::setDraining(Instant now, bool draining) -> void
{
    this->advance(now);
    this->drainingSince = draining ? std::optional{now} : std::nullopt;
}

} // namespace gooseberrywall
