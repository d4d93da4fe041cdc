#include "edge/grantorrole.h"
#include "storelink/erakey.h"

#include <memory>

namespace gooseberrywall {

namespace {

/// Added to a claim's delay for each service that the daemon grants already.
constexpr Duration delayPerGrant = std::chrono::milliseconds{150};

} // namespace

auto GrantorRole::onGrantor(const std::optional<ElectedGrantor> &grantor, int grantedCount) -> void
{
    const auto mayNotReach = this->spec.isSharded && !this->areUpstreamsReached;
    this->election.onElectedGrantor(
        grantor, this->ownClaimDelay + delayPerGrant * grantedCount
                     + (mayNotReach ? this->settings.isolatedClaimDelay : Duration{0}));
    this->knownGrantor = grantor;
    if (grantor) {
        this->removeFormerClaim(*grantor);
        this->hasKnownOther = this->hasKnownOther || grantor->identity != this->ownGrantorText();
    }
    const auto isReplaced = grantor && this->term && grantor->term > *this->term;
    if (this->serving && isReplaced) {
        this->onReplaced();
    }
    if (grantor) {
        this->scheduleHandover(*grantor, this->now());
    }
}

auto GrantorRole::onStoreEra(std::uint64_t era) -> void
{
    this->firstEra = this->firstEra == 0 ? era : this->firstEra;
    const auto wasLeading = this->isLeading();
    this->election.onStoreEra(era);
    if (wasLeading && !this->isLeading()) {
        LogLine line("grantor_claim_lost");
        line.with("service", this->spec.name.value)
            .with("era", static_cast<std::int64_t>(era))
            .with("why", "the store was restored");
        this->log(LogLevel::Warning, line);
    }
}

auto GrantorRole::removeFormerClaim(const ElectedGrantor &grantor) -> void
{
    const auto isFormer = grantor.identity.starts_with(this->settings.daemon.value + " ")
                          && grantor.identity != this->ownGrantorText()
                          && grantor.term != this->removedClaimTerm;
    if (!isFormer) {
        return;
    }
    // This daemon's earlier incarnation has ended, so there is no need to wait until its lease
    // expires.
    this->removedClaimTerm = grantor.term;
    const auto key =
        eraKey(this->settings.grantorPrefix + this->spec.name.value, eraOf(grantor.term));
    StoreTransaction transaction;
    transaction.conditions = {StoreCondition{key, grantor.term}};
    transaction.removals = {key};
    this->call(transaction, [this](const StoreAnswer &answer) {
        LogLine line("former_claim_removed");
        line.with("service", this->spec.name.value)
            .with("done", answer.kind == StoreAnswer::Kind::Ok ? "yes" : "no");
        this->log(LogLevel::Info, line);
    });
}

auto GrantorRole::onElected(StoreRevision term) -> void
{
    if (this->election.hasReclaimed() && this->serving) {
        this->onReclaimed(term);
        return;
    }
    const auto moment = this->now();
    this->term = term;
    this->serving = true;
    this->holdUntilListed();
    this->isRecordAdopted = false;
    this->isProlonging = false;
    this->ranges.reset();
    this->unwrittenRecord.reset();
    this->isRecordUncertain = false;
    this->recordDue = moment;
    this->updateWarmUpRate(moment);
    this->authority = AuthorityPeriod{moment, moment};
    this->updateAuthority(moment);
    this->broker->setUpstreams(this->upstreams, moment);
    LogLine line("grantor_elected");
    line.with("service", this->spec.name.value).with("term", static_cast<std::int64_t>(term.value));
    this->log(LogLevel::Info, line);
    if (!this->areDaemonsKnown && !this->isReadingDaemons) {
        this->readDaemons();
    }
    this->announce();
    if (this->spec.isSharded) {
        this->ranges = std::make_shared<RangeGrantor>(this->settings.ranges, term.value);
    }
}

auto GrantorRole::onReclaimed(StoreRevision term) -> void
{
    const auto moment = this->now();
    this->term = term;
    if (!this->election.hasLedThroughout()) {
        this->authority = AuthorityPeriod{moment, moment};
    }
    this->updateAuthority(moment);
    this->unwrittenRecord.reset();
    this->isRecordUncertain = false;
    this->recordRevision = StoreRevision{};
    this->recordDue = moment;
    this->daemons.retryText(moment);
    LogLine line("grantor_reclaimed");
    line.with("service", this->spec.name.value)
        .with("term", static_cast<std::int64_t>(term.value))
        .with("others_may_have_led", this->election.hasLedThroughout() ? "no" : "yes");
    this->log(LogLevel::Info, line);
    this->announce();
    if (!this->ranges) {
        return;
    }
    if (this->isRecordAdopted) {
        this->ranges->raiseTerm(term.value, !this->election.hasLedThroughout(), moment);
    } else {
        this->ranges = std::make_shared<RangeGrantor>(this->settings.ranges, term.value);
    }
}

auto GrantorRole::onReplaced() -> void
{
    LogLine line("grantor_replaced");
    line.with("service", this->spec.name.value)
        .with("term", static_cast<std::int64_t>(this->term->value));
    this->log(LogLevel::Warning, line);
    this->serving = false;
    this->isCutOff = false;
    this->heldUntil.reset();
    this->heldRequests.clear();
    this->ranges.reset();
    this->isRecordAdopted = false;
    // The new broker has no owners yet, even if the next term starts with the same ones.
    this->brokerOwners.clear();
    this->broker = std::make_unique<SlotBroker>(this->spec.name, this->spec.isSharded,
                                                this->settings.broker, this->settings.retries,
                                                this->settings.incarnation, this->quarantine);
    this->quarantine->forgetUnconfirmed();
}

auto GrantorRole::stepDownIfIsolated(Instant moment) -> void
{
    if (this->areUpstreamsReached || !this->spec.isSharded || !this->isLeading()
        || moment < this->stepDownDue) {
        return;
    }
    // All VMs may be isolated: the place isn't given from one to the other again and again.
    this->stepDownDue = moment + this->settings.stepDownInterval;
    LogLine line("grantor_stepped_down");
    line.with("service", this->spec.name.value).with("why", "no upstream reached");
    this->log(LogLevel::Warning, line);
    this->election.stepDown();
    this->updateAuthority(moment);
}

auto GrantorRole::resign() -> void
{
    if (this->isLeading()) {
        LogLine line("grantor_resigned");
        line.with("service", this->spec.name.value);
        this->log(LogLevel::Info, line);
    }
    this->election.resign();
    // Another daemon may be elected from now on.
    this->updateAuthority(this->now());
}

} // namespace gooseberrywall
