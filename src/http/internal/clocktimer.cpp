#include "http/clocktimer.h"

#include "http/timeval.h"

#include <chrono>
#include <utility>

namespace gooseberrywall {

auto monotonicNow() -> Instant
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return Instant{std::chrono::duration_cast<Duration>(since)};
}

ClockTimer::ClockTimer(event_base *base, std::function<void()> due)
    : due(std::move(due))
    , timer(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *self) { static_cast<ClockTimer *>(self)->due(); }, this))
{
}

auto ClockTimer::set(std::optional<Instant> moment) -> void
{
    if (!moment.has_value()) {
        event_del(this->timer.get());
        return;
    }
    const auto delay = toTimeval(*moment - monotonicNow());
    event_add(this->timer.get(), &delay);
}

} // namespace gooseberrywall
