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

/// Keeps shards on their upstreams as far as possible. Shards move only off upstreams that leave or
/// were lost, to new upstreams, and when the measured imbalance stays above a threshold. The rate
/// of moves is limited, and keys that dominate a shard are pinned first.
///
/// Loads are busy slots as measured by the grantors, smoothed; what upstreams report about
/// themselves is not used. The state is only a cache: a new coordinator starts without it and
/// observes the loads for a while before it balances.
class StickyPlacement
{
public:
    explicit StickyPlacement(PlacementSettings settings = {});

    /// Plans the next moves and pins. Each of them is returned by every call until the record shows
    /// it or it expires, so the caller may skip any of them.
    auto plan(Instant now, const PlacementInput &input) -> PlacementPlan;

private:
    /// When an incarnation of an upstream was first seen, and how many shards it has received
    /// since.
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
        /// When an upstream exceeded the start ratio and a move would have reduced its load; empty
        /// unless both still hold.
        std::optional<Instant> improvableSince;
        /// When an upstream exceeded the start ratio, whether or not a move would help; empty if
        /// none does.
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
