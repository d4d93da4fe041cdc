#pragma once

#include "common/types/fence.h"
#include "common/types/instant.h"
#include "common/types/shardid.h"
#include "protocol/types/servicepolicy.h"
#include "protocol/types/upstreammessages.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// A moment of an upstream's clock, between two moments of this process's clock.
struct ClockReading
{
    Instant requestedAt;
    Instant receivedAt;
    UpstreamInstant clock;

    auto operator==(const ClockReading &) const -> bool = default;
};

/// Bounds what an upstream may hold: each grant that was ordered or seen counts as possibly in
/// force until it surely ended, and as usable only while it is surely live.
class GrantTracker
{
public:
    /// A grant leaves for the upstream; its end is `reading.clock` plus the time to live.
    auto onGrantSent(const ShardId &shard, const ClockReading &reading, const ServicePolicy &policy)
        -> void;

    /// The call with a grant of the shard may have reached the upstream, and wasn't answered.
    auto onNoAnswer(const ShardId &shard) -> void;

    auto onGrantConfirmed(const ShardId &shard, Fence fence, const ClockReading &reading,
                          const ServicePolicy &policy) -> void;

    /// The upstream says what it holds, whoever granted it.
    auto onGrantHeld(const HeldGrant &held, const ClockReading &reading,
                     const ServicePolicy &policy) -> void;

    /// The upstream acknowledged a revocation under a fence above that of all grants sent.
    auto onRevoked(const ShardId &shard, const ClockReading &reading, const ServicePolicy &policy)
        -> void;

    auto onGrantRejected(const ShardId &shard) -> void;

    /// The upstream's incarnation ended, and all grants with it.
    auto clear() -> void;

    /// @returns the fence of a grant that is surely live
    [[nodiscard]] auto liveFence(Instant now, const ShardId &shard) const -> std::optional<Fence>;

    /// @returns whether no grant of the shard can be live or become live
    [[nodiscard]] auto hasEnded(Instant now, const ShardId &shard) const -> bool;

    /// @returns whether no grant at all can be live or become live
    [[nodiscard]] auto allEnded(Instant now) const -> bool;

    /// @returns whether no unanswered order can still take effect
    [[nodiscard]] auto allUnansweredEnded(Instant now) const -> bool;

private:
    struct Confirmation
    {
        Fence fence;
        Instant liveUntil;
    };

    std::map<ShardId, Confirmation> confirmations;
    std::map<ShardId, Instant> possibleEnds;
    std::map<ShardId, Instant> unansweredEnds;
    /// Answers from before a revocation may arrive after its acknowledgement.
    std::map<ShardId, UpstreamInstant> revokedAt;
};

} // namespace gooseberrywall
