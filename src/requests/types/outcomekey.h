#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "protocol/types/peermessages.h"

#include <compare>
#include <functional>
#include <vector>

namespace gooseberrywall {

/// Identifies a request within a service; two callers may choose the same id.
struct OutcomeKey
{
    CallerId caller;
    RequestId id;

    auto operator<=>(const OutcomeKey &) const = default;
};

/// Period in which a shard had one owner: the fence, and the term of the owner's grantor.
struct OwnershipEpoch
{
    Fence fence;
    Term term;

    auto operator==(const OwnershipEpoch &) const -> bool = default;
};

/// Coverage and entries of an outcome memory for one shard; moves with the shard.
struct ShardOutcomes
{
    /// The last ownership that the outcomes include.
    OwnershipEpoch lastEpoch;
    OutcomeCoverage coverage;
    std::vector<OutcomeEntry> entries;

    auto operator==(const ShardOutcomes &) const -> bool = default;
};

/// Monotonic and wall-clock time, as an outcome memory needs both.
struct OutcomeTime
{
    Instant now{};
    /// Zero: unknown.
    UnixMillis wall = 0;

    auto operator==(const OutcomeTime &) const -> bool = default;
};

/// Limits of an outcome memory.
struct OutcomeLimits
{
    std::size_t maximalBytes = std::size_t{4} * 1024 * 1024;
    /// How long entries are kept; those whose id carries its time of issue may be evicted earlier.
    Duration retention = std::chrono::minutes{10};
    std::size_t keptAnswerLimitBytes = std::size_t{16} * 1024;
    std::chrono::milliseconds clockSkew{2000};

    auto operator==(const OutcomeLimits &) const -> bool = default;
};

} // namespace gooseberrywall

template<>
struct std::hash<gooseberrywall::OutcomeKey>
{
    auto operator()(const gooseberrywall::OutcomeKey &key) const noexcept -> std::size_t
    {
        return std::hash<gooseberrywall::CallerId>{}(key.caller) * 31U
               + std::hash<gooseberrywall::RequestId>{}(key.id);
    }
};
