#include "ownership/internal/leasekeeper.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr Duration earlyRenewInterval = std::chrono::milliseconds{200};

} // namespace

LeaseKeeper::LeaseKeeper(const DaemonIdentity &self, const CoordinatorSettings &settings,
                         std::uint64_t seed)
    : settings(settings)
    , name("cell/" + settings.cell + "/coordinator")
    , holder(self.id.value + "/" + std::to_string(self.incarnation.value))
    , random(seed)
{
}

auto LeaseKeeper::intervalFor(Instant now, LeaseUrgency urgency) const -> Duration
{
    if (this->backoff > Duration{0}) {
        return this->backoff;
    }
    if (this->isHeld(now)) {
        return this->isUrgent ? earlyRenewInterval : this->settings.leaseRenewInterval;
    }
    return urgency == LeaseUrgency::High ? this->settings.leaseTryInterval
                                         : this->settings.leaseIdleInterval;
}

auto LeaseKeeper::tick(Instant now, LeaseUrgency urgency, Outbox &out) -> void
{
    if (this->openCall || (urgency == LeaseUrgency::None && !this->isHeld(now))) {
        return;
    }
    if (this->lastTry && now - *this->lastTry < this->intervalFor(now, urgency)) {
        return;
    }
    this->lastTry = now;
    this->openSince = now;
    this->isUrgent = false;
    this->openCall =
        out.toStore(StoreLease{this->name, this->holder, this->settings.leaseTimeToLive},
                    this->settings.storeTimeout);
}

auto LeaseKeeper::onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer) -> bool
{
    if (this->openCall != call) {
        return false;
    }
    this->openCall.reset();
    if (answer.status == StoreStatus::Ok) {
        this->backoff = Duration{0};
        if (!this->isHeld(now)) {
            this->since = now;
        }
        this->lastGranted = this->openSince;
        return true;
    }
    if (answer.status == StoreStatus::Conflict) {
        this->backoff = Duration{0};
        this->doubt();
        return true;
    }
    this->backOff();
    return true;
}

auto LeaseKeeper::backOff() -> void
{
    const auto doubled = std::max(this->settings.leaseTryInterval, this->backoff * 2);
    const auto limited = std::min(doubled, this->settings.storeBackoffLimit);
    std::uniform_int_distribution<Duration::rep> spread(limited.count() / 2, limited.count());
    this->backoff = Duration{spread(this->random)};
}

auto LeaseKeeper::isHeld(Instant now) const -> bool
{
    return this->lastGranted && now < *this->lastGranted + this->settings.leaseTimeToLive;
}

auto LeaseKeeper::heldSince(Instant now) const -> std::optional<Instant>
{
    return this->isHeld(now) ? this->since : std::nullopt;
}

auto LeaseKeeper::renewSoon() -> void
{
    this->isUrgent = true;
}

auto LeaseKeeper::doubt() -> void
{
    this->lastGranted.reset();
    this->since.reset();
}

auto LeaseKeeper::release(Outbox &out) -> void
{
    if (this->lastGranted) {
        out.toStore(StoreLeaseRelease{this->name, this->holder}, this->settings.storeTimeout);
    }
    this->openCall.reset();
    this->doubt();
}

} // namespace gooseberrywall
