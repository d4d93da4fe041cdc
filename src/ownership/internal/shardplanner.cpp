#include "ownership/internal/shardplanner.h"

#include "ownership/internal/fencerules.h"

#include <algorithm>

namespace gooseberrywall {

ShardPlanner::ShardPlanner(const PlanningContext &context, CellRecord &record,
                           PinPlanner &pinPlanner)
    : context(context)
    , record(record)
    , pinPlanner(pinPlanner)
{
    for (const auto &entry : record.upstreams) {
        this->upstreams[entry.id] = &entry;
    }
}

auto ShardPlanner::run(const PlanFunction &plan, bool mayBalance) -> void
{
    this->addServices();
    this->finishTransfers();
    this->pinPlanner.finishReleased(this->context, this->record);
    if (mayBalance || this->needsPlacement()) {
        this->place(plan, mayBalance);
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
    for (const auto &policy : this->context.cellView.policies.configured()) {
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
                            && !this->pinPlanner.handlesTransferOf(shard.id);
        if (!isDone) {
            continue;
        }
        const auto *next = this->upstream(shard.next);
        if (next != nullptr && acceptsShards(*next)) {
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

auto ShardPlanner::transfersUnderWay() const -> int
{
    return static_cast<int>(
        std::count_if(this->record.shards.begin(), this->record.shards.end(),
                      [](const auto &shard) { return shard.stage == ShardStage::Transferring; }));
}

auto ShardPlanner::place(const PlanFunction &plan, bool mayBalance) -> void
{
    const auto &reports = this->context.reports;
    const PlacementInput input{this->record, this->context.cellView.policies.configured(),
                               reports.upstreamLoads(), reports.shardLoads()};
    const auto planned = plan(this->context.now, input);
    auto budget = mayBalance ? this->context.settings.moveBudget : 0;
    for (const auto &move : planned.moves) {
        this->applyMove(move, budget);
    }
    for (const auto &pin : planned.pins) {
        if (budget > 0 && this->pinPlanner.begin(pin, this->record)) {
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
                         && target != nullptr && acceptsShards(*target)
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
        if (this->transfersUnderWay() < this->context.settings.drainBudget) {
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
