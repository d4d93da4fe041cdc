#pragma once

#include "protocol/types/cellrecord.h"
#include "protocol/types/peermessages.h"

#include <vector>

namespace gooseberrywall {

/// Size of a sample record.
struct RecordSize
{
    int upstreams = 41;
    int shards = 1024;
    int pinnedKeys = 0;

    auto operator==(const RecordSize &) const -> bool = default;
};

/// The service of all sample records.
[[nodiscard]] auto sampleService() -> ServiceName;

/// @returns a record of one service with names of typical length, equal for equal sizes. Each
///          pinned key adds a shard to `shards`
[[nodiscard]] auto sampleRecord(const RecordSize &size) -> CellRecord;

/// @returns the next version of the record, with new fences for the given number of shards
[[nodiscard]] auto withChangedShards(CellRecord record, int shards) -> CellRecord;

/// @returns claims of the given number of daemons in nine failure domains
[[nodiscard]] auto sampleClaims(int daemons) -> std::vector<MemberClaim>;

} // namespace gooseberrywall
