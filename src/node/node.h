#pragma once

#include "configuration/configurationeditor.h"
#include "configuration/configurationkeeper.h"
#include "insight/counters.h"
#include "insight/eventring.h"
#include "membership/membership.h"
#include "node/types/nodeinput.h"
#include "node/types/nodesettings.h"
#include "node/vmlistpoller.h"
#include "ownership/coordinator.h"
#include "ownership/grantor.h"
#include "ownership/tablekeeper.h"
#include "placement/loadmeter.h"
#include "placement/stickyplacement.h"
#include "protocol/outbox.h"
#include "requests/dispatcher.h"
#include "requests/requestrouter.h"

#include <optional>
#include <vector>

namespace gooseberrywall {

/// All roles of one daemon, without input or output: membership, table, coordinator, grantor,
/// request router, dispatcher and configuration, with the messages between them.
/// Whoever drives it passes the time in and carries out what stands in the outbox.
class Node
{
public:
    /// @param randomSeed must differ between the lives of a daemon
    Node(DaemonIdentity self, NodeSettings settings, std::uint64_t randomSeed);
    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;

    /// Takes one input.
    /// @param now on the process's monotonic clock
    auto handle(Instant now, const NodeInput &input) -> void;

    /// Does what is due; to be called every nodeTickInterval.
    /// @param wallClock compared with the times of issue in request ids only
    auto tick(Instant now, UnixMillis wallClock) -> void;

    /// Begins a graceful shutdown: the daemon stops being ready, hands its roles over and leaves;
    /// requests that still arrive are routed.
    auto beginShutdown(Instant now) -> void;
    /// @returns whether a graceful shutdown has nothing left to do
    [[nodiscard]] auto isDrained(Instant now) const -> bool;
    /// @returns whether the daemon can route requests
    [[nodiscard]] auto isReady() const -> bool;

    /// Sends an operator's order to the coordinator.
    auto order(Instant now, const OperatorOrder &order) -> void;

    /// What the node wants done since the last clear(); messages to itself are already handled.
    [[nodiscard]] auto outbox() -> Outbox & { return this->out; }
    /// @returns where to send a message for a daemon
    [[nodiscard]] auto addressOf(const DaemonId &daemon) const -> std::optional<Address>;

    [[nodiscard]] auto identity() const -> const DaemonIdentity & { return this->self; }
    [[nodiscard]] auto membershipView() const -> const MembershipView &;
    [[nodiscard]] auto table() const -> TablePointer { return this->tables.table(); }
    [[nodiscard]] auto isCoordinating() const -> bool { return this->coordinator.isActive(); }
    [[nodiscard]] auto fenceFor(Instant now, const ShardId &shard) const -> std::optional<Fence>;
    [[nodiscard]] auto counters() const -> const Counters & { return this->requestCounters; }
    [[nodiscard]] auto events() const -> const EventRing & { return this->requestEvents; }
    [[nodiscard]] auto configuration() const -> const ConfigurationKeeper &
    {
        return this->configurations;
    }
    /// Starts an edit of the operators' document; its result comes by takeEditResults.
    auto startEdit(Instant now, EditRequest request) -> EditId;
    [[nodiscard]] auto takeEditResults() -> std::vector<EditResult>;
    [[nodiscard]] auto policies() const -> const std::vector<ServicePolicy> &
    {
        return this->servicePolicies;
    }

private:
    auto onCaller(Instant now, const RequestReceived &arrived) -> void;
    auto onPeer(Instant now, const DaemonId &from, const PeerMessage &message) -> void;
    auto onStore(Instant now, const StoreAnswered &answered) -> void;
    auto onUpstream(Instant now, const UpstreamAnswered &answered) -> void;
    auto distribute(Instant now) -> void;
    auto distributeTable(Instant now) -> void;
    auto distributeMembership(Instant now) -> void;
    auto distributePolicies() -> void;
    auto distributeVmList(Instant now) -> void;
    auto reportLoad(Instant now) -> void;
    auto deliverToSelf(Instant now) -> void;
    /// @returns whether this daemon is a grantor or stand-by still, and another one could take over
    auto leaveWhenIdle(Instant now) -> void;
    [[nodiscard]] auto mustHandOver() const -> bool;
    auto policyOf(const ServiceName &service) const -> const ServicePolicy *;

    DaemonIdentity self;
    NodeSettings settings;
    Outbox out;
    Counters requestCounters;
    EventRing requestEvents;
    Membership membership;
    TableKeeper tables;
    Grantor grantor;
    Coordinator<StickyPlacement> coordinator;
    RequestRouter router;
    Dispatcher<Grantor> dispatcher;
    ConfigurationKeeper configurations;
    ConfigurationEditor editor;
    VmListPoller vmListPoller;
    LoadMeter loadMeter;
    std::vector<ServicePolicy> servicePolicies;
    RecordVersion distributedTable;
    std::uint64_t distributedView = 0;
    Instant nextLoadReport{};
    bool shuttingDown = false;
    /// When the daemon leaves at the latest; nothing before its shutdown and after it has left.
    std::optional<Instant> leaveAt;
};

} // namespace gooseberrywall
