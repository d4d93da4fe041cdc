#include "ownership/table.h"

#include "common/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace gooseberrywall {

namespace {

auto pinnedBefore(const PinnedKey &left, const PinnedKey &right) -> bool
{
    return std::tie(left.service, left.key) < std::tie(right.service, right.key);
}

/// Maps a hash to one of `count` equal ranges, by its upper 32 bits and without a modulo bias.
auto rangeNumber(std::uint64_t hash, std::uint32_t count) -> std::uint32_t
{
    return static_cast<std::uint32_t>(((hash >> 32U) * count) >> 32U);
}

} // namespace

Table::Table(CellRecord record)
    : cellRecord(std::move(record))
{
    auto &content = this->cellRecord;
    std::sort(content.services.begin(), content.services.end(),
              [](const auto &left, const auto &right) { return left.service < right.service; });
    std::sort(content.upstreams.begin(), content.upstreams.end(),
              [](const auto &left, const auto &right) { return left.id < right.id; });
    std::sort(content.shards.begin(), content.shards.end(),
              [](const auto &left, const auto &right) { return left.id < right.id; });
    std::sort(content.pinnedKeys.begin(), content.pinnedKeys.end(), pinnedBefore);
    for (std::size_t index = 0; index < content.shards.size(); ++index) {
        auto &block = this->blocks[content.shards[index].id.service];
        block.first = block.count == 0 ? index : block.first;
        ++block.count;
    }
}

auto Table::rangeOf(const ServiceName &service, const Key &key) const -> std::optional<ShardId>
{
    const auto &services = this->cellRecord.services;
    const auto entry = std::lower_bound(
        services.begin(), services.end(), service,
        [](const ServiceEntry &left, const ServiceName &right) { return left.service < right; });
    if (entry == services.end() || entry->service != service || entry->shardCount == 0) {
        return std::nullopt;
    }
    return ShardId{service, rangeNumber(stableHash(key.value), entry->shardCount)};
}

auto Table::shardOf(const ServiceName &service, const Key &key) const -> std::optional<ShardId>
{
    auto range = this->rangeOf(service, key);
    const auto &pinned = this->cellRecord.pinnedKeys;
    if (!range || pinned.empty()) {
        return range;
    }
    const PinnedKey wanted{service, key, 0};
    const auto pin = std::lower_bound(pinned.begin(), pinned.end(), wanted, pinnedBefore);
    if (pin != pinned.end() && pin->service == service && pin->key == key) {
        return ShardId{service, pin->shardNumber};
    }
    return range;
}

auto Table::shard(const ShardId &id) const -> const ShardEntry *
{
    const auto block = this->blocks.find(id.service);
    if (block == this->blocks.end()) {
        return nullptr;
    }
    const auto *first = this->cellRecord.shards.data() + block->second.first;
    const auto *last = first + block->second.count;
    // Numbers have gaps only after a key was unpinned; without gaps no search is needed.
    if (id.number < block->second.count && first[id.number].id.number == id.number) {
        return first + id.number;
    }
    const auto *entry =
        std::lower_bound(first, last, id.number, [](const ShardEntry &left, std::uint32_t right) {
            return left.id.number < right;
        });
    return entry != last && entry->id.number == id.number ? entry : nullptr;
}

auto Table::upstream(const UpstreamId &id) const -> const UpstreamEntry *
{
    const auto &upstreams = this->cellRecord.upstreams;
    const auto entry = std::lower_bound(
        upstreams.begin(), upstreams.end(), id,
        [](const UpstreamEntry &left, const UpstreamId &right) { return left.id < right; });
    return entry != upstreams.end() && entry->id == id ? &*entry : nullptr;
}

} // namespace gooseberrywall
