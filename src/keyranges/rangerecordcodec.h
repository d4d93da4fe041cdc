#pragma once

#include "keyranges/types/rangeorders.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// @returns the record as the JSON text that the store keeps
[[nodiscard]] auto encodeRangeRecord(const RangeRecord &record) -> std::string;

/// @param text as encodeRangeRecord() returns it
/// @returns the record, its rows in the order of their keys; nothing where the text is no record, a
/// range ends before it begins, or ranges overlap
[[nodiscard]] auto decodeRangeRecord(std::string_view text) -> std::optional<RangeRecord>;

} // namespace gooseberrywall
