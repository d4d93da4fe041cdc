#include "forwarding/stallwatch.h"

namespace gooseberrywall {

auto StallWatch::onWait(Instant now, Instant due) -> void
{
    if (this->isLate(now)) {
        this->pauseStart = this->waitingSince;
        this->pauseEnd = now;
    }
    this->waitingSince = now;
    this->wakeUpDue = due;
}

auto StallWatch::longestWait(Instant now) const -> Duration
{
    if (this->isLate(now)) {
        return now - this->waitingSince;
    }
    const auto isCatchingUp = this->pauseEnd != Instant{} && now - this->pauseEnd < catchUpTime;
    return isCatchingUp ? now - this->pauseStart : Duration{0};
}

auto StallWatch::isLate(Instant now) const -> bool
{
    return now - this->wakeUpDue > pauseLimit;
}

} // namespace gooseberrywall
