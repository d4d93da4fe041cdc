#include "benchmarks/digesttree.h"

#include "common/hash.h"

#include <algorithm>
#include <string>

namespace gooseberrywall {

namespace {

auto digestOf(const ShardEntry &shard) -> std::uint64_t
{
    const auto text =
        shard.id.service.value + '/' + std::to_string(shard.id.number) + '/' + shard.owner.value
        + '/' + shard.next.value + '/' + std::to_string(static_cast<int>(shard.stage)) + '/'
        + std::to_string(shard.fence.term) + '/' + std::to_string(shard.fence.sequence) + '/'
        + std::to_string(shard.nextFence.term) + '/' + std::to_string(shard.nextFence.sequence);
    return stableHash(text);
}

} // namespace

DigestTree::DigestTree(const CellRecord &record, std::size_t buckets)
    : buckets(std::max<std::size_t>(1, buckets))
{
    for (const auto &shard : record.shards) {
        this->buckets[this->bucketOf(shard.id)] ^= digestOf(shard);
    }
    for (std::size_t bucket = 0; bucket < this->buckets.size(); ++bucket) {
        this->rootDigest ^= stableHash(std::to_string(this->buckets[bucket]), bucket);
    }
}

auto DigestTree::bucketOf(const ShardId &shard) const -> std::size_t
{
    return stableHash(shard.service.value, shard.number) % this->buckets.size();
}

auto DigestTree::differences(const DigestTree &other) const -> std::vector<std::size_t>
{
    std::vector<std::size_t> different;
    const auto count = std::min(this->buckets.size(), other.buckets.size());
    for (std::size_t bucket = 0; bucket < count; ++bucket) {
        if (this->buckets[bucket] != other.buckets[bucket]) {
            different.push_back(bucket);
        }
    }
    return different;
}

} // namespace gooseberrywall
