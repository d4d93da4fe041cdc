#include "dispatch/crashmemory.h"

#include <algorithm>

namespace gooseberrywall {

CrashMemory::CrashMemory(CrashMemorySettings settings)
    : settings(settings)
{
}

auto CrashMemory::onUnanswered(RequestPrint print, const UpstreamId &upstream, Incarnation life,
                               Instant now) -> void
{
    if (print.value == 0) {
        return;
    }
    std::erase_if(this->unanswered,
                  [&](const Unanswered &each) { return now - each.at > this->settings.lossTime; });
    this->unanswered.push_back(Unanswered{print, upstream, life, now});
}

auto CrashMemory::onLost(const UpstreamId &upstream, Incarnation life, Instant now) -> void
{
    for (const auto &each : this->unanswered) {
        const auto isHere = each.upstream == upstream && each.life == life
                            && now - each.at <= this->settings.lossTime;
        if (isHere) {
            auto &suspect = this->suspects[each.print];
            suspect.crashes.emplace(upstream, life);
            suspect.last = now;
        }
    }
    std::erase_if(this->unanswered, [&](const Unanswered &each) {
        return each.upstream == upstream && each.life == life;
    });
    while (this->suspects.size() > this->settings.suspectLimit) {
        this->forgetOldest();
    }
}

auto CrashMemory::onAnswered(RequestPrint print) -> void
{
    this->suspects.erase(print);
}

auto CrashMemory::isQuarantined(RequestPrint print, Instant now) const -> bool
{
    const auto found = this->suspects.find(print);
    return found != this->suspects.end()
           && found->second.crashes.size() >= this->settings.crashLimit
           && now - found->second.last <= this->settings.memory;
}

auto CrashMemory::forgetOldest() -> void
{
    const auto oldest = std::min_element(
        this->suspects.begin(), this->suspects.end(),
        [](const auto &left, const auto &right) { return left.second.last < right.second.last; });
    this->suspects.erase(oldest);
}

} // namespace gooseberrywall
