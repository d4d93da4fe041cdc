#include "ownership/internal/upstreamsession.h"

#include <algorithm>

namespace gooseberrywall {

auto UpstreamSession::needsHealthReport(const SessionContext &context) const -> bool
{
    const auto isLost = this->entry.state == UpstreamState::Lost;
    const auto hasRestarted = this->answeringIncarnation.value != 0
                              && this->answeringIncarnation != this->entry.incarnation;
    const auto canClearFormers = this->accepted && !this->entry.formerGrantors.empty();
    const auto startedDraining = this->draining && this->entry.state == UpstreamState::Live;
    return this->isUnreachable(context) != isLost || hasRestarted || canClearFormers
           || startedDraining;
}

auto UpstreamSession::report(const SessionContext &context, Outbox &out) -> void
{
    const auto before = out.peerSends.size();
    this->reportFormerTermEnded(context, out);
    if (this->active && !this->superseded) {
        this->reportHealth(context, out);
        this->reportGrantsEnded(context, out);
        this->reportReleases(context, out);
    }
    if (out.peerSends.size() > before) {
        this->lastReportAt = context.now;
    }
}

auto UpstreamSession::reportFormerTermEnded(const SessionContext &context, Outbox &out) const
    -> void
{
    if (!this->formerTerm) {
        return;
    }
    // Grants may still be live. The next grantor bounds their end by itself, from the moment when
    // it became the only grantor.
    const auto haveOrdersEnded = !this->grantCall && this->grants.allUnansweredEnded(context.now);
    if (haveOrdersEnded) {
        out.toPeer(context.coordinator,
                   GrantsEnded{this->entry.id, this->entry.incarnation, *this->formerTerm});
    }
}

auto UpstreamSession::reportHealth(const SessionContext &context, Outbox &out) const -> void
{
    if (!this->needsHealthReport(context)) {
        return;
    }
    const auto isReachable = !this->isUnreachable(context);
    if (isReachable && this->answeringIncarnation.value == 0) {
        return;
    }
    const auto hasNewIncarnation = this->answeringIncarnation != this->entry.incarnation;
    if (isReachable && !hasNewIncarnation && !this->accepted) {
        return;
    }
    out.toPeer(context.coordinator,
               UpstreamHealth{this->entry.id, this->entry.term, this->answeringIncarnation,
                              isReachable, this->draining});
}

auto UpstreamSession::reportGrantsEnded(const SessionContext &context, Outbox &out) const -> void
{
    const auto isLost = this->entry.state == UpstreamState::Lost;
    if (!isLost || this->shards.empty() || !this->grantsEnded(context)) {
        return;
    }
    out.toPeer(context.coordinator,
               GrantsEnded{this->entry.id, this->entry.incarnation, this->entry.term});
}

auto UpstreamSession::grantsEnded(const SessionContext &context) const -> bool
{
    if (!this->entry.formerGrantors.empty()) {
        return false;
    }
    if (context.policy.grantsExpire) {
        const auto otherGrantsEnd =
            this->soleGrantorSince + context.policy.grantTimeToLive + context.policy.clockMargin;
        return this->grants.allEnded(context.now) && context.now >= otherGrantsEnd;
    }
    // Without expiry, grants of earlier grantors end only when the upstream acknowledges their
    // revocation.
    return std::all_of(this->shards.begin(), this->shards.end(),
                       [&](const auto &shard) { return this->isReleased(context, shard); });
}

auto UpstreamSession::isReleased(const SessionContext &context, const ShardEntry &shard) const
    -> bool
{
    const auto revocation = this->revokedFences.find(shard.id);
    return revocation != this->revokedFences.end() && revocation->second == shard.fence
           && this->grants.hasEnded(context.now, shard.id);
}

auto UpstreamSession::reportReleases(const SessionContext &context, Outbox &out) const -> void
{
    for (const auto &shard : this->shards) {
        if (shard.stage == ShardStage::Transferring && this->isReleased(context, shard)) {
            out.toPeer(context.coordinator, ShardReleased{shard.id, shard.fence});
        }
    }
}

} // namespace gooseberrywall
