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

/// All roles of one daemon without I/O: membership, table, coordinator, grantor, request router,
/// dispatcher and configuration, and the messages between them. The driver passes in the time and
/// the inputs and carries out the actions in the outbox.
class Node
{
public:
    /// @param self this daemon
    /// @param settings settings of all roles
    /// @param randomSeed must differ between the incarnations of a daemon
    Node(DaemonIdentity self, NodeSettings settings, std::uint64_t randomSeed);
    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;

    /// Handles one input.
    /// @param now time of the process's monotonic clock
    auto handle(Instant now, const NodeInput &input) -> void;

    /// Performs due work of all roles. Must be called every nodeTickInterval.
    /// @param now time of the process's monotonic clock
    /// @param wallClock used only for comparison with the times of issue in request ids
    auto tick(Instant now, UnixMillis wallClock) -> void;

    /// Begins a graceful shutdown: the daemon stops being ready, hands over its roles and leaves
    /// the cell. Requests that still arrive are routed where they end before `lastEnd`.
    /// @param lastEnd when all open requests are answered
    auto beginShutdown(Instant now, Instant lastEnd) -> void;
    /// @returns whether a graceful shutdown was begun and is complete
    [[nodiscard]] auto isDrained(Instant now) const -> bool;
    /// @returns whether the daemon can route requests
    [[nodiscard]] auto isReady() const -> bool;

    /// Sends an operator's order to the coordinator that the table names; drops it if there is
    /// none.
    auto order(Instant now, const OperatorOrder &order) -> void;

    /// @returns the actions requested since the last clear(); messages to itself are already
    /// handled
    [[nodiscard]] auto outbox() -> Outbox & { return this->out; }
    /// @returns the address for messages to a daemon; nothing if the daemon is unknown
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
    /// Starts an edit of the operators' document. takeEditResults() returns its result later.
    auto startEdit(Instant now, EditRequest request) -> EditId;
    [[nodiscard]] auto takeEditResults() -> std::vector<EditResult>;
    [[nodiscard]] auto policies() const -> const std::vector<ServicePolicy> &
    {
        return this->servicePolicies;
    }

private:
    auto onCaller(Instant now, const RequestReceived &received) -> void;
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
    auto leaveWhenIdle(Instant now) -> void;
    /// @returns whether this daemon is still a grantor or a stand-by and another one could take
    /// over
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
    /// Latest time for the daemon to leave; empty before its shutdown and after it has left.
    std::optional<Instant> leaveAt;
};

} // namespace gooseberrywall
