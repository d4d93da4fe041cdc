#pragma once

#include "virtualcell.h"

#include <iostream>
#include <string>

namespace gooseberrywall {

/// Users require that a key is served again within this time after a loss.
inline constexpr Duration recoveryTimeLimit = std::chrono::seconds{5};
/// Maximum time for which a planned move makes a shard unavailable.
inline constexpr Duration plannedMoveInterruptionLimit = std::chrono::milliseconds{50};

/// A cell of today's size: 27 daemons and 41 upstreams of three services in four failure domains.
inline auto todaysCell(std::uint64_t seed = 1) -> VirtualCellOptions
{
    VirtualCellOptions options;
    options.seed = seed;
    for (const auto *name : {"fitment", "stockdesk", "loadout"}) {
        ServicePolicy policy;
        policy.service = ServiceName{name};
        options.services.push_back(policy);
    }
    return options;
}

/// A cell that is small enough for tests with many runs.
inline auto smallCell(std::uint64_t seed = 1) -> VirtualCellOptions
{
    auto options = todaysCell(seed);
    options.domains = 3;
    options.daemons = 9;
    options.upstreams = 9;
    for (auto &service : options.services) {
        service.shardCount = 8;
    }
    return options;
}

inline auto printDuration(const std::string &what, Duration time) -> void
{
    std::cout << what << ": " << static_cast<double>(time.count()) / 1000.0 << " ms\n";
}

/// @returns the index of the upstream that owns the first shard
inline auto firstOwner(VirtualCell &cell) -> int
{
    return std::stoi(cell.record().shards.front().owner.value.substr(1));
}

/// @returns the index of the upstream's grantor; -1 if the record lacks the upstream
inline auto grantorOf(VirtualCell &cell, int upstream) -> int
{
    for (const auto &entry : cell.record().upstreams) {
        if (entry.id == VirtualCell::upstreamId(upstream)) {
            return std::stoi(entry.grantor.value.substr(1));
        }
    }
    return -1;
}

/// @returns an upstream of the shard's service that isn't its owner; an empty id if there is none
inline auto otherUpstream(const CellRecord &record, const ShardEntry &shard) -> UpstreamId
{
    for (const auto &entry : record.upstreams) {
        if (entry.service == shard.id.service && entry.id != shard.owner) {
            return entry.id;
        }
    }
    return {};
}

} // namespace gooseberrywall
