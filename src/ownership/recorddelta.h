#pragma once

#include "protocol/types/cellrecord.h"

#include <optional>

namespace gooseberrywall {

/// Finds what has changed between two versions of a record.
/// @returns a record with the header of `next` and only its changed upstreams and shards; upstreams
///          that are there only because a shard names them have an empty service. Nothing where
///          services or pinned keys have changed or entries were removed: then the whole record is
///          needed.
[[nodiscard]] auto recordDelta(const CellRecord &base, const CellRecord &next)
    -> std::optional<CellRecord>;

/// @param delta as recordDelta() returned it for this `base`
/// @returns the later version of the record
[[nodiscard]] auto applyDelta(const CellRecord &base, const CellRecord &delta) -> CellRecord;

} // namespace gooseberrywall
