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
    this->tokens = this->stated.value().isLimited() ? this->tokensAt(now) : 0;
    this->tokensUpdatedAt = now;
    this->stated.onStated(limit, sentAt, now);
}

auto RequestLimiter::onSent(Instant now) -> void
{
    this->warmUp.onSent(now);
    this->tokens = this->tokensAt(now) - 1;
    this->tokensUpdatedAt = now;
}

auto RequestLimiter::onNotSent(Instant now) -> void
{
    this->warmUp.onNotSent(now);
    this->tokens = this->tokensAt(now) + 1;
    this->tokensUpdatedAt = now;
}

auto RequestLimiter::allows(Instant now) const -> bool
{
    return this->warmUp.allows(now)
           && (!this->stated.value().isLimited() || this->tokensAt(now) >= 1);
}

auto RequestLimiter::timeToNext(Instant now) const -> Duration
{
    const auto warmUpWait = this->warmUp.timeToNext(now);
    if (!this->stated.value().isLimited() || this->tokensAt(now) >= 1) {
        return warmUpWait;
    }
    const auto seconds = (1 - this->tokensAt(now)) / this->stated.value().sendingRate();
    return std::max(warmUpWait,
                    std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds)));
}

auto RequestLimiter::tokensAt(Instant now) const -> double
{
    if (!this->stated.value().isLimited()) {
        return 0;
    }
    const auto seconds = std::chrono::duration<double>(now - this->tokensUpdatedAt).count();
    const auto burst = std::max(1.0, burstSeconds * this->stated.value().sendingRate());
    return std::min(burst,
                    this->tokens + std::max(0.0, seconds) * this->stated.value().sendingRate());
}

} // namespace gooseberrywall
