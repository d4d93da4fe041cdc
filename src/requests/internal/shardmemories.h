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
    struct PendingTransfer
    {
        Instant giveUpAt{};
        bool hasGap = false;
    };

    auto updatePinnedKeys(Instant now, const TablePointer &previous, ChannelMap &channels,
                          Outbox &out) -> void;
    auto updateShard(Instant now, const ShardEntry &entry, ChannelMap &channels, Outbox &out)
        -> void;
    auto ensureCovered(Instant now, const ShardEntry &entry, UpstreamChannel &owner,
                       ChannelMap &channels, Outbox &out) -> void;
    auto handOver(Instant now, const ShardEntry &entry, const UpstreamEntry &owner,
                  UpstreamChannel &holder, Outbox &out) -> void;
    auto adopt(Instant now, const ShardId &shard, const ShardOutcomes &outcomes,
               UpstreamChannel &owner, Outbox &out) -> void;
    auto resolvePending(Instant now, ChannelMap &channels, Outbox &out) -> void;
    [[nodiscard]] auto isContinuous(const ShardId &shard, const OwnershipEpoch &lastEpoch,
                                    const OwnershipEpoch &current) const -> bool;
    [[nodiscard]] auto holderOf(const ShardId &shard, ChannelMap &channels) const
        -> UpstreamChannel *;
    [[nodiscard]] auto ownerOf(const ShardEntry &entry, ChannelMap &channels) const
        -> UpstreamChannel *;
    [[nodiscard]] auto coverageWithGap(Instant now, const ShardId &shard,
                                       const UpstreamChannel &owner) const -> OutcomeCoverage;

    ChannelContext &context;
    OwnershipHistory ownershipHistory;
    OutcomeHandovers handovers;
    /// Under what the shards that are covered here were last owned.
    std::map<ShardId, OwnershipEpoch> lastEpochs;
    std::map<ShardId, PendingTransfer> pending;
};

} // namespace gooseberrywall
