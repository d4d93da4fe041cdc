#include "placement/internal/hotkeypins.h"

#include "ownership/table.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

auto pinnedOf(const ServiceName &service, const CellRecord &record)
    -> std::vector<const PinnedKey *>
{
    std::vector<const PinnedKey *> pinned;
    for (const auto &entry : record.pinnedKeys) {
        if (entry.service == service) {
            pinned.push_back(&entry);
        }
    }
    return pinned;
}

/// @returns the shard that the key belongs to when it isn't pinned
auto rangeOf(const ServiceEntry &service, const Key &key) -> std::optional<ShardId>
{
    CellRecord ranges;
    ranges.services = {service};
    return Table(std::move(ranges)).shardOf(service.service, key);
}

} // namespace

HotKeyPins::HotKeyPins(const PlacementSettings &settings)
    : settings(settings)
{
}

auto HotKeyPins::thresholds(const ServiceLayout &layout) const -> Thresholds
{
    const auto mean = layout.meanRelativeLoad();
    return {std::max(this->settings.minPinSlots, this->settings.pinShare * mean),
            std::max(this->settings.minPinSlots / 4, this->settings.unpinShare * mean)};
}

auto HotKeyPins::isHot(const ObservedKey &key, double pinThreshold,
                       const LoadHistory &history) const -> bool
{
    const auto load = key.load.value();
    return load >= pinThreshold && load >= this->settings.pinShardShare * history.loadOf(key.shard);
}

auto HotKeyPins::markHotShards(const ServiceEntry &service, const CellRecord &record,
                               const LoadHistory &history, ServiceLayout &layout) const -> void
{
    const auto limits = this->thresholds(layout);
    for (const auto &[key, observed] : history.keysOf(service.service)) {
        const auto index = layout.indexOf(observed.shard);
        if (index && this->isHot(observed, limits.pin, history)) {
            layout.shards[*index].isHot = true;
        }
    }
    for (const auto *pinned : pinnedOf(service.service, record)) {
        const ShardId shard{pinned->service, pinned->shardNumber};
        const auto index = layout.indexOf(shard);
        if (index) {
            layout.shards[*index].isHot = true;
        }
    }
}

auto HotKeyPins::plan(Instant now, const ServiceEntry &service, const CellRecord &record,
                      const LoadHistory &history, const ServiceLayout &layout) -> PinProposals
{
    PinProposals proposals;
    const auto pinned = pinnedOf(service.service, record);
    this->planPins(now, pinned, service, history, layout, proposals);
    this->planUnpins(now, pinned, service, history, layout, proposals);
    return proposals;
}

auto HotKeyPins::planPins(Instant now, const std::vector<const PinnedKey *> &pinned,
                          const ServiceEntry &service, const LoadHistory &history,
                          const ServiceLayout &layout, PinProposals &proposals) -> void
{
    const auto limits = this->thresholds(layout);
    auto &since = this->hotSince[service.service];
    std::map<Key, Instant> stillHot;
    std::vector<std::pair<double, PinProposal>> duePins;
    for (const auto &entryOfKey : history.keysOf(service.service)) {
        const auto &key = entryOfKey.first;
        const auto &observed = entryOfKey.second;
        const auto isPinned = std::any_of(pinned.begin(), pinned.end(),
                                          [&](const auto *entry) { return entry->key == key; });
        const auto index = layout.indexOf(observed.shard);
        if (isPinned || !index || !this->isHot(observed, limits.pin, history)) {
            continue;
        }
        const auto previous = since.find(key);
        const auto begin = previous == since.end() ? now : previous->second;
        stillHot.emplace(key, begin);
        if (now - begin >= this->settings.pinDelay && layout.shards[*index].isMovable) {
            const PlannedPin pin{service.service, key, true};
            duePins.emplace_back(observed.load.value(),
                                 PinProposal{pin, layout.shards[*index].holder});
        }
    }
    since = std::move(stillHot);
    std::stable_sort(duePins.begin(), duePins.end(),
                     [](const auto &left, const auto &right) { return left.first > right.first; });
    const auto remainingPins =
        this->settings.maxPinnedKeys - std::min(this->settings.maxPinnedKeys, pinned.size());
    duePins.erase(duePins.begin()
                      + static_cast<std::ptrdiff_t>(std::min(duePins.size(), remainingPins)),
                  duePins.end());
    for (const auto &[load, proposal] : duePins) {
        proposals.pins.push_back(proposal);
    }
}

auto HotKeyPins::planUnpins(Instant now, const std::vector<const PinnedKey *> &pinned,
                            const ServiceEntry &service, const LoadHistory &history,
                            const ServiceLayout &layout, PinProposals &proposals) -> void
{
    const auto limits = this->thresholds(layout);
    for (const auto *entry : pinned) {
        const ShardId shard{entry->service, entry->shardNumber};
        if (history.loadOf(shard) >= limits.unpin) {
            this->coldSince.erase(shard);
            continue;
        }
        const auto since = this->coldSince.try_emplace(shard, now).first->second;
        const auto range = rangeOf(service, entry->key);
        const auto index = layout.indexOf(shard);
        const auto rangeIndex = range ? layout.indexOf(*range) : std::nullopt;
        if (now - since < this->settings.unpinDelay || !index || !rangeIndex) {
            continue;
        }
        const auto &pinnedShard = layout.shards[*index];
        const auto &rangeShard = layout.shards[*rangeIndex];
        if (!pinnedShard.isMovable || !rangeShard.isMovable) {
            continue;
        }
        if (pinnedShard.holder == rangeShard.holder) {
            proposals.pins.push_back({{entry->service, entry->key, false}, pinnedShard.holder});
        } else {
            proposals.movesBeforeUnpin.push_back({shard, layout.upstreams[rangeShard.holder].id});
        }
    }
}

} // namespace gooseberrywall
