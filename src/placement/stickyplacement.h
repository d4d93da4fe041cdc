#pragma once

#include "placement/internal/hotkeypins.h"
#include "placement/internal/loadhistory.h"
#include "placement/internal/servicelayout.h"
#include "placement/placementpolicy.h"
#include "placement/types/placementsettings.h"

#include <map>
#include <optional>
#include <set>

namespace gooseberrywall {

/// Keeps shards where they are. They move only off leaving upstreams, to new ones, and where
/// measured imbalance stays past a threshold; moves have a budget, and keys that dominate a shard
/// are pinned first.
///
/// Weights are the grantors' measured busy slots, smoothed; what upstreams say of themselves is
/// not used. All memory is a cache: a new coordinator starts without it and waits until it has
/// observed loads before it balances.
class StickyPlacement
{
public:
    explicit StickyPlacement(PlacementSettings settings = {});

    /// Plans the next moves. A move or pin is planned again on each call until the record shows it
    /// or it times out, so that callers may skip any of them.
    auto plan(Instant now, const PlacementInput &input) -> PlacementPlan;

private:
    /// When an upstream was first seen, and what it received as a new one.
    struct Arrival
    {
        Incarnation incarnation;
        Instant firstSeenAt{};
        bool isCold = false;
        bool isFilling = false;
        int receivedShards = 0;
    };
    struct PendingMove
    {
        UpstreamId to;
        Instant plannedAt{};
    };
    struct BalanceState
    {
        bool isActive = false;
        /// Since when an upstream is above the start ratio and a move would help.
        std::optional<Instant> improvableSince;
        /// Since when an upstream is above the start ratio, whether or not a move would help.
        std::optional<Instant> imbalancedSince;
        double moveTokens = 0.0;
        std::vector<PlannedPin> pins;
    };

    auto rebalance(Instant now, Duration elapsed, const ServiceEntry &service,
                   const PlacementInput &input, ServiceLayout &layout) -> void;
    auto addPlannedChanges(const ServiceName &service, PlacementPlan &plan) const -> void;
    [[nodiscard]] auto urgentServices(const CellRecord &record) const -> std::set<ServiceName>;
    auto recordArrivals(Instant now, const CellRecord &record) -> void;
    auto prepareLayout(Instant now, const ServiceEntry &service, const PlacementInput &input,
                       ServiceLayout &layout) -> void;
    auto applyPendingMoves(Instant now, ServiceLayout &layout) -> void;
    auto assignShardsNeedingOwner(Instant now, ServiceLayout &layout) -> void;
    auto fillNewUpstreams(Instant now, BalanceState &balance, ServiceLayout &layout) -> bool;
    auto balanceLoad(Instant now, BalanceState &balance, ServiceLayout &layout) -> void;
    auto pinKeys(Instant now, const ServiceEntry &service, const PlacementInput &input,
                 BalanceState &balance, ServiceLayout &layout) -> void;
    auto move(Instant now, std::size_t shard, std::size_t to, ServiceLayout &layout) -> void;
    auto eraseStale(Instant now, const CellRecord &record) -> void;

    auto updateImbalance(Instant now, const ServicePolicy &policy, BalanceState &balance,
                         const ServiceLayout &layout) const -> void;
    [[nodiscard]] auto mayMove(const BalanceState &balance, const ServiceLayout &layout) const
        -> bool;
    [[nodiscard]] auto joinLimit(const ServiceLayout &layout) const -> int;

    PlacementSettings settings;
    LoadHistory history;
    HotKeyPins hotKeyPins;
    std::optional<Instant> lastEvaluatedAt;
    std::set<ServiceName> seenServices;
    std::map<UpstreamId, Arrival> arrivals;
    std::map<ServiceName, BalanceState> balances;
    std::map<ShardId, PendingMove> pending;
    std::map<ShardId, Instant> movedAt;
};

static_assert(PlacementPolicy<StickyPlacement>);

} // namespace gooseberrywall
