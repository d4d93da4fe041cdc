#pragma once

#include "common/types/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace gooseberrywall {

/// Limits the retries of a service within a sliding window.
struct RetryWindowSettings
{
    /// Retries allowed per first attempt in the window.
    double ratio = 0.2;
    /// Retries allowed in addition, whatever the number of first attempts.
    double extra = 10;
    Duration window = std::chrono::seconds{10};
    /// Share of the allowance that this daemon uses, 0 to 1; the rest covers retries that it
    /// doesn't see, such as those under an earlier grantor.
    double usableShare = 0.5;
    auto operator==(const RetryWindowSettings &) const -> bool = default;
};

/// Retry budget of a service: counts first attempts and retries over a sliding window that is
/// divided into slices. Both counts cover the current slice and the `sliceCount` slices before it,
/// so that retries are counted over at least the whole window at each moment.
class RetryWindow
{
public:
    explicit RetryWindow(RetryWindowSettings settings);

    /// Sets the allowance, which also applies to the attempts already in the window.
    /// @param ratio retries allowed per first attempt
    /// @param extra retries allowed in addition
    auto setAllowance(double ratio, double extra) -> void;
    /// Counts a first attempt.
    auto onRequest(Instant now) -> void;
    /// Counts a retry if the budget allows it.
    /// @returns whether the retry is allowed
    [[nodiscard]] auto tryTake(Instant now) -> bool;

private:
    struct Slice
    {
        /// Number of the slice since the clock's epoch; -1 if unused.
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
