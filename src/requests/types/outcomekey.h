#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "protocol/types/peermessages.h"

#include <compare>
#include <functional>
#include <vector>

namespace gooseberrywall {

/// Identifies a request among all of a service: two callers may choose the same id.
struct OutcomeKey
{
    CallerId caller;
    RequestId id;

    auto operator<=>(const OutcomeKey &) const = default;
};

/// Under what a shard was owned.
struct OwnershipEpoch
{
    Fence fence;
    /// Term of the owner's grantor.
    Term term;

    auto operator==(const OwnershipEpoch &) const -> bool = default;
};

/// What a memory knows of one shard; moves with the shard.
struct ShardOutcomes
{
    /// The last ownership that the memory has seen.
    OwnershipEpoch lastEpoch;
    OutcomeCoverage coverage;
    std::vector<OutcomeEntry> entries;

    auto operator==(const ShardOutcomes &) const -> bool = default;
};

/// The two times that a memory of outcomes needs.
struct OutcomeTime
{
    Instant now{};
    /// Zero: not known.
    UnixMillis wall = 0;

    auto operator==(const OutcomeTime &) const -> bool = default;
};

/// How a memory of outcomes is bounded.
struct OutcomeLimits
{
    std::size_t bytes = std::size_t{4} * 1024 * 1024;
    /// How long an entry is kept at least, unless its id says when it was issued.
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
