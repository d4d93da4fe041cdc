#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstdint>
#include <vector>

namespace gooseberrywall {

/// A caller's weight when the callers compete for a service's capacity.
struct CallerShare
{
    CallerId caller;
    std::uint32_t share = 1;
    auto operator==(const CallerShare &) const -> bool = default;
};

/// Settings of one service in the operators' configuration.
struct ServicePolicy
{
    ServiceName service;
    std::uint32_t shardCount = 64;

    /// The upstream checks the grantor's term and the fence of each order.
    bool checksSender = true;
    /// Grants that are not renewed end after grantTimeToLive.
    bool grantsExpire = true;
    Duration grantTimeToLive = std::chrono::milliseconds{1500};
    /// Added to each time to live before a grant counts as ended, because clock rates differ.
    Duration clockMargin = std::chrono::milliseconds{50};
    /// How long a grantor acts without contact to a coordinator; zero: without bound, which is
    /// allowed only where the upstream checks the sender.
    Duration grantorAuthority{0};

    int slots = 3;
    /// How many of the slots long work may hold.
    int longWorkSlots = 1;
    /// Work that takes longer than this counts as long.
    Duration longWorkThreshold = std::chrono::milliseconds{200};
    int queueLimit = 256;
    int transferQueueLimit = 256;
    Duration defaultDeadline = std::chrono::seconds{2};
    Duration maximalDeadline = std::chrono::seconds{60};
    std::size_t bodyLimitBytes = std::size_t{64} * 1024;
    std::size_t answerLimitBytes = std::size_t{1024} * 1024;

    std::size_t outcomeMemoryBytes = std::size_t{4} * 1024 * 1024;
    Duration outcomeMemoryTime = std::chrono::minutes{10};
    /// How many retries are allowed, in percent of the requests sent.
    int retryBudgetPercent = 10;
    /// A request that was running at this many crashes of upstreams is quarantined.
    int quarantineAfterCrashes = 2;
    /// Time over which the load of a new upstream is ramped up.
    Duration coldStart = std::chrono::seconds{5};
    Duration drainTimeout = std::chrono::seconds{3};

    /// Callers with a configured share; others have a share of one, or are refused if
    /// `onlyListedCallers` is set.
    std::vector<CallerShare> callers;
    bool onlyListedCallers = false;

    auto operator==(const ServicePolicy &) const -> bool = default;
};

} // namespace gooseberrywall
