#include "placement/internal/loadhistory.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

/// Keys with fewer busy slots are forgotten.
constexpr double minKeySlots = 0.0005;
/// Interval between two reports of a grantor.
constexpr Duration reportInterval = std::chrono::seconds{1};

} // namespace

LoadHistory::LoadHistory(Duration smoothingTime)
    : smoothingTime(smoothingTime)
{
}

auto LoadHistory::observe(Instant now, const PlacementInput &input) -> void
{
    const auto elapsed = this->lastObservedAt ? now - *this->lastObservedAt : Duration{0};
    this->lastObservedAt = now;
    const auto ratio = std::chrono::duration<double>(elapsed) / this->smoothingTime;
    const auto sampleWeight = 1.0 - std::exp(-ratio);
    this->recordUpstreams(input, elapsed);
    this->splitPinnedKeys(input);
    if (sampleWeight > 0.0) {
        this->recordShardLoads(input, sampleWeight);
        this->recordKeyLoads(input, sampleWeight);
    }
}

auto LoadHistory::recordUpstreams(const PlacementInput &input, Duration elapsed) -> void
{
    this->reportedUpstreams.clear();
    this->unhealthy.clear();
    for (const auto &load : input.upstreamLoads) {
        this->reportedUpstreams.insert(load.upstream);
        if (!load.healthy) {
            this->unhealthy.insert(load.upstream);
        }
    }
    std::set<ServiceName> services;
    for (const auto &upstream : input.record.upstreams) {
        if (this->reportedUpstreams.contains(upstream.id)) {
            services.insert(upstream.service);
        }
    }
    for (const auto &service : services) {
        this->observedTime[service] += elapsed;
    }
}

/// Moves the load of each newly pinned key from its range to its own shard.
auto LoadHistory::splitPinnedKeys(const PlacementInput &input) -> void
{
    for (const auto &pinned : input.record.pinnedKeys) {
        const ShardId shard{pinned.service, pinned.shardNumber};
        if (this->shards.contains(shard)) {
            continue;
        }
        auto &keysOfService = this->keys[pinned.service];
        const auto key = keysOfService.find(pinned.key);
        if (key == keysOfService.end()) {
            continue;
        }
        const auto load = key->second.load.value();
        auto &range = this->shards[key->second.shard];
        range = SmoothedValue(std::max(0.0, range.value() - load));
        this->shards[shard] = SmoothedValue(load);
        keysOfService.erase(key);
    }
}

auto LoadHistory::recordShardLoads(const PlacementInput &input, double sampleWeight) -> void
{
    std::map<ShardId, double> samples;
    for (const auto &load : input.shardLoads) {
        if (load.key.empty()) {
            auto &sample = samples[load.shard];
            sample = std::max(sample, load.busySlots);
        }
    }
    this->measuredShards.clear();
    std::map<ShardId, SmoothedValue> next;
    for (const auto &shard : input.record.shards) {
        const auto previous = this->shards.find(shard.id);
        auto value = previous == this->shards.end() ? SmoothedValue{} : previous->second;
        if (this->reportedUpstreams.contains(shard.owner)) {
            const auto sample = samples.find(shard.id);
            value.add(sample == samples.end() ? 0.0 : sample->second, sampleWeight);
            this->measuredShards.insert(shard.id);
        }
        next.emplace_hint(next.end(), shard.id, value);
    }
    this->shards = std::move(next);
}

auto LoadHistory::recordKeyLoads(const PlacementInput &input, double sampleWeight) -> void
{
    std::map<ServiceName, std::map<Key, ShardLoad>> samples;
    for (const auto &load : input.shardLoads) {
        if (!load.key.empty()) {
            samples[load.shard.service][load.key] = load;
        }
    }
    for (auto &[service, samplesOfService] : samples) {
        auto &keysOfService = this->keys[service];
        for (auto &[key, load] : samplesOfService) {
            keysOfService.try_emplace(key, ObservedKey{load.shard, SmoothedValue{}});
        }
    }
    for (auto &[service, keysOfService] : this->keys) {
        const auto &samplesOfService = samples[service];
        for (auto &[key, observedKey] : keysOfService) {
            const auto sample = samplesOfService.find(key);
            if (sample != samplesOfService.end()) {
                observedKey.shard = sample->second.shard;
                observedKey.load.add(sample->second.busySlots, sampleWeight);
            } else if (this->measuredShards.contains(observedKey.shard)) {
                observedKey.load.add(0.0, sampleWeight);
            }
        }
        std::erase_if(keysOfService,
                      [](const auto &entry) { return entry.second.load.value() < minKeySlots; });
    }
}

auto LoadHistory::loadOf(const ShardId &shard) const -> double
{
    const auto entry = this->shards.find(shard);
    return entry == this->shards.end() ? 0.0 : entry->second.value();
}

auto LoadHistory::varianceOf(const ShardId &shard) const -> double
{
    const auto entry = this->shards.find(shard);
    const auto effectiveSamples =
        2.0 * (std::chrono::duration<double>(this->smoothingTime) / reportInterval);
    return entry == this->shards.end() ? 0.0 : entry->second.variance() / effectiveSamples;
}

auto LoadHistory::keysOf(const ServiceName &service) const -> const std::map<Key, ObservedKey> &
{
    static const std::map<Key, ObservedKey> none;
    const auto entry = this->keys.find(service);
    return entry == this->keys.end() ? none : entry->second;
}

auto LoadHistory::observedFor(const ServiceName &service) const -> Duration
{
    const auto entry = this->observedTime.find(service);
    return entry == this->observedTime.end() ? Duration{0} : entry->second;
}

auto LoadHistory::isUnhealthy(const UpstreamId &upstream) const -> bool
{
    return this->unhealthy.contains(upstream);
}

} // namespace gooseberrywall
