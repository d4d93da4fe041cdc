#include "ownership/coordinatorcore.h"

#include "common/logline.h"
#include "ownership/internal/cellview.h"
#include "ownership/internal/daemonchooser.h"
#include "ownership/internal/leasekeeper.h"
#include "ownership/internal/operationsplanner.h"
#include "ownership/internal/pinplanner.h"
#include "ownership/internal/receivedreports.h"
#include "ownership/internal/recordwriter.h"
#include "ownership/internal/shardplanner.h"
#include "ownership/internal/upstreamplanner.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

/// Conditions that only time fulfils are looked at this often.
constexpr Duration timedPlanInterval = std::chrono::milliseconds{100};

} // namespace

CoordinatorCore::CoordinatorCore(DaemonIdentity self, CoordinatorSettings settings,
                                 PlanFunction plan, std::uint64_t seed)
    : self(std::move(self))
    , settings(std::move(settings))
    , placement(std::move(plan))
    , lease(std::make_unique<LeaseKeeper>(this->self, this->settings, seed))
    , writer(std::make_unique<RecordWriter>(this->self, this->settings, seed))
    , cellView(std::make_unique<CellView>(this->settings.membershipSettleTime,
                                          this->settings.vmAbsenceTime))
    , reports(std::make_unique<ReceivedReports>())
    , inDraft(std::make_unique<PendingCounts>())
    , pins(std::make_unique<PinPlanner>())
{
}

CoordinatorCore::~CoordinatorCore() = default;

auto CoordinatorCore::isNamed(const CellRecord &record) const -> bool
{
    return record.coordinator == this->self.id
           && record.coordinatorIncarnation == this->self.incarnation;
}

auto CoordinatorCore::isActive() const -> bool
{
    return this->lease->isHeld(this->lastTick) && this->writer->stored().version.value > 0
           && this->isNamed(this->writer->stored());
}

auto CoordinatorCore::leaseUrgency(Instant now) const -> LeaseUrgency
{
    const auto isYielding =
        this->cutOffSince && now - *this->cutOffSince < this->settings.leaseYieldTime;
    if (this->hasResigned || !this->isCandidate || isYielding) {
        return LeaseUrgency::None;
    }
    if (this->newestTable == nullptr || this->isNamed(this->newestTable->record())) {
        return LeaseUrgency::High;
    }
    const auto &record = this->newestTable->record();
    const auto isGone =
        this->cellView->isDaemonGone(now, record.coordinator, record.coordinatorIncarnation);
    return isGone ? LeaseUrgency::High : LeaseUrgency::Low;
}

auto CoordinatorCore::tick(Instant now, Outbox &out) -> void
{
    this->lastTick = now;
    this->yieldIfCutOff(now, out);
    this->lease->tick(now, this->leaseUrgency(now), out);
    this->followLease(now);
    if (!this->leaseSince) {
        return;
    }
    this->writer->tick(now, out);
    this->answerAuthority(now, out);
    if (this->isPlanDue(now)) {
        this->plan(now, out);
    }
}

auto CoordinatorCore::yieldIfCutOff(Instant now, Outbox &out) -> void
{
    if (!this->cellView->seemsCutOff(now)) {
        this->cutOffSince.reset();
        return;
    }
    if (this->cutOffSince) {
        return;
    }
    this->cutOffSince = now;
    this->lease->release(out);
}

auto CoordinatorCore::followLease(Instant now) -> void
{
    const auto since = this->lease->heldSince(now);
    if (since == this->leaseSince) {
        return;
    }
    this->leaseSince = since;
    this->writer->forget();
    *this->reports = ReceivedReports{};
    *this->inDraft = PendingCounts{};
    this->pins->clear();
    this->waiters.clear();
    this->authorityGiven.clear();
    this->isDirty = true;
}

auto CoordinatorCore::isPlanDue(Instant now) const -> bool
{
    if (!this->writer->isReady(now)) {
        return false;
    }
    if (this->lastWrite && now - *this->lastWrite < this->settings.writeInterval) {
        return false;
    }
    const auto interval = this->awaitsTime() ? timedPlanInterval : this->settings.planningInterval;
    return this->isDirty || !this->lastPlan || now - *this->lastPlan >= interval;
}

auto CoordinatorCore::awaitsTime() const -> bool
{
    const auto &upstreams = this->writer->stored().upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [](const auto &entry) { return !entry.formerGrantors.empty(); });
}

auto CoordinatorCore::nextRecord(Instant now, bool balance) -> CellRecord
{
    const auto &stored = this->writer->stored();
    this->reports->prune(stored);
    auto draft = stored;
    draft.coordinator = this->self.id;
    draft.coordinatorIncarnation = this->self.incarnation;
    const PlanningContext context{now,
                                  this->self,
                                  this->settings,
                                  *this->cellView,
                                  *this->reports,
                                  *this->leaseSince,
                                  this->authorityGiven};
    UpstreamPlanner(context, draft).run();
    ShardPlanner(context, draft, *this->pins).run(this->placement, balance);
    applyOperations(context, draft);
    return draft;
}

auto CoordinatorCore::plan(Instant now, Outbox &out) -> void
{
    const auto balance =
        !this->lastBalance || now - *this->lastBalance >= this->settings.planningInterval;
    if (balance) {
        this->lastBalance = now;
    }
    this->lastPlan = now;
    this->isDirty = false;
    auto draft = this->nextRecord(now, balance);
    *this->inDraft = this->reports->pending();
    if (draft == this->writer->stored()) {
        this->reports->settle(*this->inDraft);
        return;
    }
    this->lastWrite = now;
    this->writer->write(now, std::move(draft), out);
}

auto CoordinatorCore::onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer,
                                    Outbox &out) -> bool
{
    if (this->lease->onStoreAnswer(now, call, answer)) {
        this->followLease(now);
        if (this->leaseSince) {
            this->writer->tick(now, out);
            this->answerAuthority(now, out);
        }
        return true;
    }
    const auto before = this->writer->stored();
    const auto event = this->writer->onStoreAnswer(now, call, answer, out);
    if (!event) {
        return false;
    }
    this->isDirty = true;
    this->noteGrantorChanges(before, this->writer->stored());
    if (*event == WriterEvent::Written) {
        this->reports->settle(*this->inDraft);
    }
    const auto isReplaced = *event == WriterEvent::Read && this->isNamed(before)
                            && !this->isNamed(this->writer->stored());
    if (isReplaced) {
        this->lease->doubt();
        this->followLease(now);
    }
    return true;
}

auto CoordinatorCore::noteGrantorChanges(const CellRecord &before, const CellRecord &after) -> void
{
    if (before.version == after.version) {
        return;
    }
    const auto sameGrantors = std::equal(
        before.upstreams.begin(), before.upstreams.end(), after.upstreams.begin(),
        after.upstreams.end(), [](const auto &left, const auto &right) {
            return left.id == right.id && left.grantor == right.grantor && left.term == right.term;
        });
    if (!sameGrantors) {
        this->lastGrantorChange = after.version;
    }
}

auto CoordinatorCore::answerAuthority(Instant now, Outbox &out) -> void
{
    const auto confirmedFrom = this->lease->confirmedFrom();
    if (!this->isActive() || !confirmedFrom) {
        return;
    }
    auto validFor = Duration::max();
    for (const auto &policy : this->cellView->policies.present()) {
        if (authorityKind(policy) == AuthorityKind::Bounded) {
            validFor = std::min(validFor, policy.grantorAuthority);
        }
    }
    std::erase_if(this->waiters, [&](const AuthorityWaiter &waiter) {
        if (*confirmedFrom <= waiter.arrivedAt) {
            return false;
        }
        if (waiter.request.table >= this->lastGrantorChange) {
            this->authorityGiven[waiter.daemon] = now;
            out.toPeer(waiter.daemon, AuthorityAnswer{waiter.request.sequence, validFor});
        }
        return true;
    });
}

auto CoordinatorCore::onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                                Outbox &) -> void
{
    if (!this->leaseSince) {
        return;
    }
    if (const auto *request = std::get_if<AuthorityRequest>(&message)) {
        std::erase_if(this->waiters, [&](const auto &waiter) { return waiter.daemon == from; });
        this->waiters.push_back({from, *request, now});
        this->lease->renewSoon();
        return;
    }
    const auto canWait = std::holds_alternative<LoadReport>(message)
                         || std::holds_alternative<SuspectsCleared>(message);
    if (this->reports->take(now, from, message) && !canWait) {
        this->isDirty = true;
    }
}

auto CoordinatorCore::onMembership(Instant now, const MembershipView &view) -> void
{
    if (!this->cellView->setMembership(now, view)) {
        return;
    }
    this->isDirty = true;
    const auto candidates = coordinatorCandidates(view);
    this->isCandidate =
        std::find(candidates.begin(), candidates.end(), this->self.id) != candidates.end();
}

auto CoordinatorCore::onVmList(Instant now, const std::vector<VmEntry> &vms) -> void
{
    this->isDirty = this->cellView->setVms(now, vms) || this->isDirty;
}

auto CoordinatorCore::onPolicies(const std::vector<ServicePolicy> &policies) -> void
{
    this->cellView->policies.update(policies);
    this->isDirty = true;
}

auto CoordinatorCore::onTable(Instant, TablePointer table) -> void
{
    if (table == nullptr) {
        return;
    }
    this->newestTable = std::move(table);
    if (this->newestTable->version() > this->writer->stored().version) {
        this->writer->forget();
    }
}

auto CoordinatorCore::takeNewRecord() -> std::optional<CellRecord>
{
    return this->writer->takeNew();
}

auto CoordinatorCore::resign(Instant, Outbox &out) -> void
{
    this->hasResigned = true;
    this->lease->release(out);
}

} // namespace gooseberrywall
