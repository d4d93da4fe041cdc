#include "virtualcell.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

const auto *const recordKey = "cell/cell/record";

} // namespace

auto VirtualCell::daemonId(int index) -> DaemonId
{
    return DaemonId{"d" + std::to_string(index)};
}

auto VirtualCell::upstreamId(int index) -> UpstreamId
{
    return UpstreamId{"u" + std::to_string(index)};
}

auto VirtualCell::checkOwners(int upstream) -> void
{
    const auto &node = this->upstreams[static_cast<std::size_t>(upstream)];
    if (!node.up || this->now < node.frozenUntil) {
        return;
    }
    for (const auto &[shard, grant] : node.fakeUpstream.grants) {
        if (!node.fakeUpstream.holds(this->upstreamClock(node), shard)) {
            continue;
        }
        for (const auto &other : this->upstreams) {
            const auto isOther = &other != &node && other.up && this->now >= other.frozenUntil;
            if (isOther && other.fakeUpstream.holds(this->upstreamClock(other), shard)) {
                this->violations.push_back(
                    node.vm.id + " and " + other.vm.id + " own " + shard.service.value + "/"
                    + std::to_string(shard.number) + " at "
                    + std::to_string(this->now.time_since_epoch().count()) + " us");
            }
        }
    }
}

auto VirtualCell::record() -> CellRecord
{
    const auto found = this->store.items.find(recordKey);
    if (found == this->store.items.end()) {
        return {};
    }
    const auto &item = found->second;
    if (item.version != this->decodedVersion) {
        this->decodedRecord = this->decoder.decode(item.value).value_or(CellRecord{});
        this->decodedVersion = item.version;
    }
    return this->decodedRecord;
}

auto VirtualCell::coordinator() const -> int
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        const auto &node = this->daemons[i];
        if (node.up && this->now >= node.pausedUntil && node.coordinator->isActive()) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

auto VirtualCell::isServed(const CellRecord &record, const ShardEntry &shard) -> bool
{
    const auto owner = std::find_if(record.upstreams.begin(), record.upstreams.end(),
                                    [&](const auto &entry) { return entry.id == shard.owner; });
    if (shard.stage != ShardStage::Owned || owner == record.upstreams.end()) {
        return false;
    }
    const auto grantor =
        std::find_if(this->daemons.begin(), this->daemons.end(),
                     [&](const auto &node) { return node.self.id == owner->grantor; });
    const auto &upstream =
        *std::find_if(this->upstreams.begin(), this->upstreams.end(),
                      [&](const auto &node) { return node.vm.id == shard.owner.value; });
    if (grantor == this->daemons.end() || !grantor->up || this->now < grantor->pausedUntil
        || !upstream.up || this->now < upstream.frozenUntil) {
        return false;
    }
    const auto fence = grantor->grantor->fenceFor(this->daemonClock(*grantor), shard.id);
    return fence && fence == upstream.fakeUpstream.holds(this->upstreamClock(upstream), shard.id);
}

auto VirtualCell::unserved() -> std::vector<ShardId>
{
    const auto record = this->record();
    std::vector<ShardId> missing;
    for (const auto &shard : record.shards) {
        if (!this->isServed(record, shard)) {
            missing.push_back(shard.id);
        }
    }
    return missing;
}

auto VirtualCell::runUntilServed(Duration limit) -> std::optional<Duration>
{
    const auto start = this->now;
    while (this->now - start < limit) {
        this->run(std::chrono::milliseconds{5});
        if (!this->record().shards.empty() && this->unserved().empty()) {
            return this->now - start;
        }
    }
    return std::nullopt;
}

auto VirtualCell::runSampling(Duration time, Duration sampling) -> Duration
{
    std::map<ShardId, Instant> servedAt;
    auto longest = Duration{0};
    const auto end = this->now + time;
    for (const auto &shard : this->record().shards) {
        servedAt[shard.id] = this->now;
    }
    while (this->now < end) {
        this->run(sampling);
        const auto missing = this->unserved();
        const std::set<ShardId> missingSet(missing.begin(), missing.end());
        for (auto &[shard, instant] : servedAt) {
            longest = std::max(longest, this->now - instant);
            if (!missingSet.contains(shard)) {
                instant = this->now;
            }
        }
    }
    return longest;
}

auto VirtualCell::killDaemon(int index) -> void
{
    this->daemons[static_cast<std::size_t>(index)].up = false;
}

auto VirtualCell::restartDaemon(int index) -> void
{
    this->startDaemon(index);
}

auto VirtualCell::pauseDaemon(int index, Duration time) -> void
{
    this->daemons[static_cast<std::size_t>(index)].pausedUntil = this->now + time;
}

auto VirtualCell::setIsolation(int daemon, Isolation isolation) -> void
{
    this->daemons[static_cast<std::size_t>(daemon)].isolation = isolation;
}

auto VirtualCell::crashUpstream(int index) -> void
{
    this->upstreams[static_cast<std::size_t>(index)].up = false;
}

auto VirtualCell::restartUpstream(int index) -> void
{
    this->startUpstream(index);
}

auto VirtualCell::freezeUpstream(int index, Duration time) -> void
{
    auto &node = this->upstreams[static_cast<std::size_t>(index)];
    node.frozenUntil = this->now + time;
    this->scheduleAt(node.frozenUntil, [this, index] { this->checkOwners(index); });
}

auto VirtualCell::loseDomain(int domain) -> void
{
    const auto name = FailureDomain{"z" + std::to_string(domain)};
    for (auto &node : this->daemons) {
        node.up = node.up && node.self.domain != name;
    }
    for (auto &node : this->upstreams) {
        node.up = node.up && node.vm.domain != name;
    }
}

auto VirtualCell::endFaults() -> void
{
    this->storeDown = false;
    this->writeFaults.clear();
    this->options.dropProbability = 0.0;
    this->options.duplicateProbability = 0.0;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->daemons[i].isolation = Isolation::None;
        this->daemons[i].pausedUntil = std::min(this->daemons[i].pausedUntil, this->now);
        if (!this->daemons[i].up) {
            this->startDaemon(static_cast<int>(i));
        }
    }
    for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
        if (!this->upstreams[i].up) {
            this->startUpstream(static_cast<int>(i));
        }
    }
}

auto VirtualCell::setLeaving(int upstream) -> void
{
    this->upstreams[static_cast<std::size_t>(upstream)].vm.state = VmState::Leaving;
}

auto VirtualCell::sendToCoordinator(const PeerMessage &message) -> void
{
    const auto target = this->coordinator();
    if (target >= 0) {
        this->sendPeer(target, {daemonId(target), message});
    }
}

} // namespace gooseberrywall
