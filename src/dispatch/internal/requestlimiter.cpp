#include "dispatch/requestlimiter.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// The bucket holds the requests of this time, and one at least.
constexpr double burstSeconds = 0.25;

} // namespace

auto RequestLimiter::onStated(RequestLimit limit, Instant sentAt, Instant now) -> void
{
    // Requests of the time without a limit don't count.
    this->tokens = this->limit().isLimited() ? this->tokensAt(now) : 0;
    this->tokensUpdatedAt = now;
    this->stated.onStated(limit, sentAt, now);
}

auto RequestLimiter::onSent(Instant now) -> void
{
    this->tokens = this->tokensAt(now) - 1;
    this->tokensUpdatedAt = now;
}

auto RequestLimiter::onNotSent(Instant now) -> void
{
    this->tokens = this->tokensAt(now) + 1;
    this->tokensUpdatedAt = now;
}

auto RequestLimiter::allows(Instant now) const -> bool
{
    return !this->limit().isLimited() || this->tokensAt(now) >= 1;
}

auto RequestLimiter::timeToNext(Instant now) const -> Duration
{
    if (this->allows(now)) {
        return Duration{0};
    }
    const auto seconds = (1 - this->tokensAt(now)) / this->ratePerSecond();
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

auto RequestLimiter::tokensAt(Instant now) const -> double
{
    if (!this->limit().isLimited()) {
        return 0;
    }
    const auto seconds = std::chrono::duration<double>(now - this->tokensUpdatedAt).count();
    const auto burst = std::max(1.0, burstSeconds * this->ratePerSecond());
    return std::min(burst, this->tokens + std::max(0.0, seconds) * this->ratePerSecond());
}

} // namespace gooseberrywall
