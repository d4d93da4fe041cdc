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

/// Moves the outcome memory of each shard with the shard: between channels of this daemon, and by
/// handover between daemons. Where a memory may have a gap, a new one is started whose coverage
/// states the gap.
class ShardMemories
{
public:
    explicit ShardMemories(ChannelContext &context);

    /// Applies a new version of the record, which the context already has.
    /// @param previous the table before it; nullptr where there was none
    auto onTable(Instant now, const TablePointer &previous, ChannelMap &channels, Outbox &out)
        -> void;

    /// @returns whether the message belongs to a handover
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                   ChannelMap &channels, Outbox &out) -> bool;

    auto tick(Instant now, ChannelMap &channels, Outbox &out) -> void;

    /// @returns whether no outgoing handover is unacknowledged
    [[nodiscard]] auto isIdle() const -> bool { return this->handovers.isIdle(); }

private:
    /// A shard whose owner waits for the handover of its outcome memory.
    struct PendingTransfer
    {
        Instant giveUpAt{};
        /// The wait timed out and a memory with a gap was started; a late handover closes the gap.
        bool hasGap = false;
    };

    auto updatePinnedKeys(Instant now, const TablePointer &previous, ChannelMap &channels,
                          Outbox &out) -> void;
    auto updateShard(Instant now, const ShardEntry &entry, ChannelMap &channels, Outbox &out)
        -> void;
    /// Makes the shard's owner cover it, by a memory of this daemon or one that is handed over.
    auto ensureCovered(Instant now, const ShardEntry &entry, UpstreamChannel &owner,
                       ChannelMap &channels, Outbox &out) -> void;
    auto handOver(Instant now, const ShardEntry &entry, const UpstreamEntry &owner,
                  UpstreamChannel &holder, Outbox &out) -> void;
    auto adopt(Instant now, const ShardId &shard, const ShardOutcomes &outcomes,
               UpstreamChannel &owner, Outbox &out) -> void;
    /// Gives pending shards their memory: one whose handover has arrived or, after the wait, a new
    /// one with a gap.
    auto resolvePending(Instant now, ChannelMap &channels, Outbox &out) -> void;
    /// @returns whether no owner can have come between the two epochs of the shard
    [[nodiscard]] auto isContinuous(const ShardId &shard, const OwnershipEpoch &lastEpoch,
                                    const OwnershipEpoch &current) const -> bool;
    /// @returns the channel that covers the shard; nullptr where there is none
    [[nodiscard]] auto holderOf(const ShardId &shard, ChannelMap &channels) const
        -> UpstreamChannel *;
    /// @returns the channel of the shard's owner; nullptr where this daemon isn't its grantor
    [[nodiscard]] auto ownerOf(const ShardEntry &entry, ChannelMap &channels) const
        -> UpstreamChannel *;
    /// @returns the coverage of a memory that starts now, without the entries before it
    [[nodiscard]] auto coverageWithGap(Instant now, const ShardId &shard,
                                       const UpstreamChannel &owner) const -> OutcomeCoverage;

    ChannelContext &context;
    OwnershipHistory ownershipHistory;
    OutcomeHandovers handovers;
    /// The last epochs of the shards that are covered here.
    std::map<ShardId, OwnershipEpoch> lastEpochs;
    std::map<ShardId, PendingTransfer> pending;
};

} // namespace gooseberrywall
