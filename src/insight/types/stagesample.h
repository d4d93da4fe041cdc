#pragma once

#include "common/types/instant.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// Parts of a request's time at its entry daemon.
enum class RequestStage : std::uint8_t {
    /// In the grantor's queue, from its word that the request waits to its verdict.
    Queue,
    /// From asking the grantor to its verdict, with the queue.
    Permit,
    /// From the sending to an upstream to the attempt's end.
    Upstream,
    /// From the request's arrival to its end.
    Total,
};

/// @returns the stage as it stands in metrics, such as "queue"
[[nodiscard]] auto toString(RequestStage stage) -> std::string_view;

/// Times of one stage of one route's requests since the start of the daemon.
struct StageSample
{
    struct Bucket
    {
        Duration upperBound{0};
        /// Times up to the bound, those of lower buckets among them.
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
