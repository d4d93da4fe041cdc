#pragma once

#include "requests/internal/channelcontext.h"
#include "requests/internal/ownershiphistory.h"
#include "requests/internal/upstreamchannel.h"
#include "requests/outcomehandovers.h"

#include <map>
#include <memory>
#include <optional>

namespace gooseberrywall {

using ChannelMap = std::map<UpstreamId, std::unique_ptr<UpstreamChannel>>;

/// Makes the outcome memory of each shard follow the shard: from channel to channel in this daemon,
/// and by handover from daemon to daemon. Where a memory may have a gap, it begins anew, and says
/// so in its coverage.
class ShardMemories
{
public:
    explicit ShardMemories(ChannelContext &context);

    /// Follows the record; the context has it already.
    /// @param previous the last table before it, if any
    auto onTable(Instant now, const TablePointer &previous, ChannelMap &channels, Outbox &out)
        -> void;

    /// @returns whether the message belongs to a handover
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                   ChannelMap &channels, Outbox &out) -> bool;

    auto tick(Instant now, ChannelMap &channels, Outbox &out) -> void;

    /// @returns whether no handover is on its way out
    [[nodiscard]] auto isIdle() const -> bool { return this->handovers.isIdle(); }

private:
    struct Pending
    {
        Instant giveUpAt{};
        bool isBroken = false;
    };

    auto followPins(Instant now, const TablePointer &previous, ChannelMap &channels, Outbox &out)
        -> void;
    auto followShard(Instant now, const ShardEntry &entry, ChannelMap &channels, Outbox &out)
        -> void;
    auto settle(Instant now, const ShardEntry &entry, UpstreamChannel &owner, ChannelMap &channels,
                Outbox &out) -> void;
    auto handOver(Instant now, const ShardEntry &entry, const UpstreamEntry &owner,
                  UpstreamChannel &holder, Outbox &out) -> void;
    auto adopt(Instant now, const ShardId &shard, const ShardOutcomes &outcomes,
               UpstreamChannel &owner, Outbox &out) -> void;
    auto settlePending(Instant now, ChannelMap &channels, Outbox &out) -> void;
    [[nodiscard]] auto continues(const ShardId &shard, const OwnershipEpoch &held,
                                 const OwnershipEpoch &current) const -> bool;
    [[nodiscard]] auto holderOf(const ShardId &shard, ChannelMap &channels) const
        -> UpstreamChannel *;
    [[nodiscard]] auto ownerOf(const ShardEntry &entry, ChannelMap &channels) const
        -> UpstreamChannel *;
    [[nodiscard]] auto brokenCoverage(Instant now, const ShardId &shard,
                                      const UpstreamChannel &owner) const -> OutcomeCoverage;

    ChannelContext &context;
    OwnershipHistory ownershipHistory;
    OutcomeHandovers handovers;
    /// Under what the shards that are covered here were last owned.
    std::map<ShardId, OwnershipEpoch> held;
    std::map<ShardId, Pending> pending;
};

} // namespace gooseberrywall
