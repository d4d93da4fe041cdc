#include "forwarding/stallwatch.h"

namespace gooseberrywall {

auto StallWatch::onTick(Instant now) -> void
{
    if (now - this->tickedAt > pauseLimit) {
        this->pauseStart = this->tickedAt;
        this->pauseEnd = now;
    }
    this->tickedAt = now;
}

auto StallWatch::longestWait(Instant now) const -> Duration
{
    if (now - this->tickedAt > pauseLimit) {
        return now - this->tickedAt;
    }
    const auto isCatchingUp = this->pauseEnd != Instant{} && now - this->pauseEnd < catchUpTime;
    return isCatchingUp ? now - this->pauseStart : Duration{0};
}

} // namespace gooseberrywall
