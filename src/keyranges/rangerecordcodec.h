#pragma once

#include "keyranges/types/rangeorders.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// @returns the record as the store keeps it (JSON)
[[nodiscard]] auto encodeRangeRecord(const RangeRecord &record) -> std::string;

/// @returns nothing where the text is no record, or its spans overlap
[[nodiscard]] auto decodeRangeRecord(std::string_view text) -> std::optional<RangeRecord>;

} // namespace gooseberrywall
