#include "entry/requestlimitshare.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

using Seconds = std::chrono::duration<double>;

/// A request may be sent within this time from the start of a period.
constexpr double usableSeconds = 0.5;
/// An upstream that takes no requests gets as many still, as only answers tell that it takes some.
constexpr double minRatePerSecond = 0.5;
/// A limit that no answer has stated for this long is forgotten.
constexpr Duration limitMemory = std::chrono::seconds{30};

} // namespace

RequestLimitShare::RequestLimitShare(std::uint64_t seed)
    : phase(static_cast<double>(seed % 1000) / 1000)
{
}

auto RequestLimitShare::onStated(RequestLimit stated, Instant sentAt, Instant now) -> void
{
    if (stated.isLimited()) {
        this->limit = stated;
        this->statedAt = now;
    } else if (sentAt >= this->statedAt) {
        this->limit = stated;
    }
}

auto RequestLimitShare::allows(std::size_t daemonCount, Instant now) const -> bool
{
    if (!this->limit.isLimited() || now - this->statedAt > limitMemory) {
        return true;
    }
    const auto period = static_cast<double>(std::max<std::size_t>(1, daemonCount))
                        / std::max(minRatePerSecond, this->limit.perSecond);
    const auto moment = Seconds(now.time_since_epoch()).count();
    const auto sinceStart =
        (moment / period - this->phase - std::floor(moment / period - this->phase)) * period;
    return sinceStart < usableSeconds && Seconds(now - this->sentAt).count() > sinceStart;
}

} // namespace gooseberrywall
