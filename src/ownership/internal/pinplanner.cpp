#include "ownership/internal/pinplanner.h"

#include "ownership/internal/fencerules.h"
#include "ownership/table.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

auto findShard(CellRecord &record, const ShardId &id) -> ShardEntry *
{
    const auto entry = std::find_if(record.shards.begin(), record.shards.end(),
                                    [&](const auto &shard) { return shard.id == id; });
    return entry == record.shards.end() ? nullptr : &*entry;
}

auto findUpstream(const CellRecord &record, const UpstreamId &id) -> const UpstreamEntry *
{
    const auto entry = std::find_if(record.upstreams.begin(), record.upstreams.end(),
                                    [&](const auto &upstream) { return upstream.id == id; });
    return entry == record.upstreams.end() ? nullptr : &*entry;
}

/// @returns the shard of the key's hash range, whether or not the key is pinned
auto rangeOf(const CellRecord &record, const PlannedPin &pin) -> std::optional<ShardId>
{
    CellRecord ranges;
    ranges.services = record.services;
    return Table(std::move(ranges)).shardOf(pin.service, pin.key);
}

auto pinnedShardOf(const CellRecord &record, const PlannedPin &pin) -> std::optional<ShardId>
{
    for (const auto &pinned : record.pinnedKeys) {
        if (pinned.service == pin.service && pinned.key == pin.key) {
            return ShardId{pinned.service, pinned.shardNumber};
        }
    }
    return std::nullopt;
}

} // namespace

auto PinPlanner::begin(const PlannedPin &pin, CellRecord &record) -> bool
{
    const auto range = rangeOf(record, pin);
    const auto pinned = pinnedShardOf(record, pin);
    if (!range || pinned.has_value() == pin.pinned) {
        return false;
    }
    Change change{pin, *range, {*range}};
    if (pinned) {
        change.shards.push_back(*pinned);
    }
    const auto *rangeShard = findShard(record, *range);
    const auto *owner = rangeShard == nullptr ? nullptr : findUpstream(record, rangeShard->owner);
    const auto canBegin =
        owner != nullptr && acceptsShards(*owner)
        && std::all_of(change.shards.begin(), change.shards.end(), [&](const auto &id) {
               const auto *shard = findShard(record, id);
               return shard != nullptr && shard->stage == ShardStage::Owned
                      && shard->owner == owner->id;
           });
    if (!canBegin) {
        return false;
    }
    for (const auto &id : change.shards) {
        beginTransfer(*findShard(record, id), *owner);
    }
    this->changes.push_back(std::move(change));
    return true;
}

auto PinPlanner::handlesTransferOf(const ShardId &shard) const -> bool
{
    return std::any_of(this->changes.begin(), this->changes.end(), [&](const auto &change) {
        return std::find(change.shards.begin(), change.shards.end(), shard) != change.shards.end();
    });
}

auto PinPlanner::finishReleased(const PlanningContext &context, CellRecord &record) -> void
{
    std::erase_if(this->changes, [&](const Change &change) {
        auto areMoving = true;
        auto areReleased = true;
        for (const auto &id : change.shards) {
            const auto *shard = findShard(record, id);
            const auto isMoving = shard != nullptr && shard->stage == ShardStage::Transferring
                                  && shard->owner == shard->next;
            areMoving = areMoving && isMoving;
            areReleased = areReleased && isMoving && context.reports.isReleased(id, shard->fence);
        }
        if (areReleased && change.pin.pinned) {
            createPin(change, record);
        } else if (areReleased) {
            removePin(change, record);
        }
        return areReleased || !areMoving;
    });
}

auto PinPlanner::createPin(const Change &change, CellRecord &record) -> void
{
    auto *range = findShard(record, change.range);
    const auto owner = range->owner;
    makeOwned(*range, owner, range->nextFence);
    ShardEntry shard;
    shard.id = change.range;
    for (const auto &other : record.shards) {
        if (other.id.service == change.range.service) {
            shard.id.number = std::max(shard.id.number, other.id.number + 1);
        }
    }
    const auto term = static_cast<std::uint32_t>(allocateTerm(record).value);
    makeOwned(shard, owner, Fence{term, 1});
    record.pinnedKeys.push_back({change.pin.service, change.pin.key, shard.id.number});
    const auto position =
        std::lower_bound(record.shards.begin(), record.shards.end(), shard.id,
                         [](const auto &entry, const auto &id) { return entry.id < id; });
    record.shards.insert(position, shard);
}

auto PinPlanner::removePin(const Change &change, CellRecord &record) -> void
{
    auto *range = findShard(record, change.range);
    const auto owner = range->owner;
    makeOwned(*range, owner, range->nextFence);
    const auto pinned = change.shards.back();
    std::erase_if(record.shards, [&](const auto &shard) { return shard.id == pinned; });
    std::erase_if(record.pinnedKeys, [&](const auto &pin) {
        return pin.service == pinned.service && pin.shardNumber == pinned.number;
    });
}

auto PinPlanner::cancelAll() -> void
{
    this->changes.clear();
}

} // namespace gooseberrywall
