#include "entry/requestlimitshare.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

using Seconds = std::chrono::duration<double>;

/// A request may be sent within this time from the start of a period.
constexpr double usableSeconds = 0.5;
/// A limit that no answer has stated for this long is forgotten.
constexpr Duration limitMemory = std::chrono::seconds{30};

} // namespace

PeriodShare::PeriodShare(std::uint64_t seed)
    : phase(static_cast<double>(seed % 1000) / 1000)
{
}

auto PeriodShare::allows(double perSecond, double usableSeconds, std::size_t daemonCount,
                         Instant now) const -> bool
{
    const auto period = static_cast<double>(std::max<std::size_t>(1, daemonCount)) / perSecond;
    const auto periods = Seconds(now.time_since_epoch()).count() / period - this->phase;
    const auto sinceStart = (periods - std::floor(periods)) * period;
    return sinceStart < usableSeconds && Seconds(now - this->sentAt).count() > sinceStart;
}

RequestLimitShare::RequestLimitShare(std::uint64_t seed)
    : share(seed)
{
}

auto RequestLimitShare::allows(std::size_t daemonCount, Instant now) const -> bool
{
    const auto limit = this->stated.value();
    return !limit.isLimited() || now - this->stated.statedAt() > limitMemory
           || this->share.allows(limit.sendingRate(), usableSeconds, daemonCount, now);
}

} // namespace gooseberrywall
