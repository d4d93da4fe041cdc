#pragma once

#include <cstdint>
#include <string>

namespace gooseberrywall {

/// Keys whose values hold in one era of the store only, such as claims and records of owners. What
/// a restored store still has of an earlier era stands under other keys, so it is neither taken for
/// current nor changed by a daemon that doesn't know of the restoration yet.
/// @param era zero where the store doesn't tell its era
/// @returns the key in this era
[[nodiscard]] inline auto eraKey(const std::string &key, std::uint64_t era) -> std::string
{
    return era == 0 ? key : key + "@" + std::to_string(era);
}

/// @returns the key of the last era in which a daemon was elected for `key`
[[nodiscard]] inline auto lastEraKey(const std::string &key) -> std::string
{
    return key + "@last";
}

} // namespace gooseberrywall
