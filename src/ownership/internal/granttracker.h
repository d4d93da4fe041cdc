#pragma once

#include "common/types/fence.h"
#include "common/types/instant.h"
#include "common/types/shardid.h"
#include "protocol/types/servicepolicy.h"
#include "protocol/types/upstreammessages.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// A reading of an upstream's clock, which was taken between two instants of this process's clock.
struct ClockReading
{
    Instant requestedAt;
    Instant receivedAt;
    UpstreamInstant clock;

    auto operator==(const ClockReading &) const -> bool = default;
};

/// Bounds which grants an upstream holds. A grant that was ordered, or that the upstream said it
/// holds, counts as possibly live until it has certainly ended, and as usable only while it is
/// certainly live.
class GrantTracker
{
public:
    /// A grant is sent to the upstream, with `reading.clock` plus the time to live as its end.
    auto onGrantSent(const ShardId &shard, const ClockReading &reading, const ServicePolicy &policy)
        -> void;

    /// A call with a grant of the shard failed, but may have reached the upstream.
    auto onNoAnswer(const ShardId &shard) -> void;

    /// The upstream accepted a grant that was sent with `reading`.
    auto onGrantConfirmed(const ShardId &shard, Fence fence, const ClockReading &reading,
                          const ServicePolicy &policy) -> void;

    /// The upstream states a grant that it holds, from this or another grantor.
    auto onGrantHeld(const HeldGrant &held, const ClockReading &reading,
                     const ServicePolicy &policy) -> void;

    /// The upstream acknowledged a revocation under a fence above that of all grants sent.
    auto onRevoked(const ShardId &shard, const ClockReading &reading, const ServicePolicy &policy)
        -> void;

    /// The upstream refused a grant of the shard.
    auto onGrantRejected(const ShardId &shard) -> void;

    /// The upstream's incarnation has ended, and all its grants with it.
    auto clear() -> void;

    /// @returns the fence of the shard's confirmed grant while it is certainly live; else nothing
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
    /// The upstream's clock at the last revocation of each shard. Answers from before a revocation
    /// may arrive after its acknowledgement and are ignored.
    std::map<ShardId, UpstreamInstant> revokedAt;
};

} // namespace gooseberrywall
