#pragma once

#include "protocol/types/cellrecord.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gooseberrywall {

/// A hash tree over the shards of a record: a root, buckets, and the shards as leaves. With one
/// bucket, the tree has depth two.
class DigestTree
{
public:
    /// @param buckets number of nodes between the root and the shards, at least one
    DigestTree(const CellRecord &record, std::size_t buckets);

    [[nodiscard]] auto root() const -> std::uint64_t { return this->rootDigest; }
    [[nodiscard]] auto bucketOf(const ShardId &shard) const -> std::size_t;
    /// @returns the indices of the buckets that differ
    [[nodiscard]] auto differences(const DigestTree &other) const -> std::vector<std::size_t>;

private:
    std::vector<std::uint64_t> buckets;
    std::uint64_t rootDigest = 0;
};

} // namespace gooseberrywall
