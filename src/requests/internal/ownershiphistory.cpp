#include "requests/internal/ownershiphistory.h"

namespace gooseberrywall {

namespace {

auto epochOf(const Table &table, const ShardEntry &entry) -> std::optional<OwnershipEpoch>
{
    const auto *upstream = table.upstream(entry.owner);
    if (entry.stage == ShardStage::Unowned || upstream == nullptr) {
        return std::nullopt;
    }
    return OwnershipEpoch{entry.fence, upstream->term};
}

} // namespace

auto OwnershipHistory::onTable(const Table &table) -> void
{
    const bool skipped = !this->version || table.version().value > this->version->value + 1;
    this->version = table.version();
    for (const auto &entry : table.record().shards) {
        this->updateShard(table, entry, skipped);
    }
}

auto OwnershipHistory::updateShard(const Table &table, const ShardEntry &entry, bool skipped)
    -> void
{
    auto &history = this->histories[entry.id];
    const auto epoch = epochOf(table, entry);
    if (skipped && epoch != history.current) {
        history.previous.reset();
        history.isFirst = false;
    }
    if (entry.stage == ShardStage::Unowned && entry.fence == Fence{}) {
        history = {};
        history.isFirst = true;
        return;
    }
    if (!epoch || epoch == history.current) {
        return;
    }
    if (history.current) {
        history.isFirst = false;
        history.previous = skipped ? std::nullopt : history.current;
    }
    history.current = epoch;
}

auto OwnershipHistory::previous(const ShardId &shard) const -> std::optional<OwnershipEpoch>
{
    const auto found = this->histories.find(shard);
    return found == this->histories.end() ? std::nullopt : found->second.previous;
}

auto OwnershipHistory::current(const ShardId &shard) const -> std::optional<OwnershipEpoch>
{
    const auto found = this->histories.find(shard);
    return found == this->histories.end() ? std::nullopt : found->second.current;
}

auto OwnershipHistory::isFirst(const ShardId &shard) const -> bool
{
    const auto found = this->histories.find(shard);
    return found != this->histories.end() && found->second.isFirst;
}

} // namespace gooseberrywall
