#pragma once

#include "protocol/types/cellrecord.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace gooseberrywall {

/// A version of the cell's record with indexes for look-ups; immutable, so that it can be shared.
class Table
{
public:
    explicit Table(CellRecord record);

    [[nodiscard]] auto record() const -> const CellRecord & { return this->cellRecord; }
    [[nodiscard]] auto version() const -> RecordVersion { return this->cellRecord.version; }

    /// @returns the shard that serves the key: its own shard if the key is pinned, else that of its
    ///          hash range; nothing if the service is unknown or has no shards
    [[nodiscard]] auto shardOf(const ServiceName &service, const Key &key) const
        -> std::optional<ShardId>;

    /// @returns the shard of the key's hash range, whether or not the key is pinned; nothing if the
    ///          service is unknown or has no shards
    [[nodiscard]] auto rangeOf(const ServiceName &service, const Key &key) const
        -> std::optional<ShardId>;

    /// @returns the entry; nullptr if the record has none for the id
    [[nodiscard]] auto shard(const ShardId &id) const -> const ShardEntry *;

    /// @returns the entry; nullptr if the record has none for the id
    [[nodiscard]] auto upstream(const UpstreamId &id) const -> const UpstreamEntry *;

private:
    /// Position of a service's shards in the sorted list of all shards.
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
