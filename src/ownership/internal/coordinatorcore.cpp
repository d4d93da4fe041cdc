#include "ownership/coordinatorcore.h"

#include "common/logline.h"
#include "ownership/internal/cellview.h"
#include "ownership/internal/daemonchooser.h"
#include "ownership/internal/grantorbalancer.h"
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

/// Planning interval while there are former grantors, which may end by the passing of time alone.
constexpr Duration formerGrantorPlanInterval = std::chrono::milliseconds{100};

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
    , reportsInDraft(std::make_unique<PendingCounts>())
    , pinPlanner(std::make_unique<PinPlanner>())
    , grantorBalancer(std::make_unique<GrantorBalancer>())
{
}

CoordinatorCore::~CoordinatorCore() = default;

auto CoordinatorCore::isCoordinatorIn(const CellRecord &record) const -> bool
{
    return record.coordinator == this->self.id
           && record.coordinatorIncarnation == this->self.incarnation;
}

auto CoordinatorCore::isActive() const -> bool
{
    return this->lease->isHeld(this->lastTickAt) && this->writer->stored().version.value > 0
           && this->isCoordinatorIn(this->writer->stored());
}

auto CoordinatorCore::leaseUrgency(Instant now) const -> LeaseUrgency
{
    const auto isYielding =
        this->cutOffSince && now - *this->cutOffSince < this->settings.leaseYieldTime;
    if (this->hasResigned || !this->isCandidate || isYielding) {
        return LeaseUrgency::None;
    }
    if (this->newestTable == nullptr || this->isCoordinatorIn(this->newestTable->record())) {
        return LeaseUrgency::High;
    }
    const auto &record = this->newestTable->record();
    const auto isGone =
        this->cellView->isDaemonGone(now, record.coordinator, record.coordinatorIncarnation);
    return isGone ? LeaseUrgency::High : LeaseUrgency::Low;
}

auto CoordinatorCore::tick(Instant now, Outbox &out) -> void
{
    this->lastTickAt = now;
    this->yieldIfCutOff(now, out);
    this->lease->tick(now, this->leaseUrgency(now), out);
    this->resetOnLeaseChange(now);
    if (!this->leaseHeldSince) {
        return;
    }
    this->writer->tick(now, out);
    this->answerAuthorityRequests(now, out);
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

auto CoordinatorCore::resetOnLeaseChange(Instant now) -> void
{
    const auto heldSince = this->lease->heldSince(now);
    if (heldSince == this->leaseHeldSince) {
        return;
    }
    this->leaseHeldSince = heldSince;
    this->writer->invalidate();
    *this->reports = ReceivedReports{};
    *this->reportsInDraft = PendingCounts{};
    this->pinPlanner->cancelAll();
    this->grantorBalancer->reset();
    this->pendingAuthorityRequests.clear();
    this->authorityGivenAt.clear();
    this->needsPlan = true;
}

auto CoordinatorCore::isPlanDue(Instant now) const -> bool
{
    if (!this->writer->isReady(now)) {
        return false;
    }
    if (this->lastWriteAt && now - *this->lastWriteAt < this->settings.writeInterval) {
        return false;
    }
    const auto interval = this->waitsForFormerGrantors() ? formerGrantorPlanInterval
                                                         : this->settings.planningInterval;
    return this->needsPlan || !this->lastPlanAt || now - *this->lastPlanAt >= interval;
}

auto CoordinatorCore::waitsForFormerGrantors() const -> bool
{
    const auto &upstreams = this->writer->stored().upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [](const auto &entry) { return !entry.formerGrantors.empty(); });
}

auto CoordinatorCore::nextRecord(Instant now, bool mayBalance) -> CellRecord
{
    const auto &stored = this->writer->stored();
    this->reports->removeObsolete(stored);
    auto draft = stored;
    draft.coordinator = this->self.id;
    draft.coordinatorIncarnation = this->self.incarnation;
    const PlanningContext context{now,
                                  this->self,
                                  this->settings,
                                  *this->cellView,
                                  *this->reports,
                                  *this->leaseHeldSince,
                                  this->authorityGivenAt};
    UpstreamPlanner upstreamPlanner(context, draft);
    upstreamPlanner.run();
    if (mayBalance) {
        this->grantorBalancer->run(context, upstreamPlanner, draft);
    }
    ShardPlanner(context, draft, *this->pinPlanner).run(this->placement, mayBalance);
    applyOperations(context, draft);
    return draft;
}

auto CoordinatorCore::plan(Instant now, Outbox &out) -> void
{
    const auto mayBalance =
        !this->lastBalanceAt || now - *this->lastBalanceAt >= this->settings.planningInterval;
    if (mayBalance) {
        this->lastBalanceAt = now;
    }
    this->lastPlanAt = now;
    this->needsPlan = false;
    auto draft = this->nextRecord(now, mayBalance);
    *this->reportsInDraft = this->reports->pendingCounts();
    if (draft == this->writer->stored()) {
        this->reports->removeRecorded(*this->reportsInDraft);
        return;
    }
    this->lastWriteAt = now;
    this->writer->write(now, std::move(draft), out);
}

auto CoordinatorCore::onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer,
                                    Outbox &out) -> bool
{
    if (this->lease->onStoreAnswer(now, call, answer)) {
        this->resetOnLeaseChange(now);
        if (this->leaseHeldSince) {
            this->writer->tick(now, out);
            this->answerAuthorityRequests(now, out);
        }
        return true;
    }
    const auto before = this->writer->stored();
    const auto event = this->writer->onStoreAnswer(now, call, answer, out);
    if (!event) {
        return false;
    }
    this->needsPlan = true;
    this->updateLastGrantorChange(before, this->writer->stored());
    if (*event == WriterEvent::Written) {
        this->reports->removeRecorded(*this->reportsInDraft);
    }
    const auto isReplaced = *event == WriterEvent::Read && this->isCoordinatorIn(before)
                            && !this->isCoordinatorIn(this->writer->stored());
    if (isReplaced) {
        this->lease->invalidate();
        this->resetOnLeaseChange(now);
    }
    return true;
}

auto CoordinatorCore::updateLastGrantorChange(const CellRecord &before, const CellRecord &after)
    -> void
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
        this->lastGrantorChangeVersion = after.version;
    }
}

auto CoordinatorCore::answerAuthorityRequests(Instant now, Outbox &out) -> void
{
    const auto confirmedAt = this->lease->confirmedAt();
    if (!this->isActive() || !confirmedAt) {
        return;
    }
    auto validFor = Duration::max();
    for (const auto &policy : this->cellView->policies.configured()) {
        if (authorityKind(policy) == AuthorityKind::Bounded) {
            validFor = std::min(validFor, policy.grantorAuthority);
        }
    }
    std::erase_if(this->pendingAuthorityRequests, [&](const PendingAuthorityRequest &pending) {
        if (*confirmedAt <= pending.arrivedAt) {
            return false;
        }
        if (pending.request.tableVersion >= this->lastGrantorChangeVersion) {
            this->authorityGivenAt[pending.daemon] = now;
            out.toPeer(pending.daemon, AuthorityAnswer{pending.request.sequence, validFor});
        }
        return true;
    });
}

auto CoordinatorCore::onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                                Outbox &) -> void
{
    if (!this->leaseHeldSince) {
        return;
    }
    if (const auto *request = std::get_if<AuthorityRequest>(&message)) {
        std::erase_if(this->pendingAuthorityRequests,
                      [&](const auto &pending) { return pending.daemon == from; });
        this->pendingAuthorityRequests.push_back({from, *request, now});
        this->lease->renewSoon();
        return;
    }
    const auto canWait = std::holds_alternative<LoadReport>(message)
                         || std::holds_alternative<SuspectsCleared>(message);
    if (this->reports->accept(now, from, message) && !canWait) {
        this->needsPlan = true;
    }
}

auto CoordinatorCore::onMembership(Instant now, const MembershipView &view) -> void
{
    if (!this->cellView->setMembership(now, view)) {
        return;
    }
    this->needsPlan = true;
    const auto candidates = coordinatorCandidates(view);
    this->isCandidate =
        std::find(candidates.begin(), candidates.end(), this->self.id) != candidates.end();
}

auto CoordinatorCore::onVmList(Instant now, const std::vector<VmEntry> &vms) -> void
{
    this->needsPlan = this->cellView->setVms(now, vms) || this->needsPlan;
}

auto CoordinatorCore::onPolicies(const std::vector<ServicePolicy> &policies) -> void
{
    this->cellView->policies.update(policies);
    this->needsPlan = true;
}

auto CoordinatorCore::onTable(Instant, TablePointer table) -> void
{
    if (table == nullptr) {
        return;
    }
    this->newestTable = std::move(table);
    if (this->newestTable->version() > this->writer->stored().version) {
        this->writer->invalidate();
    }
}

auto CoordinatorCore::takeNewRecord() -> std::optional<CellRecord>
{
    return this->writer->takeNewRecord();
}

auto CoordinatorCore::resign(Instant, Outbox &out) -> void
{
    this->hasResigned = true;
    this->lease->release(out);
}

} // namespace gooseberrywall
