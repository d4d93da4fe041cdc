#pragma once

#include "dispatch/types/permits.h"

#include <vector>

/// Lists of ranges as sets of keys.
namespace gooseberrywall {

/// @returns the same keys in as few ranges as possible, sorted
[[nodiscard]] auto joined(std::vector<KeyRange> ranges) -> std::vector<KeyRange>;
/// @param ranges sorted and without overlaps, as is `removed`
/// @returns the keys of `ranges` that aren't in `removed`, sorted
[[nodiscard]] auto without(const std::vector<KeyRange> &ranges,
                           const std::vector<KeyRange> &removed) -> std::vector<KeyRange>;
/// @param ranges sorted and without overlaps
/// @returns whether a key of `range` is in one of `ranges`
[[nodiscard]] auto overlapsAny(const std::vector<KeyRange> &ranges, KeyRange range) -> bool;

} // namespace gooseberrywall
