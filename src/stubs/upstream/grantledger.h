#pragma once

#include "protocol/types/upstreammessages.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace gooseberrywall {

/// The grants of one life of an upstream, on the upstream's own clock.
///
/// - A batch is refused whole if its incarnation differs, if it has orders but no incarnation, or,
///   where the sender is checked, if a higher term was accepted. A batch without incarnation only
///   reads: its term is not remembered.
/// - An order has no effect if a higher fence of its shard was seen (StaleFence), or if its
///   `until` has passed (Expired). A grant under a fence that was revoked is stale too, so that a
///   late renewal can't undo a revocation.
/// - A renewal never shortens a grant.
class GrantLedger
{
public:
    /// @param checksSender refuse batches of lower terms
    /// @param grantsExpire heed `until` and the time to live
    GrantLedger(bool checksSender, bool grantsExpire);

    /// Applies the orders of a batch. Revoked shards go on being held until finishRevocation().
    /// @param clock the upstream's present time
    /// @param incarnation the upstream's own
    /// @param draining take no shard that isn't held
    /// @returns the answer, without `held`
    auto apply(UpstreamInstant clock, Incarnation incarnation, bool draining,
               const GrantBatch &batch) -> GrantBatchAnswer;

    /// Ends a shard whose revocation was applied and whose runs have ended.
    auto finishRevocation(const ShardId &shard) -> void;

    /// @returns the fence of the live grant, being revoked or not
    [[nodiscard]] auto heldFence(UpstreamInstant clock, const ShardId &shard) const
        -> std::optional<Fence>;

    /// @returns whether the shard's grant is being revoked: no run of it may start
    [[nodiscard]] auto isClosing(const ShardId &shard) const -> bool;

    /// @returns the highest fence seen of the shard
    [[nodiscard]] auto highestFence(const ShardId &shard) const -> Fence;

    /// @returns all live grants, sorted by shard
    [[nodiscard]] auto heldGrants(UpstreamInstant clock) const -> std::vector<HeldGrant>;

private:
    struct Entry
    {
        Fence highestFence;
        /// The fence of the grant itself; a revocation may come under a higher one.
        Fence fence;
        /// No grant under this fence or a lower one is taken any more.
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
