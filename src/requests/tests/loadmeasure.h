#pragma once

#include "common/types/instant.h"

#include <algorithm>
#include <queue>
#include <vector>

namespace gooseberrywall {

/// One request of a load.
struct OfferedWork
{
    Instant at{};
    Duration serviceTime{0};
    Duration timeout{0};
    bool isLong = false;
};

struct FifoResult
{
    Instant startedAt{};
    Instant endedAt{};
};

/// Simulates slots that take the load from one unbounded first-in-first-out queue.
/// @param load by time of arrival
/// @returns when each request starts and ends
inline auto serveFirstInFirstOut(const std::vector<OfferedWork> &load, int slots)
    -> std::vector<FifoResult>
{
    std::priority_queue<Instant, std::vector<Instant>, std::greater<>> freeAt;
    for (int slot = 0; slot < slots; ++slot) {
        freeAt.push(Instant{});
    }
    std::vector<FifoResult> results;
    results.reserve(load.size());
    for (const auto &work : load) {
        const auto start = std::max(work.at, freeAt.top());
        freeAt.pop();
        freeAt.push(start + work.serviceTime);
        results.push_back({start, start + work.serviceTime});
    }
    return results;
}

/// @param values in any order
/// @param probability between zero and one
/// @returns the quantile; zero where there are no values
inline auto quantileOf(std::vector<Duration> values, double probability) -> Duration
{
    if (values.empty()) {
        return Duration{0};
    }
    const auto index = static_cast<std::size_t>(probability * static_cast<double>(values.size()));
    const auto position =
        values.begin() + static_cast<std::ptrdiff_t>(std::min(index, values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace gooseberrywall
