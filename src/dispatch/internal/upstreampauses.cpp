#include "dispatch/upstreampauses.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// With this many permits at once an entry daemon is no longer limited.
constexpr int fullAllowance = 4;
/// An entry daemon without answers is limited for at most this long after its pause.
constexpr Duration recoveryTime = std::chrono::seconds{2};

} // namespace

auto UpstreamPauses::onStated(const Address &entry, Duration pause, bool isForwarded, Instant now)
    -> void
{
    const auto endsAt = now + pause;
    const auto known = this->pauses.find(entry);
    if (known == this->pauses.end() || known->second.endsAt < endsAt) {
        this->pauses[entry] = Pause{endsAt, isForwarded};
    }
}

auto UpstreamPauses::onGranted(const Address &entry) -> void
{
    if (const auto found = this->pauses.find(entry); found != this->pauses.end()) {
        ++found->second.inFlight;
    }
}

auto UpstreamPauses::onReturned(const Address &entry, Instant grantedAt) -> void
{
    if (auto *pause = this->endedBefore(entry, grantedAt)) {
        pause->inFlight = std::max(0, pause->inFlight - 1);
    }
}

auto UpstreamPauses::onServed(const Address &entry, Instant grantedAt) -> void
{
    auto *pause = this->endedBefore(entry, grantedAt);
    if (pause == nullptr) {
        return;
    }
    pause->allowance *= 2;
    if (pause->allowance >= fullAllowance) {
        this->pauses.erase(entry);
    }
}

auto UpstreamPauses::advance(Instant now) -> void
{
    std::erase_if(this->pauses,
                  [&](const auto &row) { return row.second.endsAt + recoveryTime <= now; });
}

auto UpstreamPauses::allows(const Address &entry, Instant now) const -> bool
{
    const auto found = this->pauses.find(entry);
    return found == this->pauses.end()
           || (found->second.endsAt <= now && found->second.inFlight < found->second.allowance);
}

auto UpstreamPauses::remaining(const Address &entry, Instant now) const -> Duration
{
    const auto found = this->pauses.find(entry);
    return found == this->pauses.end()
               ? Duration{0}
               : std::max(Duration{0}, Duration{found->second.endsAt - now});
}

auto UpstreamPauses::count(Instant now) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->pauses.begin(), this->pauses.end(), [&](const auto &row) {
            return row.second.endsAt > now && !row.second.isForwarded;
        }));
}

auto UpstreamPauses::endedBefore(const Address &entry, Instant grantedAt) -> Pause *
{
    const auto found = this->pauses.find(entry);
    return found != this->pauses.end() && found->second.endsAt <= grantedAt ? &found->second
                                                                            : nullptr;
}

} // namespace gooseberrywall
