#include "edge/grantorrole.h"
#include "keyranges/rangerecordcodec.h"
#include "storelink/erakey.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

/// Owners for unowned keys are planned at most this often.
constexpr Duration unownedPlanEvery = std::chrono::milliseconds{40};
/// The ends of orders that come within this time of the first are handled together.
constexpr Duration orderEndBatchTime = std::chrono::milliseconds{8};
/// A range record that no grant waits for is written at most this often.
constexpr Duration recordBatchTime = std::chrono::milliseconds{1500};
/// Upstreams that start at the same time as the daemons have registered within this time.
constexpr Duration firstPlanDelay = std::chrono::milliseconds{2500};

} // namespace

auto GrantorRole::advanceRanges(Instant moment) -> void
{
    this->ranges->setAuthorityEnd(this->election.authorityEnd());
    if (this->longestRequest > Duration{0}) {
        this->ranges->setLongestWork(this->longestRequest);
    }
    if (!this->isRecordAdopted) {
        const auto mayRead = this->hasUpstreams && !this->isRecordCallPending && this->isLeading()
                             && moment >= this->recordDue;
        if (mayRead) {
            this->readRecord();
        }
        return;
    }
    const auto isFailing =
        this->election.isReclaiming() || (this->isLeading() && this->election.isRenewalFailing());
    if (isFailing != this->isProlonging) {
        this->isProlonging = isFailing;
        LogLine line(isFailing ? "grant_prolonging_started" : "grant_prolonging_ended");
        line.with("service", this->spec.name.value)
            .with("why", this->election.isReclaiming() ? "claim lost"
                         : isFailing                   ? "lease renewal failed"
                                                       : "lease renewed");
        this->log(LogLevel::Warning, line);
        this->ranges->setGrantsProlonged(isFailing);
    }
    this->ranges->setAreAllUpstreamsListed(this->upstreamsListedAt >= this->upstreamsCompleteAt());
    this->ranges->advance(moment);
    this->logMissingFence();
    this->logReleaseRound();
    this->logHoldWait(moment);
    if (this->isLeading()) {
        this->plan(moment);
        this->writeRecord();
    }
    this->issueOrders();
    this->refreshOwners(moment);
}

auto GrantorRole::logMissingFence() -> void
{
    const auto isMissing = !this->ranges->hasFence();
    if (isMissing && !this->isFenceMissing) {
        LogLine line("fences_exhausted");
        line.with("service", this->spec.name.value)
            .with("term", static_cast<std::int64_t>(this->term ? this->term->value : 0))
            .with("era", static_cast<std::int64_t>(this->election.storeEra()))
            .with("effect", "no key gets a new owner")
            .with("remedy", "an era below 256 and revisions below 2^35 fit into a fence");
        this->log(LogLevel::Error, line);
    }
    this->isFenceMissing = isMissing;
}

auto GrantorRole::readRecord() -> void
{
    this->isRecordCallPending = true;
    this->call(StoreGet{this->recordKey(), false},
               [this, askedTerm = this->term,
                askedEra = this->election.storeEra()](const StoreAnswer &answer) {
                   this->isRecordCallPending = false;
                   // What a later era has under the key of this one may be older than what is lost.
                   const auto isSameEra = this->election.storeEra() == askedEra
                                          && answer.era.value_or(askedEra) == askedEra;
                   if (this->term == askedTerm && isSameEra) {
                       this->onRecordRead(answer);
                       this->advance();
                   }
               });
}

auto GrantorRole::onRecordRead(const StoreAnswer &answer) -> void
{
    if (answer.kind != StoreAnswer::Kind::Ok && answer.kind != StoreAnswer::Kind::NotFound) {
        this->recordDue = this->now() + this->settings.retryPause;
        return;
    }
    const auto isFound = answer.kind == StoreAnswer::Kind::Ok && !answer.items.empty();
    this->recordRevision = isFound ? answer.items.front().revision : StoreRevision{};
    this->isRecordUncertain = false;
    if (this->isRecordAdopted || !this->ranges) {
        return;
    }
    const auto era = this->election.storeEra();
    if (!isFound && era > 0) {
        this->readEarlierRecord(era - 1);
        return;
    }
    this->adoptRecord(answer, !isFound && !this->isFirstStart());
}

auto GrantorRole::isFirstStart() const -> bool
{
    // A daemon that started in this era, with the whole system, knows that there was no grantor of
    // an earlier one.
    return this->settings.startsWithSystem && this->firstEra == this->election.storeEra();
}

auto GrantorRole::readEarlierRecord(std::uint64_t era) -> void
{
    this->isRecordCallPending = true;
    const auto key = eraKey(this->settings.recordPrefix + this->spec.name.value, era);
    this->call(StoreGet{key, false}, [this, era,
                                      askedTerm = this->term](const StoreAnswer &answer) {
        this->isRecordCallPending = false;
        if (this->term != askedTerm || !this->ranges || this->isRecordAdopted) {
            return;
        }
        if (answer.kind == StoreAnswer::Kind::NotFound && era > 0) {
            this->readEarlierRecord(era - 1);
            return;
        }
        if (answer.kind != StoreAnswer::Kind::Ok && answer.kind != StoreAnswer::Kind::NotFound) {
            this->recordDue = this->now() + this->settings.retryPause;
            return;
        }
        this->adoptRecord(answer, !answer.items.empty() || !this->isFirstStart());
        this->advance();
    });
}

auto GrantorRole::recordKey() const -> std::string
{
    return eraKey(this->settings.recordPrefix + this->spec.name.value, this->election.storeEra());
}

auto GrantorRole::adoptRecord(const StoreAnswer &answer, bool isOutdated) -> void
{
    const auto moment = this->now();
    auto record = RangeRecord{};
    if (!answer.items.empty()) {
        auto decoded = decodeRangeRecord(answer.items.front().value);
        if (!decoded) {
            LogLine line("range_record_unreadable");
            line.with("service", this->spec.name.value)
                .with("remedy", "earlier grants expire before keys are granted again");
            this->log(LogLevel::Error, line);
            this->recordDue = moment + this->settings.ranges.longestHoldTime;
            decoded.emplace();
        }
        record = std::move(*decoded);
    }
    this->ranges->setUpstreams(this->upstreams, moment);
    if (isOutdated) {
        this->ranges->adoptOutdated(record, moment);
    } else {
        this->ranges->adopt(record, moment);
    }
    this->isRecordAdopted = true;
    // Where no key has an owner, no request is served yet: waiting until the other upstreams have
    // registered avoids moving most keys again.
    const auto isFirst = record.rows.empty() && !isOutdated;
    this->planDue = moment + (isFirst ? firstPlanDelay : Duration{0});
    this->planUnownedDue = this->planDue;
    LogLine line("ranges_adopted");
    line.with("service", this->spec.name.value)
        .with("rows", static_cast<std::int64_t>(record.rows.size()))
        .with("outdated", isOutdated ? "yes" : "no")
        .with("first_start", isFirst ? "yes" : "no")
        .with("upstreams", static_cast<std::int64_t>(this->upstreams.size()));
    this->log(LogLevel::Info, line);
}

auto GrantorRole::writeRecord() -> void
{
    const auto moment = this->now();
    if (this->isRecordCallPending || moment < this->recordDue
        || moment >= this->election.authorityEnd()) {
        return;
    }
    if (this->isRecordUncertain) {
        this->readRecord();
        return;
    }
    if (!this->unwrittenRecord && !this->ranges->isRecordUrgent()
        && moment < this->recordBatchUntil) {
        return;
    }
    std::uint64_t version = 0;
    if (auto changed = this->ranges->takeRecord(version)) {
        this->unwrittenRecord = std::move(changed);
        this->unwrittenVersion = version;
    }
    if (!this->unwrittenRecord) {
        return;
    }
    const auto key = this->recordKey();
    const auto claimKey =
        eraKey(this->settings.grantorPrefix + this->spec.name.value, this->election.storeEra());
    StoreTransaction transaction;
    // The grantor's key is written only once, by its claim, so its revision is the term.
    transaction.conditions = {StoreCondition{claimKey, *this->term},
                              StoreCondition{key, this->recordRevision}};
    transaction.writes = {StoreWrite{key, encodeRangeRecord(*this->unwrittenRecord), StoreLease{}}};
    this->isRecordCallPending = true;
    this->call(transaction, [this, askedTerm = this->term,
                             written = this->unwrittenVersion](const StoreAnswer &answer) {
        this->isRecordCallPending = false;
        if (this->term == askedTerm && this->ranges) {
            this->onRecordWritten(answer, written);
            this->advance();
        }
    });
}

auto GrantorRole::onRecordWritten(const StoreAnswer &answer, std::uint64_t version) -> void
{
    const auto moment = this->now();
    switch (answer.kind) {
    case StoreAnswer::Kind::Ok:
        this->recordRevision = answer.revision;
        this->ranges->setStoreRevision(answer.revision.value);
        this->recordBatchUntil = moment + recordBatchTime;
        this->unwrittenRecord.reset();
        this->ranges->onRecordStored(version, moment);
        return;
    case StoreAnswer::Kind::ConditionFailed:
    case StoreAnswer::Kind::Unknown:
    case StoreAnswer::Kind::NotFound:
    case StoreAnswer::Kind::HistoryGone: {
        // The record may have been written, or a later grantor may be writing: read it before the
        // next write.
        this->isRecordUncertain = true;
        this->recordDue = moment + this->settings.retryPause;
        LogLine line("range_record_uncertain");
        line.with("service", this->spec.name.value)
            .with("version", static_cast<std::int64_t>(version));
        this->log(LogLevel::Warning, line);
        return;
    }
    case StoreAnswer::Kind::Refused:
        this->recordDue = moment + this->settings.retryPause;
        return;
    }
}

auto GrantorRole::plan(Instant moment) -> void
{
    const auto isUnownedDue = moment >= this->planUnownedDue && this->ranges->hasUnowned();
    if (moment < this->planDue && !isUnownedDue) {
        return;
    }
    this->planUnownedDue = moment + unownedPlanEvery;
    if (moment >= this->planDue) {
        this->planDue = moment + this->settings.planEvery;
        this->planner.observe(this->broker->takeKeyCounts(), moment);
    }
    const auto moves =
        this->planner.plan(this->ranges->views(), this->broker->upstreamStatuses(moment), moment);
    if (moves.empty()) {
        return;
    }
    LogLine line("keys_moved");
    line.with("service", this->spec.name.value)
        .with("moves", static_cast<std::int64_t>(moves.size()))
        .with("first", moves.front().range.first)
        .with("last", moves.front().range.last)
        .with("to", moves.front().target.value);
    this->log(LogLevel::Info, line);
    this->ranges->move(moves, moment);
}

auto GrantorRole::issueOrders() -> void
{
    for (const auto &order : this->ranges->takeOrders()) {
        this->orders(
            order, [this, order, sentAt = this->now(),
                    watcher = std::weak_ptr<RangeGrantor>(this->ranges)](const RangeOrderEnd &end) {
                if (watcher.expired()) {
                    return;
                }
                this->logRelease(order, end, sentAt);
                this->ranges->onOrderEnd(end, this->now());
                this->issueOrders();
                this->orderEndsDue = std::min(this->orderEndsDue, this->now() + orderEndBatchTime);
            });
    }
}

auto GrantorRole::refreshOwners(Instant moment) -> void
{
    auto owners = this->ranges->owners(moment);
    if (owners != this->brokerOwners) {
        this->brokerOwners = owners;
        this->broker->setOwners(std::move(owners), moment);
        this->flushVerdicts();
    }
}

} // namespace gooseberrywall
