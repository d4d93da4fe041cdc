#include "placement/stickyplacement.h"

#include "placement/internal/hashplacement.h"
#include "placement/internal/movefinder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberrywall {

namespace {

/// Capacity of the token bucket that limits the moves of a service.
constexpr double maxMoveTokens = 4.0;

auto policyOf(const ServiceName &service, const PlacementInput &input) -> ServicePolicy
{
    const auto entry =
        std::find_if(input.policies.begin(), input.policies.end(),
                     [&service](const ServicePolicy &policy) { return policy.service == service; });
    return entry == input.policies.end() ? ServicePolicy{} : *entry;
}

/// Keeps the coordinator's limit on moves from delaying shards without an owner.
auto putUnownedFirst(const CellRecord &record, PlacementPlan &plan) -> void
{
    std::stable_partition(plan.moves.begin(), plan.moves.end(), [&record](const auto &move) {
        const auto entry = std::lower_bound(
            record.shards.begin(), record.shards.end(), move.shard,
            [](const ShardEntry &shard, const ShardId &id) { return shard.id < id; });
        return entry != record.shards.end() && entry->stage == ShardStage::Unowned;
    });
}

} // namespace

StickyPlacement::StickyPlacement(PlacementSettings settings)
    : settings(settings)
    , history(settings.smoothingTime)
    , hotKeyPins(settings)
{
}

auto StickyPlacement::plan(Instant now, const PlacementInput &input) -> PlacementPlan
{
    this->recordArrivals(now, input.record);
    const auto elapsed = this->lastEvaluatedAt ? now - *this->lastEvaluatedAt : Duration{0};
    const auto isDue = !this->lastEvaluatedAt || elapsed >= this->settings.evaluationInterval;
    if (isDue) {
        this->lastEvaluatedAt = now;
        this->history.observe(now, input);
        this->eraseStale(now, input.record);
    }
    PlacementPlan plan;
    const auto urgent = isDue ? std::set<ServiceName>{} : this->urgentServices(input.record);
    for (const auto &service : input.record.services) {
        if (!isDue && !urgent.contains(service.service)) {
            this->addPlannedChanges(service.service, plan);
            continue;
        }
        ServiceLayout layout(service.service, input.record, this->history);
        this->prepareLayout(now, service, input, layout);
        this->applyPendingMoves(now, layout);
        this->assignShardsNeedingOwner(now, layout);
        if (isDue) {
            this->rebalance(now, elapsed, service, input, layout);
        }
        this->addPlannedChanges(service.service, plan);
    }
    putUnownedFirst(input.record, plan);
    return plan;
}

auto StickyPlacement::rebalance(Instant now, Duration elapsed, const ServiceEntry &service,
                                const PlacementInput &input, ServiceLayout &layout) -> void
{
    auto &balance = this->balances[service.service];
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    balance.moveTokens =
        std::min(maxMoveTokens, balance.moveTokens + seconds * this->settings.movesPerSecond);
    const auto isFilling = this->fillNewUpstreams(now, balance, layout);
    this->updateImbalance(now, policyOf(service.service, input), balance, layout);
    this->pinKeys(now, service, input, balance, layout);
    if (!isFilling) {
        this->balanceLoad(now, balance, layout);
    }
}

/// @returns the services with shards that need an owner or have a planned move
auto StickyPlacement::urgentServices(const CellRecord &record) const -> std::set<ServiceName>
{
    std::set<UpstreamId> leaving;
    for (const auto &upstream : record.upstreams) {
        if (upstream.state == UpstreamState::Leaving) {
            leaving.insert(upstream.id);
        }
    }
    std::set<ServiceName> urgent;
    for (const auto &shard : record.shards) {
        const auto isWaiting = shard.stage == ShardStage::Unowned
                               || (!leaving.empty() && leaving.contains(shard.owner));
        if (isWaiting) {
            urgent.insert(shard.id.service);
        }
    }
    for (const auto &[shard, move] : this->pending) {
        urgent.insert(shard.service);
    }
    return urgent;
}

auto StickyPlacement::addPlannedChanges(const ServiceName &service, PlacementPlan &plan) const
    -> void
{
    for (const auto &[shard, move] : this->pending) {
        if (shard.service == service) {
            plan.moves.push_back({shard, move.to});
        }
    }
    const auto balance = this->balances.find(service);
    if (balance != this->balances.end()) {
        const auto &pins = balance->second.pins;
        plan.pins.insert(plan.pins.end(), pins.begin(), pins.end());
    }
}

/// Records each new incarnation of an upstream. It is cold if it appears after its service was
/// first seen with owned shards. An upstream is filled, and cold too, if it owns nothing while
/// others do.
auto StickyPlacement::recordArrivals(Instant now, const CellRecord &record) -> void
{
    std::set<UpstreamId> owners;
    std::set<ServiceName> owned;
    for (const auto &shard : record.shards) {
        if (!shard.owner.empty()) {
            owners.insert(shard.owner);
            owned.insert(shard.id.service);
        }
    }
    for (const auto &upstream : record.upstreams) {
        const auto known = this->arrivals.find(upstream.id);
        const auto isKnown =
            known != this->arrivals.end() && known->second.incarnation == upstream.incarnation;
        if (isKnown || !canReceiveShards(upstream)) {
            continue;
        }
        const auto isNew = owned.contains(upstream.service) && !owners.contains(upstream.id);
        const auto isCold = isNew || this->seenServices.contains(upstream.service);
        this->arrivals[upstream.id] = {upstream.incarnation, now, isCold, isNew, 0};
    }
    this->seenServices.insert(owned.begin(), owned.end());
}

auto StickyPlacement::prepareLayout(Instant now, const ServiceEntry &service,
                                    const PlacementInput &input, ServiceLayout &layout) -> void
{
    const auto coldStart = policyOf(service.service, input).coldStart;
    for (auto &upstream : layout.upstreams) {
        const auto &arrival = this->arrivals[upstream.id];
        const auto age = now - arrival.firstSeenAt;
        if (arrival.isCold && age < coldStart) {
            const auto warmUpProgress = std::chrono::duration<double>(age) / coldStart;
            upstream.capacity = this->settings.initialColdShare
                                + (1.0 - this->settings.initialColdShare) * warmUpProgress;
        }
    }
    this->hotKeyPins.markHotShards(service, input.record, this->history, layout);
    for (auto &shard : layout.shards) {
        const auto moved = this->movedAt.find(shard.id);
        if (moved != this->movedAt.end() && now - moved->second < this->settings.moveCooldown) {
            shard.isMovable = false;
        }
    }
}

auto StickyPlacement::applyPendingMoves(Instant now, ServiceLayout &layout) -> void
{
    for (std::size_t index = 0; index < layout.shards.size(); ++index) {
        const auto &shard = layout.shards[index];
        const auto entry = this->pending.find(shard.id);
        if (entry == this->pending.end()) {
            continue;
        }
        const auto to = layout.indexOf(entry->second.to);
        const auto isDone = to && shard.holder == *to;
        const auto isTimedOut = now - entry->second.plannedAt >= this->settings.moveTimeout;
        if (isDone) {
            this->movedAt[shard.id] = now;
        }
        if (isDone || isTimedOut || !to || shard.isMoving) {
            this->pending.erase(entry);
            continue;
        }
        layout.shards[index].needsOwner = false;
        layout.shards[index].isMovable = false;
        layout.assign(index, *to);
    }
}

/// Assigns the heaviest shards first, each to the target with the lowest relative load.
auto StickyPlacement::assignShardsNeedingOwner(Instant now, ServiceLayout &layout) -> void
{
    std::vector<std::size_t> waiting;
    for (std::size_t index = 0; index < layout.shards.size(); ++index) {
        if (layout.shards[index].needsOwner) {
            waiting.push_back(index);
        }
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [&layout](std::size_t left, std::size_t right) {
                         return layout.shards[left].load > layout.shards[right].load;
                     });
    for (const auto index : waiting) {
        const auto to = layout.leastLoadedTarget(layout.shards[index].load);
        if (!to) {
            return;
        }
        this->arrivals[layout.upstreams[*to].id].receivedShards += 1;
        this->move(now, index, *to, layout);
    }
}

/// @returns whether a new upstream is still being filled
auto StickyPlacement::fillNewUpstreams(Instant now, BalanceState &balance, ServiceLayout &layout)
    -> bool
{
    auto isFilling = false;
    for (std::size_t index = 0; index < layout.upstreams.size(); ++index) {
        auto &arrival = this->arrivals[layout.upstreams[index].id];
        if (!arrival.isFilling) {
            continue;
        }
        while (arrival.receivedShards < this->joinLimit(layout)) {
            const auto found = findFillingMove(layout, index);
            if (!found || !this->mayMove(balance, layout)) {
                break;
            }
            arrival.receivedShards += 1;
            balance.moveTokens -= 1.0;
            this->move(now, found->shard, found->to, layout);
        }
        const auto isFull =
            arrival.receivedShards >= this->joinLimit(layout)
            || (layout.upstreams[index].capacity >= 1.0 && !findFillingMove(layout, index));
        if (isFull || now - arrival.firstSeenAt >= this->settings.joinWindow) {
            arrival.isFilling = false;
        }
        isFilling = isFilling || arrival.isFilling;
    }
    return isFilling;
}

/// Services with little load or few observations count as balanced.
auto StickyPlacement::updateImbalance(Instant now, const ServicePolicy &policy,
                                      BalanceState &balance, const ServiceLayout &layout) const
    -> void
{
    const auto mean = layout.meanRelativeLoad();
    const auto isObserved =
        this->history.observedFor(policy.service) >= this->settings.minObservationTime;
    const auto isBusy = mean >= this->settings.minUtilisation * std::max(1, policy.slots);
    const auto isImbalanced =
        isObserved && isBusy
        && std::any_of(layout.upstreams.begin(), layout.upstreams.end(), [&](const auto &upstream) {
               return upstream.relativeLoadLowerBound() > this->settings.startRatio * mean;
           });
    if (!isObserved || !isBusy) {
        balance.isActive = false;
    }
    if (!isImbalanced) {
        balance.imbalancedSince.reset();
    } else if (!balance.imbalancedSince) {
        balance.imbalancedSince = now;
    }
}

auto StickyPlacement::balanceLoad(Instant now, BalanceState &balance, ServiceLayout &layout) -> void
{
    if (!balance.imbalancedSince && !balance.isActive) {
        balance.improvableSince.reset();
        return;
    }
    for (auto &upstream : layout.upstreams) {
        const auto &arrival = this->arrivals[upstream.id];
        const auto isNew = arrival.isCold && now - arrival.firstSeenAt < this->settings.joinWindow;
        upstream.isTarget =
            upstream.isTarget && (!isNew || arrival.receivedShards < this->joinLimit(layout));
    }
    if (!isBalancingNeeded(layout, this->settings.startRatio, this->settings.minStartGain)) {
        balance.improvableSince.reset();
    } else if (!balance.improvableSince) {
        balance.improvableSince = now;
    }
    if (balance.improvableSince && now - *balance.improvableSince >= this->settings.startDelay) {
        balance.isActive = true;
    }
    while (balance.isActive && this->mayMove(balance, layout)) {
        const auto found =
            findBalancingMove(layout, this->settings.stopRatio, this->settings.minGain);
        if (!found) {
            balance.isActive = false;
            return;
        }
        balance.moveTokens -= 1.0;
        this->arrivals[layout.upstreams[found->to].id].receivedShards += 1;
        this->move(now, found->shard, found->to, layout);
    }
}

auto StickyPlacement::pinKeys(Instant now, const ServiceEntry &service, const PlacementInput &input,
                              BalanceState &balance, ServiceLayout &layout) -> void
{
    if (this->history.observedFor(service.service) < this->settings.minObservationTime) {
        return;
    }
    const auto proposals = this->hotKeyPins.plan(now, service, input.record, this->history, layout);
    const auto mean = layout.meanRelativeLoad();
    const auto mayPin =
        balance.isActive
        || (balance.imbalancedSince && now - *balance.imbalancedSince >= this->settings.startDelay);
    const auto isOverloaded = [&](const LayoutUpstream &upstream) {
        return balance.isActive
                   ? upstream.relativeLoad() > this->settings.stopRatio * mean
                   : upstream.relativeLoadLowerBound() > this->settings.startRatio * mean;
    };
    balance.pins.clear();
    for (const auto &proposal : proposals.pins) {
        const auto isLoaded = proposal.holder && isOverloaded(layout.upstreams[*proposal.holder]);
        if (!proposal.pin.pinned || (mayPin && isLoaded)) {
            balance.pins.push_back(proposal.pin);
        }
    }
    for (const auto &proposal : proposals.movesBeforeUnpin) {
        const auto shard = layout.indexOf(proposal.shard);
        const auto to = layout.indexOf(proposal.to);
        if (shard && to && this->mayMove(balance, layout)) {
            balance.moveTokens -= 1.0;
            this->move(now, *shard, *to, layout);
        }
    }
    // A shard must not move while it is about to be split or merged.
    for (const auto &pin : balance.pins) {
        const auto &keys = this->history.keysOf(service.service);
        const auto key = keys.find(pin.key);
        const auto index = key == keys.end() ? std::nullopt : layout.indexOf(key->second.shard);
        if (index) {
            layout.shards[*index].isMovable = false;
        }
    }
}

auto StickyPlacement::move(Instant now, std::size_t shard, std::size_t to, ServiceLayout &layout)
    -> void
{
    this->pending[layout.shards[shard].id] = {layout.upstreams[to].id, now};
    layout.shards[shard].needsOwner = false;
    layout.shards[shard].isMovable = false;
    layout.assign(shard, to);
}

auto StickyPlacement::eraseStale(Instant now, const CellRecord &record) -> void
{
    std::set<UpstreamId> upstreams;
    std::set<ShardId> shards;
    for (const auto &upstream : record.upstreams) {
        upstreams.insert(upstream.id);
    }
    for (const auto &shard : record.shards) {
        shards.insert(shard.id);
    }
    std::erase_if(this->arrivals,
                  [&](const auto &entry) { return !upstreams.contains(entry.first); });
    std::erase_if(this->pending, [&](const auto &entry) { return !shards.contains(entry.first); });
    std::erase_if(this->movedAt, [&](const auto &entry) {
        return now - entry.second >= this->settings.moveCooldown;
    });
}

auto StickyPlacement::mayMove(const BalanceState &balance, const ServiceLayout &layout) const
    -> bool
{
    return balance.moveTokens >= 1.0
           && layout.movesInProgress() < this->settings.maxMovesInProgress;
}

auto StickyPlacement::joinLimit(const ServiceLayout &layout) const -> int
{
    return std::max(
        1, static_cast<int>(std::floor(this->settings.maxJoinRatio * layout.meanShardCount())));
}

} // namespace gooseberrywall
