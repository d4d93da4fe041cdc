#include "ownership/internal/leasekeeper.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr Duration earlyRenewInterval = std::chrono::milliseconds{200};

} // namespace

LeaseKeeper::LeaseKeeper(const DaemonIdentity &self, const CoordinatorSettings &settings,
                         std::uint64_t seed)
    : settings(settings)
    , leaseName("cell/" + settings.cell + "/coordinator")
    , holderName(self.id.value + "/" + std::to_string(self.incarnation.value))
    , random(seed)
{
}

auto LeaseKeeper::intervalFor(Instant now, LeaseUrgency urgency) const -> Duration
{
    if (this->backoff > Duration{0}) {
        return this->backoff;
    }
    if (this->isHeld(now)) {
        return this->renewsEarly ? earlyRenewInterval : this->settings.leaseRenewInterval;
    }
    return urgency == LeaseUrgency::High ? this->settings.leaseTryInterval
                                         : this->settings.leaseIdleInterval;
}

auto LeaseKeeper::tick(Instant now, LeaseUrgency urgency, Outbox &out) -> void
{
    if (this->openCall || (urgency == LeaseUrgency::None && !this->isHeld(now))) {
        return;
    }
    if (this->lastAttemptAt && now - *this->lastAttemptAt < this->intervalFor(now, urgency)) {
        return;
    }
    this->lastAttemptAt = now;
    this->openCallSentAt = now;
    this->renewsEarly = false;
    this->openCall =
        out.toStore(StoreLease{this->leaseName, this->holderName, this->settings.leaseTimeToLive},
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
            this->heldFrom = now;
        }
        this->lastGrantedCallSentAt = this->openCallSentAt;
        return true;
    }
    if (answer.status == StoreStatus::Conflict) {
        this->backoff = Duration{0};
        this->invalidate();
        return true;
    }
    this->increaseBackoff();
    return true;
}

auto LeaseKeeper::increaseBackoff() -> void
{
    const auto doubled = std::max(this->settings.leaseTryInterval, this->backoff * 2);
    const auto capped = std::min(doubled, this->settings.storeBackoffLimit);
    std::uniform_int_distribution<Duration::rep> distribution(capped.count() / 2, capped.count());
    this->backoff = Duration{distribution(this->random)};
}

auto LeaseKeeper::isHeld(Instant now) const -> bool
{
    return this->lastGrantedCallSentAt
           && now < *this->lastGrantedCallSentAt + this->settings.leaseTimeToLive;
}

auto LeaseKeeper::heldSince(Instant now) const -> std::optional<Instant>
{
    return this->isHeld(now) ? this->heldFrom : std::nullopt;
}

auto LeaseKeeper::renewSoon() -> void
{
    this->renewsEarly = true;
}

auto LeaseKeeper::invalidate() -> void
{
    this->lastGrantedCallSentAt.reset();
    this->heldFrom.reset();
}

auto LeaseKeeper::release(Outbox &out) -> void
{
    if (this->lastGrantedCallSentAt) {
        out.toStore(StoreLeaseRelease{this->leaseName, this->holderName},
                    this->settings.storeTimeout);
    }
    this->openCall.reset();
    this->invalidate();
}

} // namespace gooseberrywall
