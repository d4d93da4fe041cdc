#pragma once

#include "protocol/types/cellrecord.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace gooseberrywall {

/// A version of the cell's record, indexed for look-ups. Immutable, so that it can be shared.
class Table
{
public:
    explicit Table(CellRecord record);

    [[nodiscard]] auto record() const -> const CellRecord & { return this->cellRecord; }
    [[nodiscard]] auto version() const -> RecordVersion { return this->cellRecord.version; }

    /// @returns the shard of a key: its own where the key is pinned, else its hash range's;
    ///          nothing where the service is unknown
    [[nodiscard]] auto shardOf(const ServiceName &service, const Key &key) const
        -> std::optional<ShardId>;

    /// @returns the hash range of a key, whether or not the key is pinned; nothing where the
    /// service
    ///          is unknown
    [[nodiscard]] auto rangeOf(const ServiceName &service, const Key &key) const
        -> std::optional<ShardId>;

    /// @returns the entry, or nullptr where the record doesn't have it
    [[nodiscard]] auto shard(const ShardId &id) const -> const ShardEntry *;

    /// @returns the entry, or nullptr where the record doesn't have it
    [[nodiscard]] auto upstream(const UpstreamId &id) const -> const UpstreamEntry *;

private:
    /// Where a service's shards stand among all, which are sorted.
    struct ShardBlock
    {
        std::size_t first = 0;
        std::size_t count = 0;
    };

    CellRecord cellRecord;
    std::unordered_map<ServiceName, ShardBlock> blocks;
};

using TablePointer = std::shared_ptr<const Table>;

} // namespace gooseberrywall
