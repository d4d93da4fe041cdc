#include "election/grantorelection.h"

#include "storelink/erakey.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

using Kind = StoreAnswer::Kind;

GrantorElection::GrantorElection(std::string key, std::string identity, ElectionSettings settings,
                                 SendStoreCall send, std::function<Instant()> now)
    : key(std::move(key))
    , identity(std::move(identity))
    , settings(settings)
    , send(std::move(send))
    , now(std::move(now))
    , alive(std::make_shared<bool>(true))
{
}

GrantorElection::~GrantorElection() = default;

auto GrantorElection::onElectedGrantor(const std::optional<ElectedGrantor> &known,
                                       Duration claimDelay) -> void
{
    if (this->hasResigned) {
        return;
    }
    if (known) {
        this->onStoreEra(eraOf(known->term));
    }
    // A claim of an earlier era is none in this one.
    const auto isElected = known && eraOf(known->term) == this->era;
    if (this->currentState == State::Leading) {
        const auto isOtherElected =
            isElected && known->identity != this->identity && known->term > this->ownTerm;
        // While the authority lasts, a missing key only means that the watch doesn't show this
        // daemon's claim yet.
        const auto isKeyGone = !isElected && this->now() >= this->authorityEndsAt;
        if (isOtherElected || isKeyGone) {
            this->authorityEndsAt = Instant{};
            this->enterState(State::Following, this->now());
        }
        return;
    }
    if (!isElected && this->currentState == State::Following) {
        this->waitingDelay = claimDelay;
        this->enterState(State::Waiting,
                         std::max(this->now(), this->claimAllowedAt()) + claimDelay);
        return;
    }
    const auto isDelayLonger = claimDelay > this->waitingDelay && !this->reclaiming;
    if (!isElected && this->currentState == State::Waiting && isDelayLonger) {
        // This daemon has become grantor of another service meanwhile: others go first.
        this->due += claimDelay - this->waitingDelay;
        this->waitingDelay = claimDelay;
        return;
    }
    if (isElected && this->currentState == State::Waiting) {
        this->reclaiming = false;
        this->enterState(State::Following, this->now());
    }
}

auto GrantorElection::onStoreEra(std::uint64_t newEra) -> void
{
    if (newEra <= this->era) {
        return;
    }
    const auto wasLeading = this->currentState == State::Leading;
    // The owners are known only to a daemon that led in the era just before.
    this->reclaiming = wasLeading && !this->hasResigned && newEra == this->era + 1;
    // The store counts the time to live from the arrival of the renewal, so its lease ends later.
    this->ledThroughout =
        this->reclaiming && this->now() - this->renewedAt < this->settings.timeToLive;
    this->era = newEra;
    this->eraKnownSince = this->now();
    this->isEraSettled = false;
    this->isCalling = false;
    this->waitingDelay = Duration{0};
    // The authority of a lease that was renewed before lasts on: nobody else is elected before it
    // has ended.
    this->enterState(this->reclaiming ? State::Waiting : State::Following,
                     this->reclaiming ? this->claimAllowedAt() : this->now());
}

auto GrantorElection::onEraSettled(std::uint64_t settledEra) -> void
{
    if (settledEra != this->era || this->isEraSettled) {
        return;
    }
    this->isEraSettled = true;
    // Before this daemon's claim is sent, the one that was elected is another.
    const auto isClaimSent =
        this->currentState == State::Claiming || this->currentState == State::Verifying;
    if (this->reclaiming && !isClaimSent) {
        this->ledThroughout = false;
    }
    if (this->currentState == State::Waiting && !this->reclaiming) {
        this->due = std::min(this->due, this->now() + this->waitingDelay);
    }
}

auto GrantorElection::claimAllowedAt() const -> Instant
{
    if (this->isEraSettled) {
        return Instant{};
    }
    return this->eraKnownSince + this->settings.timeToLive
           + (this->reclaiming ? Duration{0} : this->settings.reclaimHeadStart);
}

auto GrantorElection::currentKey() const -> std::string
{
    return eraKey(this->key, this->era);
}

auto GrantorElection::advance() -> void
{
    // Leading renews the lease even after the end of the authority: if the store paused its leases
    // meanwhile, the key still exists, and no other daemon can have claimed it.
    if (this->isCalling || this->now() < this->due) {
        return;
    }
    switch (this->currentState) {
    case State::Waiting:
    case State::OpeningLease:
        this->openLease();
        return;
    case State::Claiming:
        this->claim();
        return;
    case State::Verifying:
        this->verify();
        return;
    case State::Leading:
        this->renew();
        return;
    case State::Following:
        return;
    }
}

auto GrantorElection::resign() -> void
{
    this->hasResigned = true;
    this->reclaiming = false;
    this->endLease();
}

auto GrantorElection::stepDown() -> void
{
    if (this->currentState == State::Leading) {
        this->endLease();
    }
}

auto GrantorElection::endLease() -> void
{
    if (this->currentState == State::Leading) {
        this->call(StoreLeaseEnd{this->lease}, [](const StoreAnswer &) {});
    }
    this->authorityEndsAt = Instant{};
    this->enterState(State::Following, this->now());
}

auto GrantorElection::term() const -> std::optional<StoreRevision>
{
    return this->currentState == State::Leading ? std::optional(this->ownTerm) : std::nullopt;
}

auto GrantorElection::nextDue() const -> std::optional<Instant>
{
    return this->isCalling || this->currentState == State::Following ? std::nullopt
                                                                     : std::optional(this->due);
}

auto GrantorElection::openLease() -> void
{
    this->currentState = State::OpeningLease;
    this->leaseRequestedAt = this->now();
    this->call(StoreLeaseOpen{this->settings.timeToLive}, [this](const StoreAnswer &answer) {
        if (this->currentState != State::OpeningLease) {
            return;
        }
        if (answer.kind != Kind::Ok) {
            this->enterState(State::Waiting, this->now() + this->settings.retryPause);
            return;
        }
        this->lease = answer.lease;
        this->enterState(State::Claiming, this->now());
        this->advance();
    });
}

auto GrantorElection::claim() -> void
{
    StoreTransaction transaction;
    transaction.conditions.push_back(StoreCondition{this->currentKey(), StoreRevision{}});
    if (this->era != 0) {
        transaction.writes.push_back(
            StoreWrite{lastEraKey(this->key), std::to_string(this->era), StoreLease{}});
    }
    // The last write, so that the revision of the transaction is that of the key, and the term.
    transaction.writes.push_back(StoreWrite{this->currentKey(), this->identity, this->lease});
    this->call(std::move(transaction),
               [this](const StoreAnswer &answer) { this->onClaimed(answer); });
}

auto GrantorElection::onClaimed(const StoreAnswer &answer) -> void
{
    if (this->currentState != State::Claiming) {
        return;
    }
    switch (answer.kind) {
    case Kind::Ok:
        this->startLeading(answer.revision);
        return;
    case Kind::ConditionFailed:
        this->reclaiming = false;
        this->enterState(State::Following, this->now());
        return;
    case Kind::Refused:
    case Kind::NotFound:
    case Kind::HistoryGone:
        this->enterState(State::Waiting, this->now() + this->settings.retryPause);
        return;
    case Kind::Unknown:
        this->enterState(State::Verifying, this->now() + this->settings.retryPause);
        return;
    }
}

auto GrantorElection::verify() -> void
{
    this->call(StoreGet{this->currentKey(), false},
               [this](const StoreAnswer &answer) { this->onVerified(answer); });
}

auto GrantorElection::onVerified(const StoreAnswer &answer) -> void
{
    if (this->currentState != State::Verifying) {
        return;
    }
    if (answer.kind == Kind::Ok && !answer.items.empty()) {
        const auto &item = answer.items.front();
        if (item.value == this->identity && item.lease == this->lease) {
            this->startLeading(item.created);
            return;
        }
        this->reclaiming = false;
        this->enterState(State::Following, this->now());
        return;
    }
    const auto isKeyFree = answer.kind == Kind::NotFound;
    this->enterState(isKeyFree ? State::Waiting : State::Verifying,
                     this->now() + this->settings.retryPause);
}

auto GrantorElection::startLeading(StoreRevision term) -> void
{
    this->ownTerm = term;
    this->renewalFailures = 0;
    this->isEraSettled = true;
    this->reclaimed =
        this->reclaiming && this->now() - this->renewedAt < this->settings.reclaimTimeLimit;
    this->reclaiming = false;
    this->renewedAt = this->leaseRequestedAt;
    this->authorityEndsAt =
        this->leaseRequestedAt + this->settings.timeToLive - this->settings.authorityMargin;
    this->enterState(State::Leading, this->leaseRequestedAt + this->settings.renewalInterval);
}

auto GrantorElection::renew() -> void
{
    const auto sentAt = this->now();
    this->call(StoreLeaseRenew{this->lease},
               [this, sentAt, renewed = this->lease](const StoreAnswer &answer) {
                   // After a step down the daemon may lead again, by another lease.
                   if (renewed == this->lease) {
                       this->onRenewed(answer, sentAt);
                   }
               });
}

auto GrantorElection::onRenewed(const StoreAnswer &answer, Instant sentAt) -> void
{
    if (this->currentState != State::Leading) {
        return;
    }
    if (answer.kind == Kind::Ok) {
        this->renewalFailures = 0;
        this->renewedAt = sentAt;
        // The store counts the time to live from the arrival of the call, so counting from its
        // sending never ends later.
        this->authorityEndsAt =
            std::max(this->authorityEndsAt,
                     sentAt + this->settings.timeToLive - this->settings.authorityMargin);
        this->due = sentAt + this->settings.renewalInterval;
        return;
    }
    if (answer.kind == Kind::NotFound) {
        this->authorityEndsAt = Instant{};
        this->enterState(State::Following, this->now());
        return;
    }
    ++this->renewalFailures;
    this->due = this->now() + this->settings.retryPause;
}

auto GrantorElection::enterState(State next, Instant at) -> void
{
    this->currentState = next;
    this->due = at;
}

auto GrantorElection::call(StoreCall call, std::function<void(const StoreAnswer &)> onAnswer)
    -> void
{
    this->isCalling = true;
    this->send(std::move(call), this->settings.callTimeout,
               [this, onAnswer = std::move(onAnswer), sentInEra = this->era,
                watcher = std::weak_ptr<bool>(this->alive)](const StoreAnswer &answer) {
                   if (watcher.expired()) {
                       return;
                   }
                   this->onStoreEra(answer.era.value_or(0));
                   // An answer from before a restoration says nothing of this era.
                   if (sentInEra != this->era) {
                       return;
                   }
                   this->isCalling = false;
                   onAnswer(answer);
               });
}

} // namespace gooseberrywall
