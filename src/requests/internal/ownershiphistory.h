#pragma once

#include "ownership/table.h"
#include "requests/types/outcomekey.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// Tracks the current and the previous ownership epoch of each shard, as far as no version of the
/// record was missed. Shows whether an outcome memory passes from one owner to the next without a
/// gap.
class OwnershipHistory
{
public:
    /// Applies a new version of the record. If versions were skipped, a changed epoch has no known
    /// previous one, since there may have been another owner between them.
    auto onTable(const Table &table) -> void;

    /// @returns the epoch before the current one; nothing where it isn't known
    [[nodiscard]] auto previous(const ShardId &shard) const -> std::optional<OwnershipEpoch>;

    /// @returns the latest known epoch; nothing where the shard has had no owner
    [[nodiscard]] auto current(const ShardId &shard) const -> std::optional<OwnershipEpoch>;

    /// @returns whether the current owner is certainly the shard's first
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
