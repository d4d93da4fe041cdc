#pragma once

#include "common/types/ids.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace gooseberrywall {

/// Names a shard: the unit of ownership of a service's keys.
/// Numbers from 0 to the service's shard count less one are hash ranges; higher ones are pinned
/// keys.
struct ShardId
{
    ServiceName service;
    std::uint32_t number = 0;

    auto operator<=>(const ShardId &) const = default;
};

} // namespace gooseberrywall

template<>
struct std::hash<gooseberrywall::ShardId>
{
    auto operator()(const gooseberrywall::ShardId &shard) const noexcept -> std::size_t
    {
        return std::hash<gooseberrywall::ServiceName>{}(shard.service) * 31U + shard.number;
    }
};
