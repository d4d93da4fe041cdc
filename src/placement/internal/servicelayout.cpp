#include "placement/internal/servicelayout.h"

#include "placement/internal/hashplacement.h"

#include <algorithm>
#include <numeric>

namespace gooseberrywall {

namespace {

/// Each shard counts with at least this share of the mean shard load, so that idle shards are
/// spread too.
constexpr double minShardShare = 0.1;
/// Busy slots added to that minimum, so that shards are spread even if all are idle.
constexpr double minShardSlots = 1e-6;

auto stateOf(const CellRecord &record, const UpstreamId &id) -> std::optional<UpstreamState>
{
    const auto entry =
        std::find_if(record.upstreams.begin(), record.upstreams.end(),
                     [&id](const UpstreamEntry &upstream) { return upstream.id == id; });
    if (entry == record.upstreams.end()) {
        return std::nullopt;
    }
    return entry->state;
}

} // namespace

ServiceLayout::ServiceLayout(const ServiceName &service, const CellRecord &record,
                             const LoadHistory &history)
{
    for (const auto &upstream : record.upstreams) {
        if (upstream.service == service && canReceiveShards(upstream)) {
            this->upstreams.push_back({upstream.id, 1.0, !history.isUnhealthy(upstream.id)});
        }
    }
    std::vector<const ShardEntry *> entries;
    auto total = 0.0;
    for (const auto &shard : record.shards) {
        if (shard.id.service == service) {
            entries.push_back(&shard);
            total += history.loadOf(shard.id);
        }
    }
    const auto minShardLoad =
        entries.empty()
            ? 0.0
            : minShardSlots + minShardShare * total / static_cast<double>(entries.size());
    for (const auto *entry : entries) {
        LayoutShard shard{entry->id, std::max(minShardLoad, history.loadOf(entry->id)),
                          history.varianceOf(entry->id)};
        shard.isMoving = entry->stage == ShardStage::Transferring;
        const auto isOwned = entry->stage == ShardStage::Owned;
        const auto holder = this->indexOf(shard.isMoving ? entry->next : entry->owner);
        shard.isMovable = isOwned && holder.has_value();
        shard.needsOwner =
            entry->stage == ShardStage::Unowned
            || (isOwned && !holder && stateOf(record, entry->owner) == UpstreamState::Leaving);
        this->shards.push_back(std::move(shard));
        if (holder) {
            this->assign(this->shards.size() - 1, *holder);
        }
    }
}

auto ServiceLayout::assign(std::size_t shard, std::size_t upstream) -> void
{
    auto &moved = this->shards[shard];
    if (moved.holder != LayoutShard::noHolder) {
        auto &former = this->upstreams[moved.holder];
        former.load -= moved.load;
        former.variance -= moved.variance;
        former.shardCount -= 1;
    }
    moved.holder = upstream;
    this->upstreams[upstream].load += moved.load;
    this->upstreams[upstream].variance += moved.variance;
    this->upstreams[upstream].shardCount += 1;
}

auto ServiceLayout::indexOf(const UpstreamId &id) const -> std::optional<std::size_t>
{
    for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
        if (this->upstreams[index].id == id) {
            return index;
        }
    }
    return std::nullopt;
}

auto ServiceLayout::indexOf(const ShardId &id) const -> std::optional<std::size_t>
{
    const auto entry = std::lower_bound(
        this->shards.begin(), this->shards.end(), id,
        [](const LayoutShard &shard, const ShardId &wanted) { return shard.id < wanted; });
    if (entry == this->shards.end() || entry->id != id) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(entry - this->shards.begin());
}

auto ServiceLayout::leastLoadedTarget(double load) const -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    auto bestRelativeLoad = 0.0;
    // If all upstreams are unhealthy, health gives no reason to prefer one of them.
    const auto anyTarget = std::any_of(this->upstreams.begin(), this->upstreams.end(),
                                       [](const auto &upstream) { return upstream.isTarget; });
    for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
        const auto &upstream = this->upstreams[index];
        const auto relativeLoad = (upstream.load + load) / upstream.capacity;
        const auto isBetter = !best || relativeLoad < bestRelativeLoad
                              || (relativeLoad == bestRelativeLoad
                                  && upstream.shardCount < this->upstreams[*best].shardCount);
        if ((upstream.isTarget || !anyTarget) && isBetter) {
            best = index;
            bestRelativeLoad = relativeLoad;
        }
    }
    return best;
}

auto ServiceLayout::byRelativeLoad() const -> std::vector<std::size_t>
{
    std::vector<std::size_t> indices(this->upstreams.size());
    std::iota(indices.begin(), indices.end(), 0U);
    std::stable_sort(indices.begin(), indices.end(), [this](std::size_t left, std::size_t right) {
        return this->upstreams[left].relativeLoad() > this->upstreams[right].relativeLoad();
    });
    return indices;
}

auto ServiceLayout::meanRelativeLoad() const -> double
{
    auto load = 0.0;
    auto capacity = 0.0;
    for (const auto &upstream : this->upstreams) {
        load += upstream.load;
        capacity += upstream.capacity;
    }
    return capacity > 0.0 ? load / capacity : 0.0;
}

auto ServiceLayout::meanShardCount() const -> double
{
    return this->upstreams.empty() ? 0.0
                                   : static_cast<double>(this->shards.size())
                                         / static_cast<double>(this->upstreams.size());
}

auto ServiceLayout::movesInProgress() const -> int
{
    return static_cast<int>(std::count_if(this->shards.begin(), this->shards.end(),
                                          [](const auto &shard) { return shard.isMoving; }));
}

} // namespace gooseberrywall
