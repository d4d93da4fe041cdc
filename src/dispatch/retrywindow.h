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
    /// Share of the allowance that this daemon uses, 0 to 1; the rest covers the retries that other
    /// grantors have allowed in the same window. With more than a half, changes of the grantor can
    /// exceed the allowance.
    double usableShare = 0.5;
    auto operator==(const RetryWindowSettings &) const -> bool = default;
};

/// The time for which this daemon is the only one that may be the grantor of a service.
struct AuthorityPeriod
{
    Instant from = Instant::min();
    Instant until = Instant::max();
    auto operator==(const AuthorityPeriod &) const -> bool = default;
};

/// Retry budget of a service: counts first attempts and retries over a sliding window that is
/// divided into slices. Both counts cover the current slice and the `sliceCount` slices before it,
/// so that retries are counted over at least the whole window at each moment.
///
/// The extra retries are earned by authority: only the part of the window in which this daemon had
/// it counts. The authority of different daemons never overlaps, and what was earned in one window
/// can be used in the next. So in any window, all grantors together earn at most twice the usable
/// share of the extra retries, however often they change.
class RetryWindow
{
public:
    explicit RetryWindow(RetryWindowSettings settings);

    /// Sets the allowance, which also applies to the attempts already in the window.
    /// @param ratio retries allowed per first attempt
    /// @param extra retries allowed in addition
    auto setAllowance(double ratio, double extra) -> void;
    /// Sets since when and until when this daemon has authority. Without a call it always has.
    auto setAuthority(const AuthorityPeriod &period) -> void { this->authority = period; }
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
    /// @returns the part of the window up to `now` in which this daemon had authority, 0 to 1
    [[nodiscard]] auto earnedShare(Instant now) const -> double;

    RetryWindowSettings settings;
    AuthorityPeriod authority;
    std::array<Slice, sliceCount + 1> slices{};
};

} // namespace gooseberrywall
