#include "ownership/internal/shardplanner.h"

#include "ownership/internal/fencerules.h"

#include <algorithm>

namespace gooseberrywall {

ShardPlanner::ShardPlanner(const PlanningContext &context, CellRecord &record, PinPlanner &pins)
    : context(context)
    , record(record)
    , pins(pins)
{
    for (const auto &entry : record.upstreams) {
        this->upstreams[entry.id] = &entry;
    }
}

auto ShardPlanner::run(const PlanFunction &plan, bool balance) -> void
{
    this->addServices();
    this->finishTransfers();
    this->pins.finish(this->context, this->record);
    if (balance || this->needsPlacement()) {
        this->place(plan, balance);
    }
}

auto ShardPlanner::upstream(const UpstreamId &id) const -> const UpstreamEntry *
{
    const auto entry = this->upstreams.find(id);
    return entry == this->upstreams.end() ? nullptr : entry->second;
}

auto ShardPlanner::addServices() -> void
{
    auto &services = this->record.services;
    const auto before = services.size();
    for (const auto &policy : this->context.cellView.policies.present()) {
        const auto isKnown = std::any_of(services.begin(), services.end(), [&](const auto &entry) {
            return entry.service == policy.service;
        });
        if (isKnown || policy.shardCount == 0) {
            continue;
        }
        services.push_back({policy.service, policy.shardCount});
        for (std::uint32_t number = 0; number < policy.shardCount; ++number) {
            ShardEntry shard;
            shard.id = {policy.service, number};
            this->record.shards.push_back(std::move(shard));
        }
    }
    if (services.size() > before) {
        std::sort(services.begin(), services.end(),
                  [](const auto &left, const auto &right) { return left.service < right.service; });
        std::sort(this->record.shards.begin(), this->record.shards.end(),
                  [](const auto &left, const auto &right) { return left.id < right.id; });
    }
}

auto ShardPlanner::finishTransfers() -> void
{
    for (auto &shard : this->record.shards) {
        const auto isDone = shard.stage == ShardStage::Transferring
                            && this->context.reports.isReleased(shard.id, shard.fence)
                            && !this->pins.isWaiting(shard.id);
        if (!isDone) {
            continue;
        }
        const auto *next = this->upstream(shard.next);
        if (next != nullptr && takesShards(*next)) {
            makeOwned(shard, shard.next, shard.nextFence);
        } else {
            makeUnowned(shard, shard.nextFence);
        }
    }
}

auto ShardPlanner::needsPlacement() const -> bool
{
    return std::any_of(this->record.shards.begin(), this->record.shards.end(),
                       [&](const auto &shard) {
                           if (shard.stage == ShardStage::Unowned) {
                               return true;
                           }
                           const auto *owner = this->upstream(shard.owner);
                           return shard.stage == ShardStage::Owned && owner != nullptr
                                  && owner->state == UpstreamState::Leaving;
                       });
}

auto ShardPlanner::drainsUnderWay() const -> int
{
    return static_cast<int>(
        std::count_if(this->record.shards.begin(), this->record.shards.end(),
                      [](const auto &shard) { return shard.stage == ShardStage::Transferring; }));
}

auto ShardPlanner::place(const PlanFunction &plan, bool balance) -> void
{
    const auto &reports = this->context.reports;
    const PlacementInput input{this->record, this->context.cellView.policies.present(),
                               reports.upstreamLoads(), reports.shardLoads()};
    const auto planned = plan(this->context.now, input);
    auto budget = balance ? this->context.settings.moveBudget : 0;
    for (const auto &move : planned.moves) {
        this->applyMove(move, budget);
    }
    for (const auto &pin : planned.pins) {
        if (budget > 0 && this->pins.begin(pin, this->record)) {
            --budget;
        }
    }
}

auto ShardPlanner::applyMove(const PlannedMove &move, int &budget) -> void
{
    const auto shard =
        std::lower_bound(this->record.shards.begin(), this->record.shards.end(), move.shard,
                         [](const auto &entry, const auto &id) { return entry.id < id; });
    const auto *target = this->upstream(move.to);
    const auto isValid = shard != this->record.shards.end() && shard->id == move.shard
                         && target != nullptr && takesShards(*target)
                         && target->service == move.shard.service && shard->owner != move.to;
    if (!isValid) {
        return;
    }
    if (shard->stage == ShardStage::Unowned) {
        makeOwned(*shard, target->id, fenceAfter(shard->fence, target->term));
        return;
    }
    const auto *owner = this->upstream(shard->owner);
    if (shard->stage != ShardStage::Owned || owner == nullptr
        || owner->state == UpstreamState::Lost) {
        return;
    }
    if (owner->state == UpstreamState::Leaving) {
        if (this->drainsUnderWay() < this->context.settings.drainBudget) {
            beginTransfer(*shard, *target);
        }
        return;
    }
    if (budget > 0) {
        --budget;
        beginTransfer(*shard, *target);
    }
}

} // namespace gooseberrywall
