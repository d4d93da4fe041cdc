#pragma once

#include "common/types/instant.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// Parts of a request's time at its entry daemon.
enum class RequestStage : std::uint8_t {
    /// In the grantor's queue: from the grantor's notice that the request is queued to its verdict.
    Queue,
    /// From asking the grantor for a permit to its verdict, including the time in the queue.
    Permit,
    /// From sending the request to an upstream to the end of the attempt.
    Upstream,
    /// From the request's arrival to its end.
    Total,
};

/// @returns the name of the stage in metrics, such as "queue"
[[nodiscard]] auto toString(RequestStage stage) -> std::string_view;

/// Distribution of the times of one stage of one route's requests, since the start of the daemon.
struct StageSample
{
    struct Bucket
    {
        Duration upperBound{0};
        /// Number of times up to and including the bound, those in lower buckets included.
        std::uint64_t cumulativeCount = 0;
        auto operator==(const Bucket &) const -> bool = default;
    };

    std::string route;
    RequestStage stage = RequestStage::Total;
    std::vector<Bucket> buckets;
    std::uint64_t count = 0;
    Duration sum{0};
    auto operator==(const StageSample &) const -> bool = default;
};

} // namespace gooseberrywall
