#include "placement/tests/placementtrial.h"

#include "common/hash.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace gooseberrywall {

namespace {

/// Number of the hottest keys of a service whose loads are tracked one by one.
constexpr int individualKeys = 500;
/// Moves of owned shards and pins that one planning interval may begin.
constexpr int moveBudget = 4;
/// Service time of a request, for the random variation of measured loads.
constexpr double requestSeconds = 0.01;
constexpr int slotsPerUpstream = 3;
constexpr double reportedKeyShare = 0.1;
constexpr int reportedKeysPerShard = 4;

auto rangeOf(const Key &key, std::uint32_t count) -> std::uint32_t
{
    return static_cast<std::uint32_t>(((stableHash(key.value) >> 32U) * count) >> 32U);
}

} // namespace

PlacementTrial::PlacementTrial(const std::vector<TrialService> &services, PlanFunction plan,
                               std::uint64_t seed)
    : planFunction(std::move(plan))
    , random(seed)
{
    for (const auto &service : services) {
        const ServiceName name{service.name};
        this->record.services.push_back({name, service.shards});
        ServicePolicy policy;
        policy.service = name;
        policy.slots = slotsPerUpstream;
        this->input.policies.push_back(policy);
        for (std::uint32_t number = 0; number < service.shards; ++number) {
            ShardEntry shard;
            shard.id = {name, number};
            this->record.shards.push_back(shard);
        }
        this->workloads.push_back({service, {}, {}, static_cast<int>(seed) * 1000});
        this->fillWorkload(this->workloads.back(), 0);
        for (int count = 0; count < service.upstreams; ++count) {
            this->addUpstream(static_cast<int>(this->workloads.size()) - 1);
        }
    }
    std::sort(this->record.shards.begin(), this->record.shards.end(),
              [](const auto &left, const auto &right) { return left.id < right.id; });
}

auto PlacementTrial::addUpstream(int service) -> UpstreamId
{
    UpstreamEntry upstream;
    upstream.id = UpstreamId{"u" + std::to_string(1000 + this->nextUpstream++)};
    upstream.service = ServiceName{this->workloads.at(service).service.name};
    upstream.incarnation = Incarnation{1};
    upstream.grantor = DaemonId{"d" + std::to_string(this->nextUpstream % 27)};
    this->record.upstreams.push_back(upstream);
    return upstream.id;
}

auto PlacementTrial::drain(const UpstreamId &id) -> void
{
    for (auto &upstream : this->record.upstreams) {
        if (upstream.id == id) {
            upstream.state = UpstreamState::Leaving;
        }
    }
}

auto PlacementTrial::lose(const UpstreamId &id) -> void
{
    std::erase_if(this->record.upstreams,
                  [&id](const UpstreamEntry &upstream) { return upstream.id == id; });
    for (auto &shard : this->record.shards) {
        if (shard.owner == id) {
            shard = {shard.id, ShardStage::Unowned, {}, shard.fence, {}, {}};
        }
    }
}

/// Keys are named by generation and rank, so that a new generation is a new set of keys.
/// @param changed number of the hottest ranks that get new keys; 0 at the first call
auto PlacementTrial::fillWorkload(Workload &workload, int changed) -> void
{
    const auto &service = workload.service;
    workload.generation += changed > 0 ? 1 : 0;
    workload.hottest.clear();
    workload.tail.assign(service.shards, 0.0);
    auto total = 0.0;
    for (int rank = 1; rank <= service.keys; ++rank) {
        total += std::pow(rank, -service.zipf);
    }
    const auto capacity = service.utilisation * service.upstreams * slotsPerUpstream;
    for (int rank = 1; rank <= service.keys; ++rank) {
        const auto generation = rank <= changed || changed == 0 ? workload.generation : 0;
        const Key key{"key-" + std::to_string(generation) + "-" + std::to_string(rank)};
        const auto load = capacity * std::pow(rank, -service.zipf) / total;
        if (rank <= individualKeys) {
            workload.hottest.push_back({key, load});
        } else {
            workload.tail[rangeOf(key, service.shards)] += load;
        }
    }
}

auto PlacementTrial::changeHottest(int count) -> void
{
    for (auto &workload : this->workloads) {
        this->fillWorkload(workload, count);
    }
}

auto PlacementTrial::flood(int service, int keys, double share, int upstreams) -> void
{
    auto &workload = this->workloads.at(service);
    std::vector<std::pair<int, UpstreamId>> byShardCount;
    for (const auto &upstream : this->record.upstreams) {
        if (upstream.service.value == workload.service.name) {
            byShardCount.emplace_back(this->shardsOf(upstream.id), upstream.id);
        }
    }
    std::sort(byShardCount.rbegin(), byShardCount.rend());
    std::set<UpstreamId> chosen;
    for (const auto &[size, id] : byShardCount) {
        if (static_cast<int>(chosen.size()) < upstreams) {
            chosen.insert(id);
        }
    }
    const auto total = workload.service.utilisation * workload.service.upstreams * slotsPerUpstream;
    for (auto &hot : workload.hottest) {
        hot.load *= 1.0 - share;
    }
    for (auto &load : workload.tail) {
        load *= 1.0 - share;
    }
    workload.hottest.resize(individualKeys - keys);
    auto found = 0;
    for (int number = 0; found < keys; ++number) {
        const Key key{"flood-" + std::to_string(number)};
        const auto *entry = this->entryOf(
            ShardId{ServiceName{workload.service.name}, rangeOf(key, workload.service.shards)});
        if (chosen.contains(entry->owner)) {
            workload.hottest.push_back({key, total * share / keys});
            ++found;
        }
    }
    std::sort(workload.hottest.begin(), workload.hottest.end(),
              [](const auto &left, const auto &right) { return left.load > right.load; });
}

auto PlacementTrial::run(Duration time) -> void
{
    const auto end = this->now + time;
    while (this->now < end) {
        this->finishTransfers();
        this->input = this->measure();
        this->plan(moveBudget);
        this->now += std::chrono::milliseconds{300};
        this->finishTransfers();
        this->plan(0);
        this->now += std::chrono::milliseconds{700};
    }
}

auto PlacementTrial::plan(int budget) -> void
{
    this->input.record = this->record;
    const auto planned = this->planFunction(this->now, this->input);
    for (const auto &move : planned.moves) {
        this->apply(move, budget);
    }
    for (const auto &pin : planned.pins) {
        this->apply(pin, budget);
    }
}

auto PlacementTrial::apply(const PlannedMove &move, int &budget) -> void
{
    auto *shard = this->entryOf(move.shard);
    const auto *target = this->entryOf(move.to);
    if (target == nullptr || target->state != UpstreamState::Live || shard->owner == move.to
        || shard->stage == ShardStage::Transferring) {
        return;
    }
    const auto *owner = this->entryOf(shard->owner);
    const auto isOwnerLeaving = owner != nullptr && owner->state == UpstreamState::Leaving;
    if (shard->stage == ShardStage::Owned && !isOwnerLeaving && budget-- <= 0) {
        return;
    }
    this->moves += 1;
    this->received[move.to] += 1;
    if (shard->stage == ShardStage::Unowned) {
        shard->stage = ShardStage::Owned;
        shard->owner = move.to;
        return;
    }
    shard->stage = ShardStage::Transferring;
    shard->next = move.to;
}

auto PlacementTrial::apply(const PlannedPin &pin, int &budget) -> void
{
    auto &pinned = this->record.pinnedKeys;
    const auto entry = std::find_if(pinned.begin(), pinned.end(), [&pin](const auto &known) {
        return known.service == pin.service && known.key == pin.key;
    });
    if ((entry != pinned.end()) == pin.pinned || budget-- <= 0) {
        return;
    }
    const auto count =
        std::find_if(this->record.services.begin(), this->record.services.end(),
                     [&pin](const auto &known) { return known.service == pin.service; })
            ->shardCount;
    const auto *range = this->entryOf({pin.service, rangeOf(pin.key, count)});
    if (range->stage != ShardStage::Owned) {
        return;
    }
    if (!pin.pinned) {
        const ShardId id{pin.service, entry->shardNumber};
        if (this->entryOf(id)->owner != range->owner) {
            return;
        }
        std::erase_if(this->record.shards, [&id](const auto &shard) { return shard.id == id; });
        pinned.erase(entry);
        this->unpins += 1;
        return;
    }
    auto shard = *range;
    for (const auto &other : this->record.shards) {
        if (other.id.service == pin.service) {
            shard.id.number = std::max(shard.id.number, other.id.number + 1);
        }
    }
    pinned.push_back({pin.service, pin.key, shard.id.number});
    this->record.shards.push_back(shard);
    std::sort(this->record.shards.begin(), this->record.shards.end(),
              [](const auto &left, const auto &right) { return left.id < right.id; });
    this->pins += 1;
}

auto PlacementTrial::finishTransfers() -> void
{
    for (auto &shard : this->record.shards) {
        if (shard.stage == ShardStage::Transferring) {
            shard = {shard.id, ShardStage::Owned, shard.next, shard.fence, {}, {}};
        }
    }
}

auto PlacementTrial::withNoise(double load) -> double
{
    const auto requestVariance = load > 0.0 ? requestSeconds / load : 0.0;
    const auto deviation = std::sqrt(this->noise.relative * this->noise.relative + requestVariance);
    std::normal_distribution<double> normal(1.0, deviation);
    return std::max(0.0, load * normal(this->random));
}

auto PlacementTrial::measure() -> PlacementInput
{
    PlacementInput measured;
    measured.policies = this->input.policies;
    for (const auto &workload : this->workloads) {
        const ServiceName service{workload.service.name};
        const auto loads = this->shardLoads(workload);
        for (const auto &[number, load] : loads) {
            measured.shardLoads.push_back({{service, number}, Key{}, this->withNoise(load)});
        }
        std::map<std::uint32_t, int> reported;
        for (const auto &hot : workload.hottest) {
            const auto number = this->shardOf(workload, hot.key);
            if (hot.load >= reportedKeyShare * loads.at(number)
                && ++reported[number] <= reportedKeysPerShard) {
                measured.shardLoads.push_back(
                    {{service, number}, hot.key, this->withNoise(hot.load)});
            }
        }
        for (const auto &[upstream, load] : this->upstreamLoads(workload)) {
            UpstreamLoad reportedLoad{upstream, load / slotsPerUpstream, true};
            if (this->noise.wrongReports) {
                reportedLoad.utilisation = static_cast<double>(this->random() % 100) / 10.0;
                reportedLoad.healthy = this->random() % 3 != 0;
            }
            measured.upstreamLoads.push_back(reportedLoad);
        }
    }
    return measured;
}

auto PlacementTrial::shardOf(const Workload &workload, const Key &key) const -> std::uint32_t
{
    for (const auto &pinned : this->record.pinnedKeys) {
        if (pinned.key == key && pinned.service.value == workload.service.name) {
            return pinned.shardNumber;
        }
    }
    return rangeOf(key, workload.service.shards);
}

auto PlacementTrial::shardLoads(const Workload &workload) const -> std::map<std::uint32_t, double>
{
    std::map<std::uint32_t, double> loads;
    for (std::uint32_t number = 0; number < workload.tail.size(); ++number) {
        loads[number] = workload.tail[number];
    }
    for (const auto &hot : workload.hottest) {
        loads[this->shardOf(workload, hot.key)] += hot.load;
    }
    return loads;
}

auto PlacementTrial::upstreamLoads(const Workload &workload) const -> std::map<UpstreamId, double>
{
    std::map<UpstreamId, double> loads;
    for (const auto &upstream : this->record.upstreams) {
        if (upstream.service.value == workload.service.name) {
            loads[upstream.id] = 0.0;
        }
    }
    const auto ofShards = this->shardLoads(workload);
    for (const auto &shard : this->record.shards) {
        const auto load = ofShards.find(shard.id.number);
        if (shard.id.service.value == workload.service.name && !shard.owner.empty()
            && load != ofShards.end()) {
            loads[shard.owner] += load->second;
        }
    }
    return loads;
}

auto PlacementTrial::imbalance(int service) const -> double
{
    auto total = 0.0;
    auto peak = 0.0;
    const auto loads = this->upstreamLoads(this->workloads.at(service));
    for (const auto &[id, load] : loads) {
        total += load;
        peak = std::max(peak, load);
    }
    return peak * static_cast<double>(loads.size()) / total;
}

auto PlacementTrial::imbalanceCappingOversizedKeys(int service) const -> double
{
    const auto &workload = this->workloads.at(service);
    auto loads = this->upstreamLoads(workload);
    auto total = 0.0;
    for (const auto &[id, load] : loads) {
        total += load;
    }
    const auto mean = total / static_cast<double>(loads.size());
    for (const auto &hot : workload.hottest) {
        const ShardId shard{ServiceName{workload.service.name}, this->shardOf(workload, hot.key)};
        if (hot.load > mean) {
            loads[this->entryOf(shard)->owner] -= hot.load - mean;
        }
    }
    auto peak = 0.0;
    for (const auto &[id, load] : loads) {
        peak = std::max(peak, load);
    }
    return peak / mean;
}

auto PlacementTrial::loadOf(const UpstreamId &id) const -> double
{
    for (const auto &workload : this->workloads) {
        const auto loads = this->upstreamLoads(workload);
        if (loads.contains(id)) {
            return loads.at(id);
        }
    }
    return 0.0;
}

auto PlacementTrial::shardsOf(const UpstreamId &id) const -> int
{
    return static_cast<int>(std::count_if(this->record.shards.begin(), this->record.shards.end(),
                                          [&id](const auto &shard) { return shard.owner == id; }));
}

auto PlacementTrial::pinnedKeys() const -> int
{
    return static_cast<int>(this->record.pinnedKeys.size());
}

auto PlacementTrial::entryOf(const ShardId &id) const -> const ShardEntry *
{
    return const_cast<PlacementTrial *>(this)->entryOf(id);
}

auto PlacementTrial::entryOf(const ShardId &id) -> ShardEntry *
{
    const auto entry = std::lower_bound(
        this->record.shards.begin(), this->record.shards.end(), id,
        [](const ShardEntry &shard, const ShardId &wanted) { return shard.id < wanted; });
    return &*entry;
}

auto PlacementTrial::entryOf(const UpstreamId &id) const -> const UpstreamEntry *
{
    const auto entry =
        std::find_if(this->record.upstreams.begin(), this->record.upstreams.end(),
                     [&id](const UpstreamEntry &upstream) { return upstream.id == id; });
    return entry == this->record.upstreams.end() ? nullptr : &*entry;
}

} // namespace gooseberrywall
