#include "stubs/upstream/grantledger.h"

#include <algorithm>

namespace gooseberrywall {

GrantLedger::GrantLedger(bool checksSender, bool grantsExpire)
    : checksSender(checksSender)
    , grantsExpire(grantsExpire)
{
}

auto GrantLedger::apply(UpstreamInstant clock, Incarnation incarnation, bool draining,
                        const GrantBatch &batch) -> GrantBatchAnswer
{
    GrantBatchAnswer answer;
    answer.incarnation = incarnation;
    answer.clock = clock;
    const auto onlyReads = batch.incarnation.value == 0;
    const auto hasWrongIncarnation =
        onlyReads ? !batch.orders.empty() : batch.incarnation != incarnation;
    const auto hasStaleTerm = this->checksSender && batch.term < this->highestTerm;
    answer.refused = hasWrongIncarnation || hasStaleTerm;
    if (!answer.refused && !onlyReads) {
        this->highestTerm = std::max(this->highestTerm, batch.term);
        for (const auto &order : batch.orders) {
            const auto status = this->applyOrder(clock, draining, order);
            answer.results.push_back({order.shard, status, this->highestFence(order.shard)});
        }
    }
    answer.highestTerm = this->highestTerm;
    return answer;
}

auto GrantLedger::applyOrder(UpstreamInstant clock, bool draining, const GrantOrder &order)
    -> GrantStatus
{
    if (order.fence < this->highestFence(order.shard)) {
        return GrantStatus::StaleFence;
    }
    if (this->grantsExpire && order.until.has_value() && *order.until <= clock) {
        return GrantStatus::Expired;
    }
    auto &entry = this->entries[order.shard];
    if (order.action == GrantAction::Grant) {
        return this->grant(clock, draining, order, entry);
    }
    entry.highestFence = order.fence;
    entry.revoked = order.fence;
    entry.isClosing = entry.isHeld;
    return GrantStatus::Done;
}

auto GrantLedger::grant(UpstreamInstant clock, bool draining, const GrantOrder &order, Entry &entry)
    -> GrantStatus
{
    if (entry.revoked.has_value() && order.fence <= *entry.revoked) {
        return GrantStatus::StaleFence;
    }
    const auto live = this->isLive(clock, entry);
    if (draining && !live) {
        return GrantStatus::Draining;
    }
    const auto until = order.until.value_or(clock + order.timeToLive);
    const auto renews = live && entry.fence == order.fence && entry.until.has_value();
    entry.highestFence = order.fence;
    entry.fence = order.fence;
    entry.isHeld = true;
    entry.isClosing = false;
    if (this->grantsExpire) {
        entry.until = renews ? std::max(*entry.until, until) : until;
    }
    return GrantStatus::Done;
}

auto GrantLedger::finishRevocation(const ShardId &shard) -> void
{
    const auto found = this->entries.find(shard);
    if (found != this->entries.end() && found->second.isClosing) {
        found->second.isHeld = false;
        found->second.isClosing = false;
    }
}

auto GrantLedger::heldFence(UpstreamInstant clock, const ShardId &shard) const
    -> std::optional<Fence>
{
    const auto found = this->entries.find(shard);
    if (found == this->entries.end() || !this->isLive(clock, found->second)) {
        return std::nullopt;
    }
    return found->second.fence;
}

auto GrantLedger::isClosing(const ShardId &shard) const -> bool
{
    const auto found = this->entries.find(shard);
    return found != this->entries.end() && found->second.isClosing;
}

auto GrantLedger::highestFence(const ShardId &shard) const -> Fence
{
    const auto found = this->entries.find(shard);
    return found != this->entries.end() ? found->second.highestFence : Fence{};
}

auto GrantLedger::heldGrants(UpstreamInstant clock) const -> std::vector<HeldGrant>
{
    std::vector<HeldGrant> grants;
    for (const auto &[shard, entry] : this->entries) {
        if (this->isLive(clock, entry)) {
            grants.push_back({shard, entry.fence, entry.until});
        }
    }
    std::sort(grants.begin(), grants.end(),
              [](const auto &left, const auto &right) { return left.shard < right.shard; });
    return grants;
}

auto GrantLedger::isLive(UpstreamInstant clock, const Entry &entry) const -> bool
{
    return entry.isHeld && (!entry.until.has_value() || clock < *entry.until);
}

} // namespace gooseberrywall
