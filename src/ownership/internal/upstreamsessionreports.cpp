#include "ownership/internal/upstreamsession.h"

#include <algorithm>

namespace gooseberrywall {

auto UpstreamSession::hasNews(const SessionContext &context) const -> bool
{
    const auto isLost = this->entry.state == UpstreamState::Lost;
    const auto restarted =
        this->heardIncarnation.value != 0 && this->heardIncarnation != this->entry.incarnation;
    const auto acceptedAlone = this->accepted && !this->entry.formerGrantors.empty();
    const auto drains = this->draining && this->entry.state == UpstreamState::Live;
    return this->isUnreachable(context) != isLost || restarted || acceptedAlone || drains;
}

auto UpstreamSession::report(const SessionContext &context, Outbox &out) -> void
{
    const auto before = out.peerSends.size();
    this->reportFormer(context, out);
    if (this->active && !this->deposed) {
        this->reportHealth(context, out);
        this->reportEnds(context, out);
        this->reportReleases(context, out);
    }
    if (out.peerSends.size() > before) {
        this->lastReport = context.now;
    }
}

auto UpstreamSession::reportFormer(const SessionContext &context, Outbox &out) const -> void
{
    if (!this->formerTerm) {
        return;
    }
    // The grants given stay; the next grantor bounds them from its own first moment alone.
    const auto isOver = !this->grantCall && this->grants.nothingUnanswered(context.now);
    if (isOver) {
        out.toPeer(context.coordinator,
                   GrantsEnded{this->entry.id, this->entry.incarnation, *this->formerTerm});
    }
}

auto UpstreamSession::reportHealth(const SessionContext &context, Outbox &out) const -> void
{
    if (!this->hasNews(context)) {
        return;
    }
    const auto isReachable = !this->isUnreachable(context);
    if (isReachable && this->heardIncarnation.value == 0) {
        return;
    }
    const auto isNew = this->heardIncarnation != this->entry.incarnation;
    if (isReachable && !isNew && !this->accepted) {
        return;
    }
    out.toPeer(context.coordinator,
               UpstreamHealth{this->entry.id, this->entry.term, this->heardIncarnation, isReachable,
                              this->draining});
}

auto UpstreamSession::reportEnds(const SessionContext &context, Outbox &out) const -> void
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
        const auto othersEnd =
            this->aloneSince + context.policy.grantTimeToLive + context.policy.clockMargin;
        return this->grants.allEnded(context.now) && context.now >= othersEnd;
    }
    // An earlier grantor's grants go on for ever: only the upstream's word ends them.
    return std::all_of(this->shards.begin(), this->shards.end(),
                       [&](const auto &shard) { return this->isReleased(context, shard); });
}

auto UpstreamSession::isReleased(const SessionContext &context, const ShardEntry &shard) const
    -> bool
{
    const auto done = this->released.find(shard.id);
    return done != this->released.end() && done->second == shard.fence
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
