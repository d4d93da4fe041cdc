#include "election/grantorelection.h"

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

auto GrantorElection::onElectedGrantor(const std::optional<ElectedGrantor> &note, Duration delay)
    -> void
{
    if (this->hasResigned) {
        return;
    }
    if (this->phase == State::Leading) {
        const auto isOther = note && note->identity != this->identity && note->term > this->wonTerm;
        // The watch may not show the own note yet, but it does once the authority has ended.
        const auto isGone = !note && this->now() >= this->authority;
        if (isOther || isGone) {
            this->authority = Instant{};
            this->step(State::Following, this->now());
        }
        return;
    }
    if (!note && this->phase == State::Following) {
        this->step(State::Waiting, this->now() + delay);
        return;
    }
    if (note && this->phase == State::Waiting) {
        this->step(State::Following, this->now());
    }
}

auto GrantorElection::advance() -> void
{
    // The lease is renewed beyond the end of the authority: where the store paused its leases, the
    // key is still there, and nobody else can have claimed it.
    if (this->isCalling || this->now() < this->due) {
        return;
    }
    switch (this->phase) {
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
    if (this->phase == State::Leading) {
        this->call(StoreLeaseEnd{this->lease}, [](const StoreAnswer &) {});
    }
    this->authority = Instant{};
    this->step(State::Following, this->now());
}

auto GrantorElection::term() const -> std::optional<StoreRevision>
{
    return this->phase == State::Leading ? std::optional(this->wonTerm) : std::nullopt;
}

auto GrantorElection::nextDue() const -> std::optional<Instant>
{
    return this->isCalling || this->phase == State::Following ? std::nullopt
                                                              : std::optional(this->due);
}

auto GrantorElection::openLease() -> void
{
    this->phase = State::OpeningLease;
    this->leaseSentAt = this->now();
    this->call(StoreLeaseOpen{this->settings.timeToLive}, [this](const StoreAnswer &answer) {
        if (this->phase != State::OpeningLease) {
            return;
        }
        if (answer.kind != Kind::Ok) {
            this->step(State::Waiting, this->now() + this->settings.retryPause);
            return;
        }
        this->lease = answer.lease;
        this->step(State::Claiming, this->now());
        this->advance();
    });
}

auto GrantorElection::claim() -> void
{
    StoreTransaction transaction;
    transaction.conditions.push_back(StoreCondition{this->key, StoreRevision{}});
    transaction.writes.push_back(StoreWrite{this->key, this->identity, this->lease});
    this->call(std::move(transaction),
               [this](const StoreAnswer &answer) { this->onClaimed(answer); });
}

auto GrantorElection::onClaimed(const StoreAnswer &answer) -> void
{
    if (this->phase != State::Claiming) {
        return;
    }
    switch (answer.kind) {
    case Kind::Ok:
        this->lead(answer.revision);
        return;
    case Kind::ConditionFailed:
        this->step(State::Following, this->now());
        return;
    case Kind::Refused:
    case Kind::NotFound:
    case Kind::HistoryGone:
        this->step(State::Waiting, this->now() + this->settings.retryPause);
        return;
    case Kind::Unknown:
        this->step(State::Verifying, this->now() + this->settings.retryPause);
        return;
    }
}

auto GrantorElection::verify() -> void
{
    this->call(StoreGet{this->key, false},
               [this](const StoreAnswer &answer) { this->onVerified(answer); });
}

auto GrantorElection::onVerified(const StoreAnswer &answer) -> void
{
    if (this->phase != State::Verifying) {
        return;
    }
    if (answer.kind == Kind::Ok && !answer.items.empty()) {
        const auto &item = answer.items.front();
        if (item.value == this->identity && item.lease == this->lease) {
            this->lead(item.created);
            return;
        }
        this->step(State::Following, this->now());
        return;
    }
    const auto isFree = answer.kind == Kind::NotFound;
    this->step(isFree ? State::Waiting : State::Verifying, this->now() + this->settings.retryPause);
}

auto GrantorElection::lead(StoreRevision term) -> void
{
    this->wonTerm = term;
    this->renewalFailures = 0;
    this->authority = this->leaseSentAt + this->settings.timeToLive - this->settings.margin;
    this->step(State::Leading, this->leaseSentAt + this->settings.renewEvery);
}

auto GrantorElection::renew() -> void
{
    const auto sentAt = this->now();
    this->call(StoreLeaseRenew{this->lease},
               [this, sentAt](const StoreAnswer &answer) { this->onRenewed(answer, sentAt); });
}

auto GrantorElection::onRenewed(const StoreAnswer &answer, Instant sentAt) -> void
{
    if (this->phase != State::Leading) {
        return;
    }
    if (answer.kind == Kind::Ok) {
        this->renewalFailures = 0;
        // The lease runs from the call's arrival, which is after its sending.
        this->authority =
            std::max(this->authority, sentAt + this->settings.timeToLive - this->settings.margin);
        this->due = sentAt + this->settings.renewEvery;
        return;
    }
    if (answer.kind == Kind::NotFound) {
        this->authority = Instant{};
        this->step(State::Following, this->now());
        return;
    }
    ++this->renewalFailures;
    this->due = this->now() + this->settings.retryPause;
}

auto GrantorElection::step(State next, Instant at) -> void
{
    this->phase = next;
    this->due = at;
}

auto GrantorElection::call(StoreCall call, std::function<void(const StoreAnswer &)> done) -> void
{
    this->isCalling = true;
    this->send(std::move(call), this->settings.callTimeout,
               [this, done = std::move(done),
                watcher = std::weak_ptr<bool>(this->alive)](const StoreAnswer &answer) {
                   if (watcher.expired()) {
                       return;
                   }
                   this->isCalling = false;
                   done(answer);
               });
}

} // namespace gooseberrywall
