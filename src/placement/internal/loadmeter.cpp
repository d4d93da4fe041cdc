#include "placement/loadmeter.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

auto seconds(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

LoadMeter::LoadMeter(LoadMeterSettings settings)
    : settings(settings)
{
}

auto LoadMeter::recordRun(Instant now, const ShardId &shard, const Key &key, Duration serviceTime)
    -> void
{
    if (!this->intervalBegin) {
        this->intervalBegin = now;
    }
    const auto [entry, isNew] =
        this->shards.try_emplace(shard, ShardWork{0.0, 0.0, HotKeys(this->settings.countedKeys)});
    const auto busy = seconds(serviceTime);
    entry->second.busySeconds += busy;
    entry->second.decayedBusySeconds += busy;
    entry->second.keys.add(key, busy);
}

auto LoadMeter::takeReport(Instant now) -> LoadReport
{
    const auto begin = this->intervalBegin.value_or(now);
    const auto intervalSeconds = seconds(now - begin);
    LoadReport report;
    if (intervalSeconds <= 0.0) {
        this->intervalBegin = begin;
        return report;
    }
    this->intervalBegin = now;
    this->decayedSeconds += intervalSeconds;
    const auto decayFactor = std::exp(-intervalSeconds / seconds(this->settings.keyTimeConstant));
    for (auto entry = this->shards.begin(); entry != this->shards.end();) {
        auto &work = entry->second;
        const auto busySlots = work.busySeconds / intervalSeconds;
        if (busySlots >= this->settings.minBusySlots) {
            report.shards.push_back({entry->first, Key{}, busySlots});
            this->addKeys(entry->first, work, report.shards);
        }
        work.busySeconds = 0.0;
        work.decayedBusySeconds *= decayFactor;
        work.keys.decay(decayFactor);
        const auto isIdle = work.decayedBusySeconds / this->decayedSeconds
                            < this->settings.minBusySlots * decayFactor;
        entry = isIdle ? this->shards.erase(entry) : std::next(entry);
    }
    this->decayedSeconds *= decayFactor;
    return report;
}

auto LoadMeter::addKeys(const ShardId &shard, const ShardWork &work,
                        std::vector<ShardLoad> &loads) const -> void
{
    auto keys = work.keys.top();
    keys.resize(std::min(keys.size(), this->settings.maxReportedKeys));
    for (const auto &key : keys) {
        if (key.weight >= this->settings.minKeyShare * work.decayedBusySeconds) {
            loads.push_back({shard, key.key, key.weight / this->decayedSeconds});
        }
    }
}

} // namespace gooseberrywall
