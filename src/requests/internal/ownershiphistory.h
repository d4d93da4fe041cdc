#pragma once

#include "ownership/table.h"
#include "requests/types/outcomekey.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// Remembers under what each shard was owned last, as far as no version of the record was missed
/// since. Tells whether an outcome memory continues from one owner to the next without a gap.
class OwnershipHistory
{
public:
    /// Follows the record. A skipped version may have held an owner that nobody here knows of.
    auto onTable(const Table &table) -> void;

    /// @returns what the shard was owned under before its present owner; nothing where unknown
    [[nodiscard]] auto previous(const ShardId &shard) const -> std::optional<OwnershipEpoch>;

    /// @returns what the shard is owned under; nothing where it has no owner
    [[nodiscard]] auto current(const ShardId &shard) const -> std::optional<OwnershipEpoch>;

    /// @returns whether the present owner is surely the first one ever
    [[nodiscard]] auto isFirst(const ShardId &shard) const -> bool;

private:
    struct ShardHistory
    {
        std::optional<OwnershipEpoch> current;
        std::optional<OwnershipEpoch> previous;
        bool isFirst = false;
    };

    auto updateShard(const Table &table, const ShardEntry &entry, bool skipped) -> void;

    std::optional<RecordVersion> version;
    std::map<ShardId, ShardHistory> histories;
};

} // namespace gooseberrywall
