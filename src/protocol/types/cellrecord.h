#pragma once

#include "common/types/fence.h"
#include "common/types/ids.h"
#include "common/types/shardid.h"

#include <optional>
#include <vector>

namespace gooseberrywall {

/// State of an upstream in the cell's record.
enum class UpstreamState : std::uint8_t {
    Live,
    /// Receives no new shard; its shards move away.
    Leaving,
    /// No order may renew a grant of it any more; its shards are freed once its grants have ended.
    Lost,
};

/// State of a shard's ownership.
enum class ShardStage : std::uint8_t {
    /// Nobody owns it and no grant of it can be live.
    Unowned,
    /// `owner` owns it under `fence`.
    Owned,
    /// `owner` gives it up under `fence`; afterwards `next` receives it under `nextFence`.
    Transferring,
};

/// A replaced grantor whose orders to the upstream's present incarnation may still take effect.
struct FormerGrantor
{
    DaemonId daemon;
    Incarnation incarnation;
    Term term;

    auto operator==(const FormerGrantor &) const -> bool = default;
};

/// One upstream of the cell. The grantor's authority is for this incarnation and term only.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceName service;
    FailureDomain domain;
    Address address;
    Incarnation incarnation;
    UpstreamState state = UpstreamState::Live;
    DaemonId grantor;
    Incarnation grantorIncarnation;
    Term term;
    /// Mirrors the grantor's outcome memory, in another failure domain than the grantor.
    DaemonId standby;
    Incarnation standbyIncarnation;
    /// Takes over the shards if the upstream is lost while the store is down.
    UpstreamId successor;
    /// Where the upstream checks the sender, no shard of a lost upstream is freed before this is
    /// empty; where it doesn't, the grantor sends no order before this is empty.
    std::vector<FormerGrantor> formerGrantors;
    /// An operator ordered the drain; only an operator ends it.
    bool drainOrdered = false;

    auto operator==(const UpstreamEntry &) const -> bool = default;
};

/// One shard of the cell.
struct ShardEntry
{
    ShardId id;
    ShardStage stage = ShardStage::Unowned;
    UpstreamId owner;
    Fence fence;
    UpstreamId next;
    Fence nextFence;

    auto operator==(const ShardEntry &) const -> bool = default;
};

/// A hot key that is a shard of its own.
struct PinnedKey
{
    ServiceName service;
    Key key;
    std::uint32_t shardNumber = 0;

    auto operator==(const PinnedKey &) const -> bool = default;
};

/// Number of hash ranges of a service; fixed when the service enters the record.
struct ServiceEntry
{
    ServiceName service;
    std::uint32_t shardCount = 0;

    auto operator==(const ServiceEntry &) const -> bool = default;
};

/// A request that is no longer run because upstreams were lost while they ran it.
struct QuarantinedRequest
{
    RequestId id;
    ServiceName service;
    Key key;

    auto operator==(const QuarantinedRequest &) const -> bool = default;
};

/// Loss of an upstream while a request was running on it: the request may have caused the loss.
struct SuspectedCrash
{
    QuarantinedRequest request;
    UpstreamId upstream;
    Incarnation incarnation;

    auto operator==(const SuspectedCrash &) const -> bool = default;
};

/// The cell's record: the one value in the store that decides ownership.
/// Upstreams are sorted by id, shards by ShardId, so that look-ups are binary searches.
struct CellRecord
{
    RecordVersion version;
    /// Recognises the writer of this version after an ambiguous store answer.
    OperationId operation;
    /// The last daemon that took the coordinator's lease; grantors report to it.
    DaemonId coordinator;
    Incarnation coordinatorIncarnation;
    std::vector<ServiceEntry> services;
    std::vector<UpstreamEntry> upstreams;
    std::vector<ShardEntry> shards;
    std::vector<PinnedKey> pinnedKeys;
    std::vector<QuarantinedRequest> quarantine;
    /// The highest term ever given out in the cell; terms and fences are never used twice.
    Term highestTerm;
    /// Crashes that don't suffice for a quarantine yet, oldest first, limited in number.
    std::vector<SuspectedCrash> suspectedCrashes;

    auto operator==(const CellRecord &) const -> bool = default;
};

} // namespace gooseberrywall
