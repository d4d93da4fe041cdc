#include "ownership/internal/upstreamplanner.h"

#include "ownership/internal/fencerules.h"

#include <algorithm>

namespace gooseberrywall {

UpstreamPlanner::UpstreamPlanner(const PlanningContext &context, CellRecord &record)
    : context(context)
    , record(record)
    , chooser(context.cellView.membership(), record)
{
}

auto UpstreamPlanner::run() -> void
{
    this->addListedUpstreams();
    for (auto &entry : this->record.upstreams) {
        this->replaceGrantor(entry);
        this->replaceStandby(entry);
        this->applyVmState(entry);
        this->applyHealth(entry);
        this->clearFormerGrantors(entry);
        this->freeShards(entry);
        this->reinstate(entry);
    }
    this->removeGoneUpstreams();
}

auto UpstreamPlanner::policyOf(const UpstreamEntry &entry) const -> const ServicePolicy &
{
    return this->context.cellView.policies.of(entry.service);
}

auto UpstreamPlanner::find(const UpstreamId &id) -> UpstreamEntry *
{
    const auto entry = std::find_if(this->record.upstreams.begin(), this->record.upstreams.end(),
                                    [&](const auto &candidate) { return candidate.id == id; });
    return entry == this->record.upstreams.end() ? nullptr : &*entry;
}

auto UpstreamPlanner::shardsOf(const UpstreamId &id) -> std::vector<ShardEntry *>
{
    std::vector<ShardEntry *> owned;
    for (auto &shard : this->record.shards) {
        if (shard.stage != ShardStage::Unowned && shard.owner == id) {
            owned.push_back(&shard);
        }
    }
    return owned;
}

auto UpstreamPlanner::addListedUpstreams() -> void
{
    const auto before = this->record.upstreams.size();
    for (const auto &vm : this->context.cellView.vms()) {
        const auto isNew = vm.role == VmRole::Upstream && vm.state == VmState::Live
                           && this->find(UpstreamId{vm.id}) == nullptr;
        if (!isNew) {
            continue;
        }
        UpstreamEntry entry;
        entry.id = UpstreamId{vm.id};
        entry.service = vm.service;
        entry.domain = vm.domain;
        entry.address = vm.address;
        this->record.upstreams.push_back(std::move(entry));
    }
    if (this->record.upstreams.size() > before) {
        std::sort(this->record.upstreams.begin(), this->record.upstreams.end(),
                  [](const auto &left, const auto &right) { return left.id < right.id; });
    }
}

auto UpstreamPlanner::removeGoneUpstreams() -> void
{
    const auto isUsed = [&](const UpstreamId &id) {
        return std::any_of(
            this->record.shards.begin(), this->record.shards.end(),
            [&](const auto &shard) { return shard.owner == id || shard.next == id; });
    };
    std::erase_if(this->record.upstreams, [&](const auto &entry) {
        return entry.state != UpstreamState::Live
               && this->context.cellView.isVmGone(this->context.now, entry.id.value)
               && !isUsed(entry.id);
    });
}

auto UpstreamPlanner::mustLeave(const UpstreamEntry &entry) const -> bool
{
    const auto *vm = this->context.cellView.vm(entry.id.value);
    return entry.drainOrdered || (vm != nullptr && vm->state == VmState::Leaving);
}

auto UpstreamPlanner::applyVmState(UpstreamEntry &entry) -> void
{
    if (entry.state == UpstreamState::Live && this->mustLeave(entry)) {
        entry.state = UpstreamState::Leaving;
    }
    const auto *vm = this->context.cellView.vm(entry.id.value);
    if (entry.state == UpstreamState::Lost && vm != nullptr) {
        entry.address = vm->address;
    }
}

auto UpstreamPlanner::applyHealth(UpstreamEntry &entry) -> void
{
    const auto health = this->context.reports.healthOf(this->context.now, entry);
    if (!health) {
        return;
    }
    if (!health->reachable) {
        entry.state = UpstreamState::Lost;
        return;
    }
    if (health->incarnation != entry.incarnation) {
        this->restart(entry, health->incarnation);
        return;
    }
    if (this->policyOf(entry).checksSender) {
        entry.formerGrantors.clear();
    }
    if (health->draining && entry.state == UpstreamState::Live) {
        entry.state = UpstreamState::Leaving;
    }
}

auto UpstreamPlanner::beginTerm(UpstreamEntry &entry) -> void
{
    entry.term = allocateTerm(this->record);
    for (auto *shard : this->shardsOf(entry.id)) {
        shard->fence = fenceAfter(shard->fence, entry.term);
        if (shard->stage == ShardStage::Transferring) {
            shard->nextFence = std::max(shard->nextFence, fenceAfter(shard->fence, entry.term));
        }
    }
}

auto UpstreamPlanner::restart(UpstreamEntry &entry, Incarnation incarnation) -> void
{
    entry.incarnation = incarnation;
    entry.formerGrantors.clear();
    entry.state = this->mustLeave(entry) ? UpstreamState::Leaving : UpstreamState::Live;
    for (auto *shard : this->shardsOf(entry.id)) {
        if (shard->stage == ShardStage::Transferring || entry.state != UpstreamState::Live) {
            this->freeShard(*shard);
        }
    }
    this->beginTerm(entry);
}

auto UpstreamPlanner::reinstate(UpstreamEntry &entry) -> void
{
    if (entry.state != UpstreamState::Lost || !entry.formerGrantors.empty()) {
        return;
    }
    const auto health = this->context.reports.healthOf(this->context.now, entry);
    const auto isReachable =
        health && health->reachable && health->incarnation == entry.incarnation;
    if (!isReachable || !this->shardsOf(entry.id).empty()) {
        return;
    }
    entry.state = this->mustLeave(entry) ? UpstreamState::Leaving : UpstreamState::Live;
    this->beginTerm(entry);
}

auto UpstreamPlanner::replaceGrantor(UpstreamEntry &entry) -> void
{
    const auto &cellView = this->context.cellView;
    const auto *member = cellView.membership().find(entry.grantor);
    const auto isLeaving = member != nullptr && member->incarnation == entry.grantorIncarnation
                           && member->state == MemberState::Leaving;
    const auto isGone =
        cellView.isDaemonGone(this->context.now, entry.grantor, entry.grantorIncarnation);
    if (!entry.grantor.empty() && !isLeaving && !isGone) {
        return;
    }
    auto next = this->chooser.standbyAsGrantor(entry);
    if (!next) {
        next = this->chooser.grantorFor(entry);
    }
    if (next) {
        this->appointGrantor(entry, next->id, next->incarnation);
    }
}

auto UpstreamPlanner::swapRoles(UpstreamEntry &entry) -> void
{
    const auto formerGrantor = entry.grantor;
    const auto formerIncarnation = entry.grantorIncarnation;
    this->appointGrantor(entry, entry.standby, entry.standbyIncarnation);
    entry.standby = formerGrantor;
    entry.standbyIncarnation = formerIncarnation;
}

auto UpstreamPlanner::appointGrantor(UpstreamEntry &entry, const DaemonId &id,
                                     Incarnation incarnation) -> void
{
    if (!entry.grantor.empty() && entry.incarnation.value != 0) {
        entry.formerGrantors.push_back({entry.grantor, entry.grantorIncarnation, entry.term});
    }
    entry.grantor = id;
    entry.grantorIncarnation = incarnation;
    this->beginTerm(entry);
}

auto UpstreamPlanner::replaceStandby(UpstreamEntry &entry) -> void
{
    const auto &cellView = this->context.cellView;
    const auto *member = cellView.membership().find(entry.standby);
    const auto isPresent = member != nullptr && member->incarnation == entry.standbyIncarnation
                           && member->state != MemberState::Removed
                           && member->state != MemberState::Leaving;
    const auto mayBePresent =
        member == nullptr && !entry.standby.empty()
        && !cellView.isDaemonGone(this->context.now, entry.standby, entry.standbyIncarnation);
    if (entry.standby != entry.grantor && (isPresent || mayBePresent)) {
        return;
    }
    const auto next = this->chooser.standbyFor(entry);
    entry.standby = next ? next->id : DaemonId{};
    entry.standbyIncarnation = next ? next->incarnation : Incarnation{};
}

auto UpstreamPlanner::hasFormerGrantorEnded(const UpstreamEntry &entry,
                                            const FormerGrantor &former) const -> bool
{
    if (this->context.reports.haveGrantsEnded(entry.id, former.term)) {
        return true;
    }
    const auto &policy = this->policyOf(entry);
    // An upstream that checks the sender refuses late orders of the former grantor; any other
    // accepts them until the end that they state. Grants given before are bounded by the present
    // grantor.
    const auto lateOrderTime =
        policy.checksSender ? policy.clockMargin : policy.grantTimeToLive + 2 * policy.clockMargin;
    const auto ended =
        this->context.cellView.daemonEndedAt(this->context.now, former.daemon, former.incarnation);
    if (ended && this->context.now >= *ended + lateOrderTime) {
        return true;
    }
    if (authorityKind(policy) == AuthorityKind::Unbounded) {
        return false;
    }
    auto lastAuthorityAt = this->context.leaseHeldSince;
    const auto given = this->context.authorityGivenAt.find(former.daemon);
    if (given != this->context.authorityGivenAt.end()) {
        lastAuthorityAt = std::max(lastAuthorityAt, given->second);
    }
    return this->context.now >= lastAuthorityAt + policy.grantorAuthority + lateOrderTime;
}

auto UpstreamPlanner::clearFormerGrantors(UpstreamEntry &entry) -> void
{
    std::erase_if(entry.formerGrantors,
                  [&](const auto &former) { return this->hasFormerGrantorEnded(entry, former); });
}

auto UpstreamPlanner::grantsEnded(const UpstreamEntry &entry) const -> bool
{
    if (this->context.cellView.isVmGone(this->context.now, entry.id.value)) {
        return true;
    }
    return entry.formerGrantors.empty()
           && this->context.reports.haveGrantsEnded(entry.id, entry.term);
}

auto UpstreamPlanner::freeShards(const UpstreamEntry &entry) -> void
{
    if (entry.state != UpstreamState::Lost || !this->grantsEnded(entry)) {
        return;
    }
    for (auto *shard : this->shardsOf(entry.id)) {
        this->freeShard(*shard);
    }
}

auto UpstreamPlanner::freeShard(ShardEntry &shard) -> void
{
    if (shard.stage == ShardStage::Owned) {
        makeUnowned(shard, shard.fence);
        return;
    }
    const auto *next = this->find(shard.next);
    if (next != nullptr && next->id != shard.owner && acceptsShards(*next)) {
        makeOwned(shard, next->id, shard.nextFence);
        return;
    }
    makeUnowned(shard, shard.nextFence);
}

} // namespace gooseberrywall
