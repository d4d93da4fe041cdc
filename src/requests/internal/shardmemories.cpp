#include "requests/internal/shardmemories.h"

#include "ownership/internal/fencerules.h"

#include <algorithm>
#include <limits>

namespace gooseberrywall {

namespace {

/// Fence sequence of the shard that a pinned key has just become.
constexpr std::uint32_t firstPinnedSequence = 1;
/// A late handover can close the gap of a new memory for this time.
constexpr Duration lateHandoverTime = std::chrono::seconds{10};

auto handoverLimits(const DispatcherSettings &settings) -> HandoverLimits
{
    HandoverLimits limits;
    limits.resendInterval = settings.handoverResendInterval;
    limits.timeout = settings.handoverSendTimeout;
    limits.messageLimitBytes = settings.messageLimitBytes;
    return limits;
}

} // namespace

ShardMemories::ShardMemories(ChannelContext &context)
    : context(context)
    , handovers(handoverLimits(context.settings))
{
}

auto ShardMemories::isContinuous(const ShardId &shard, const OwnershipEpoch &lastEpoch,
                                 const OwnershipEpoch &current) const -> bool
{
    if (lastEpoch == current) {
        return true;
    }
    if (lastEpoch.fence.sequence + fenceStep == current.fence.sequence) {
        return true;
    }
    const auto previous = this->ownershipHistory.previous(shard);
    return previous == lastEpoch && this->ownershipHistory.current(shard) == current;
}

auto ShardMemories::holderOf(const ShardId &shard, ChannelMap &channels) const -> UpstreamChannel *
{
    for (auto &[id, channel] : channels) {
        if (channel->covers(shard)) {
            return channel.get();
        }
    }
    return nullptr;
}

auto ShardMemories::ownerOf(const ShardEntry &entry, ChannelMap &channels) const
    -> UpstreamChannel *
{
    const auto channel = channels.find(entry.owner);
    const bool isServedHere = channel != channels.end() && !channel->second->isRetired();
    return isServedHere ? channel->second.get() : nullptr;
}

auto ShardMemories::coverageWithGap(Instant now, const ShardId &shard,
                                    const UpstreamChannel &owner) const -> OutcomeCoverage
{
    const auto wall = this->context.outcomeTime(now).wall;
    if (wall == 0) {
        constexpr auto forever = std::numeric_limits<UnixMillis>::max() / 2;
        return {shard, forever, forever};
    }
    const auto retention =
        std::chrono::duration_cast<std::chrono::milliseconds>(owner.outcomeRetention());
    return {shard, wall, wall + retention.count()};
}

auto ShardMemories::onTable(Instant now, const TablePointer &previous, ChannelMap &channels,
                            Outbox &out) -> void
{
    const auto &table = *this->context.table;
    this->ownershipHistory.onTable(table);
    this->updatePinnedKeys(now, previous, channels, out);
    for (const auto &entry : table.record().shards) {
        this->updateShard(now, entry, channels, out);
    }
    this->resolvePending(now, channels, out);
}

auto ShardMemories::updatePinnedKeys(Instant now, const TablePointer &previous,
                                     ChannelMap &channels, Outbox &out) -> void
{
    const auto &table = *this->context.table;
    for (const auto &pin : table.record().pinnedKeys) {
        const ShardId pinned{pin.service, pin.shardNumber};
        const auto range = table.rangeOf(pin.service, pin.key);
        const auto *entry = table.shard(pinned);
        if (!range || entry == nullptr || entry->fence.sequence != firstPinnedSequence) {
            continue;
        }
        auto *owner = this->ownerOf(*entry, channels);
        const bool isNew = this->holderOf(pinned, channels) == nullptr;
        if (owner != nullptr && isNew && owner->covers(*range)) {
            owner->splitMemory(now, *range, pin);
            const auto lastEpoch = this->lastEpochs.find(*range);
            if (lastEpoch != this->lastEpochs.end()) {
                this->lastEpochs[pinned] = {entry->fence, lastEpoch->second.term};
            }
        }
    }
    if (!previous) {
        return;
    }
    for (const auto &pin : previous->record().pinnedKeys) {
        const ShardId pinned{pin.service, pin.shardNumber};
        const auto range = table.rangeOf(pin.service, pin.key);
        if (!range || table.shard(pinned) != nullptr) {
            continue;
        }
        auto *holder = this->holderOf(*range, channels);
        if (holder != nullptr && !holder->mergeMemory(now, pinned, *range)) {
            holder->uncover(now, *range, out);
        }
        this->lastEpochs.erase(pinned);
    }
}

auto ShardMemories::updateShard(Instant now, const ShardEntry &entry, ChannelMap &channels,
                                Outbox &out) -> void
{
    if (entry.stage != ShardStage::Owned) {
        return;
    }
    if (auto *owner = this->ownerOf(entry, channels)) {
        this->ensureCovered(now, entry, *owner, channels, out);
        return;
    }
    this->pending.erase(entry.id);
    auto *holder = this->holderOf(entry.id, channels);
    const auto *upstream = this->context.table->upstream(entry.owner);
    if (holder != nullptr && upstream != nullptr && !upstream->grantor.empty()) {
        this->handOver(now, entry, *upstream, *holder, out);
    }
}

auto ShardMemories::handOver(Instant now, const ShardEntry &entry, const UpstreamEntry &owner,
                             UpstreamChannel &holder, Outbox &out) -> void
{
    auto outcomes = holder.extract(now, entry.id);
    const auto lastEpoch = this->lastEpochs.find(entry.id);
    if (!outcomes || lastEpoch == this->lastEpochs.end()) {
        return;
    }
    outcomes->lastEpoch = lastEpoch->second;
    this->lastEpochs.erase(lastEpoch);
    if (owner.grantor != this->context.self.id) {
        this->handovers.send(now, owner.grantor, entry.fence, *outcomes, out);
    }
}

auto ShardMemories::ensureCovered(Instant now, const ShardEntry &entry, UpstreamChannel &owner,
                                  ChannelMap &channels, Outbox &out) -> void
{
    const OwnershipEpoch current{entry.fence, owner.entry().term};
    auto *holder = this->holderOf(entry.id, channels);
    const auto known = this->lastEpochs.find(entry.id);
    const bool isUnbroken =
        known == this->lastEpochs.end() || this->isContinuous(entry.id, known->second, current);
    if (holder != nullptr && !isUnbroken) {
        holder->uncover(now, entry.id, out);
        holder = nullptr;
    }
    if (holder != nullptr && holder != &owner) {
        const auto outcomes = holder->extract(now, entry.id);
        owner.cover(now, *outcomes, out);
    }
    if (holder != nullptr) {
        this->lastEpochs[entry.id] = current;
        return;
    }
    const bool isFirst =
        entry.fence.sequence == fenceStep || this->ownershipHistory.isFirst(entry.id);
    if (isFirst) {
        this->adopt(now, entry.id, {{}, {entry.id, 0, 0}, {}}, owner, out);
        return;
    }
    this->lastEpochs.erase(entry.id);
    const PendingTransfer newPending{now + this->context.settings.handoverReceiveTimeout, false};
    const auto [position, isNew] = this->pending.try_emplace(entry.id, newPending);
    if (!isNew && position->second.hasGap) {
        position->second = newPending;
    }
}

auto ShardMemories::adopt(Instant now, const ShardId &shard, const ShardOutcomes &outcomes,
                          UpstreamChannel &owner, Outbox &out) -> void
{
    const auto *entry = this->context.table->shard(shard);
    this->lastEpochs[shard] = {entry->fence, owner.entry().term};
    this->pending.erase(shard);
    owner.cover(now, outcomes, out);
}

auto ShardMemories::resolvePending(Instant now, ChannelMap &channels, Outbox &out) -> void
{
    const auto waiting = this->pending;
    for (const auto &[shard, state] : waiting) {
        const auto *entry = this->context.table->shard(shard);
        const bool isOwned = entry != nullptr && entry->stage == ShardStage::Owned;
        auto *owner = isOwned ? this->ownerOf(*entry, channels) : nullptr;
        if (owner == nullptr) {
            this->pending.erase(shard);
            continue;
        }
        const OwnershipEpoch current{entry->fence, owner->entry().term};
        const auto outcomes = this->handovers.take(shard, entry->fence);
        if (outcomes && this->isContinuous(shard, outcomes->lastEpoch, current)) {
            this->adopt(now, shard, *outcomes, *owner, out);
            continue;
        }
        if (now >= state.giveUpAt + lateHandoverTime) {
            this->pending.erase(shard);
        } else if (now >= state.giveUpAt && !state.hasGap) {
            const auto coverage = this->coverageWithGap(now, shard, *owner);
            this->adopt(now, shard, {{}, coverage, {}}, *owner, out);
            this->pending[shard] = PendingTransfer{state.giveUpAt, true};
        }
    }
}

auto ShardMemories::onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                              ChannelMap &channels, Outbox &out) -> bool
{
    if (const auto *part = std::get_if<OutcomeHandover>(&message)) {
        this->handovers.onPart(now, from, *part, out);
        if (this->context.table && !this->pending.empty()) {
            this->resolvePending(now, channels, out);
        }
        return true;
    }
    if (const auto *answer = std::get_if<OutcomeHandoverAnswer>(&message)) {
        this->handovers.onAnswer(from, *answer);
        return true;
    }
    return false;
}

auto ShardMemories::tick(Instant now, ChannelMap &channels, Outbox &out) -> void
{
    this->handovers.tick(now, out);
    if (!this->pending.empty()) {
        this->resolvePending(now, channels, out);
    }
}

} // namespace gooseberrywall
