#include "ownership/internal/granttracker.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

auto extendEnd(std::map<ShardId, Instant> &ends, const ShardId &shard, Instant end) -> void
{
    auto &entry = ends.try_emplace(shard, end).first->second;
    entry = std::max(entry, end);
}

auto allPassed(const std::map<ShardId, Instant> &ends, Instant now) -> bool
{
    return std::all_of(ends.begin(), ends.end(),
                       [now](const auto &entry) { return entry.second <= now; });
}

} // namespace

auto GrantTracker::onGrantSent(const ShardId &shard, const ClockReading &reading,
                               const ServicePolicy &policy) -> void
{
    const auto end = policy.grantsExpire
                         ? reading.receivedAt + policy.grantTimeToLive + policy.clockMargin
                         : Instant::max();
    extendEnd(this->possibleEnds, shard, end);
}

auto GrantTracker::onNoAnswer(const ShardId &shard) -> void
{
    const auto end = this->possibleEnds.find(shard);
    if (end != this->possibleEnds.end()) {
        extendEnd(this->unansweredEnds, shard, end->second);
    }
}

auto GrantTracker::onGrantConfirmed(const ShardId &shard, Fence fence, const ClockReading &reading,
                                    const ServicePolicy &policy) -> void
{
    const auto liveUntil = policy.grantsExpire
                               ? reading.requestedAt + policy.grantTimeToLive - policy.clockMargin
                               : Instant::max();
    this->confirmations[shard] = {fence, liveUntil};
}

auto GrantTracker::onGrantHeld(const HeldGrant &held, const ClockReading &reading,
                               const ServicePolicy &policy) -> void
{
    const auto revocation = this->revokedAt.find(held.shard);
    if (revocation != this->revokedAt.end() && reading.clock <= revocation->second) {
        return;
    }
    if (!policy.grantsExpire || !held.until) {
        extendEnd(this->possibleEnds, held.shard, Instant::max());
        return;
    }
    const auto remaining = std::max(Duration{0}, *held.until - reading.clock);
    extendEnd(this->possibleEnds, held.shard, reading.receivedAt + remaining + policy.clockMargin);
}

auto GrantTracker::onRevoked(const ShardId &shard, const ClockReading &reading,
                             const ServicePolicy &policy) -> void
{
    this->revokedAt[shard] = reading.clock;
    this->confirmations.erase(shard);
    const auto unansweredEnd = this->unansweredEnds.find(shard);
    if (policy.checksSender || unansweredEnd == this->unansweredEnds.end()) {
        this->possibleEnds.erase(shard);
        this->unansweredEnds.erase(shard);
        return;
    }
    this->possibleEnds[shard] = unansweredEnd->second;
}

auto GrantTracker::onGrantRejected(const ShardId &shard) -> void
{
    this->confirmations.erase(shard);
}

auto GrantTracker::clear() -> void
{
    this->confirmations.clear();
    this->possibleEnds.clear();
    this->unansweredEnds.clear();
    this->revokedAt.clear();
}

auto GrantTracker::liveFence(Instant now, const ShardId &shard) const -> std::optional<Fence>
{
    const auto entry = this->confirmations.find(shard);
    if (entry == this->confirmations.end() || now >= entry->second.liveUntil) {
        return std::nullopt;
    }
    return entry->second.fence;
}

auto GrantTracker::hasEnded(Instant now, const ShardId &shard) const -> bool
{
    const auto end = this->possibleEnds.find(shard);
    return end == this->possibleEnds.end() || end->second <= now;
}

auto GrantTracker::allEnded(Instant now) const -> bool
{
    return allPassed(this->possibleEnds, now);
}

auto GrantTracker::allUnansweredEnded(Instant now) const -> bool
{
    return allPassed(this->unansweredEnds, now);
}

} // namespace gooseberrywall
