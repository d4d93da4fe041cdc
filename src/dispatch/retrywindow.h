#pragma once

#include "common/types/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace gooseberrywall {

/// Bounds the repeated sendings of a service within any window of time.
struct RetryWindowSettings
{
    /// Repeats allowed for each request in the window.
    double ratio = 0.2;
    /// Repeats allowed besides.
    double extra = 10;
    Duration window = std::chrono::seconds{10};
    /// Share of the allowance that is used; the rest covers what this daemon doesn't see, such as
    /// retries under an earlier grantor.
    double usableShare = 0.5;
    auto operator==(const RetryWindowSettings &) const -> bool = default;
};

/// Counts first sendings and retries over a sliding window. Requests are counted over a shorter
/// span than retries, so that the bound holds at each moment of the window.
class RetryWindow
{
public:
    explicit RetryWindow(RetryWindowSettings settings);

    /// Changes what is allowed for what has been counted already as well.
    auto setAllowance(double ratio, double extra) -> void;
    auto onRequest(Instant now) -> void;
    /// @returns whether a repeat is allowed now; counts it
    [[nodiscard]] auto tryTake(Instant now) -> bool;

private:
    struct Slice
    {
        std::int64_t index = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    static constexpr std::size_t sliceCount = 20;

    auto sliceAt(Instant now) -> Slice &;
    [[nodiscard]] auto sliceIndexAt(Instant now) const -> std::int64_t;

    RetryWindowSettings settings;
    std::array<Slice, sliceCount + 1> slices{};
};

} // namespace gooseberrywall
