#pragma once

#include "protocol/types/upstreammessages.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace gooseberrywall {

/// The grants of one incarnation of an upstream, on the upstream's own clock.
///
/// - A batch is refused as a whole if its incarnation differs, if it has orders but no incarnation,
///   or, where the sender is checked, if a higher term was accepted before. A batch without
///   incarnation only reads the state, so its term isn't recorded.
/// - An order has no effect if a higher fence of its shard was seen (StaleFence) or if its `until`
///   has passed (Expired). A grant under a revoked fence is stale too, so that a late renewal
///   can't undo a revocation.
/// - A renewal never shortens a grant.
class GrantLedger
{
public:
    /// @param checksSender whether batches with a lower term than the highest one are refused
    /// @param grantsExpire whether `until` and the time to live are applied
    GrantLedger(bool checksSender, bool grantsExpire);

    /// Applies the orders of a batch. A revoked shard stays held until finishRevocation().
    /// @param clock the current time of the upstream's clock
    /// @param incarnation the upstream's current incarnation
    /// @param draining whether shards that aren't held yet are refused
    /// @returns the answer, without `held`
    auto apply(UpstreamInstant clock, Incarnation incarnation, bool draining,
               const GrantBatch &batch) -> GrantBatchAnswer;

    /// Ends the grant of a shard that is being revoked and has no active run any more; without
    /// effect for other shards.
    auto finishRevocation(const ShardId &shard) -> void;

    /// @returns the fence of the shard's unexpired grant, also while it is being revoked
    [[nodiscard]] auto heldFence(UpstreamInstant clock, const ShardId &shard) const
        -> std::optional<Fence>;

    /// @returns whether the shard's grant is being revoked, so that no run of it may start
    [[nodiscard]] auto isClosing(const ShardId &shard) const -> bool;

    /// @returns the highest fence that was accepted for the shard
    [[nodiscard]] auto highestFence(const ShardId &shard) const -> Fence;

    /// @returns all unexpired grants, sorted by shard
    [[nodiscard]] auto heldGrants(UpstreamInstant clock) const -> std::vector<HeldGrant>;

private:
    struct Entry
    {
        Fence highestFence;
        /// Fence of the last grant; `highestFence` may come from a revocation.
        Fence fence;
        /// Fence of the last revocation; grants up to this fence are refused as stale.
        std::optional<Fence> revoked;
        bool isHeld = false;
        bool isClosing = false;
        std::optional<UpstreamInstant> until;
    };

    auto applyOrder(UpstreamInstant clock, bool draining, const GrantOrder &order) -> GrantStatus;
    auto grant(UpstreamInstant clock, bool draining, const GrantOrder &order, Entry &entry)
        -> GrantStatus;
    [[nodiscard]] auto isLive(UpstreamInstant clock, const Entry &entry) const -> bool;

    bool checksSender;
    bool grantsExpire;
    Term highestTerm;
    std::unordered_map<ShardId, Entry> entries;
};

} // namespace gooseberrywall
