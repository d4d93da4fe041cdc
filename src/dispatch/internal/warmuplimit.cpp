#include "dispatch/warmuplimit.h"

#include <algorithm>
#include <limits>

namespace gooseberrywall {

namespace {

/// The bucket holds the requests of this time, the interval in which waiting requests are granted,
/// and one at least.
constexpr double burstSeconds = 0.02;

} // namespace

auto WarmUpLimit::set(double perSecond, Instant end, Instant now) -> void
{
    // Requests of the time without a bound don't count.
    this->tokens = this->isCold(now) ? this->tokensAt(now) : 0;
    this->tokensUpdatedAt = now;
    this->rate = perSecond;
    this->end = end;
}

auto WarmUpLimit::onSent(Instant now) -> void
{
    this->tokens = this->tokensAt(now) - 1;
    this->tokensUpdatedAt = now;
}

auto WarmUpLimit::onNotSent(Instant now) -> void
{
    this->tokens = this->tokensAt(now) + 1;
    this->tokensUpdatedAt = now;
}

auto WarmUpLimit::ratePerSecond(Instant now) const -> double
{
    return this->isCold(now) ? this->rate : std::numeric_limits<double>::infinity();
}

auto WarmUpLimit::allows(Instant now) const -> bool
{
    return !this->isCold(now) || this->tokensAt(now) >= 1;
}

auto WarmUpLimit::timeToNext(Instant now) const -> Duration
{
    if (this->allows(now)) {
        return Duration{0};
    }
    const std::chrono::duration<double> wait((1 - this->tokensAt(now)) / this->rate);
    const std::chrono::duration<double> left(this->end - now);
    return std::chrono::ceil<Duration>(std::min(wait, left));
}

auto WarmUpLimit::tokensAt(Instant now) const -> double
{
    const auto seconds = std::chrono::duration<double>(now - this->tokensUpdatedAt).count();
    const auto burst = std::max(1.0, burstSeconds * this->rate);
    return std::min(burst, this->tokens + std::max(0.0, seconds) * this->rate);
}

} // namespace gooseberrywall
