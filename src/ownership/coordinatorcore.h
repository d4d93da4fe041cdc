#pragma once

#include "membership/types/membershipview.h"
#include "ownership/table.h"
#include "ownership/types/coordinatorsettings.h"
#include "placement/placementpolicy.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace gooseberrywall {

class CellView;
class GrantorBalancer;
class ReceivedReports;
class LeaseKeeper;
class PinPlanner;
struct PendingCounts;
class RecordWriter;
enum class LeaseUrgency : std::uint8_t;

/// Decides which shards move where; see PlacementPolicy.
using PlanFunction = std::function<PlacementPlan(Instant, const PlacementInput &)>;

/// The coordinator role of one daemon. Tries for the cell's lease and, while it holds the lease,
/// writes all changes of the cell's record. A change of owner is stored before any order for it is
/// sent, so that another coordinator can continue from the record alone at any time.
class CoordinatorCore
{
public:
    CoordinatorCore(DaemonIdentity self, CoordinatorSettings settings, PlanFunction plan,
                    std::uint64_t seed);
    ~CoordinatorCore();
    CoordinatorCore(const CoordinatorCore &) = delete;
    auto operator=(const CoordinatorCore &) -> CoordinatorCore & = delete;
    CoordinatorCore(CoordinatorCore &&) = delete;
    auto operator=(CoordinatorCore &&) -> CoordinatorCore & = delete;

    /// Sends the calls and messages that are due; to be called about every 10 ms.
    auto tick(Instant now, Outbox &out) -> void;

    /// @returns whether the call was made by this object
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &out) -> bool;

    /// Handles ShardReleased, GrantsEnded, UpstreamHealth, LoadReport, AuthorityRequest,
    /// CrashSuspects, SuspectsCleared and OperatorOrder. Ignores other messages, and all messages
    /// while it doesn't hold the lease.
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &out)
        -> void;

    auto onMembership(Instant now, const MembershipView &view) -> void;
    auto onVmList(Instant now, const std::vector<VmEntry> &vms) -> void;
    auto onPolicies(const std::vector<ServicePolicy> &policies) -> void;

    /// Takes the newest version of the record that this daemon knows. The record is read again
    /// from the store if that version is newer than the one read or written last.
    /// @param table nullptr has no effect
    auto onTable(Instant now, TablePointer table) -> void;

    /// @returns a version that is known to be stored and newer than those returned before, for
    ///          adoption and publication; nothing if there is none
    [[nodiscard]] auto takeNewRecord() -> std::optional<CellRecord>;

    /// @returns whether this daemon holds the lease and is the coordinator in the stored record
    [[nodiscard]] auto isActive() const -> bool;

    /// Releases the lease; this daemon doesn't try for it again.
    auto resign(Instant now, Outbox &out) -> void;

private:
    [[nodiscard]] auto leaseUrgency(Instant now) const -> LeaseUrgency;
    auto resetOnLeaseChange(Instant now) -> void;
    auto yieldIfCutOff(Instant now, Outbox &out) -> void;
    auto plan(Instant now, Outbox &out) -> void;
    [[nodiscard]] auto isPlanDue(Instant now) const -> bool;
    [[nodiscard]] auto waitsForFormerGrantors() const -> bool;
    auto nextRecord(Instant now, bool mayBalance) -> CellRecord;
    auto updateLastGrantorChange(const CellRecord &before, const CellRecord &after) -> void;
    auto answerAuthorityRequests(Instant now, Outbox &out) -> void;
    [[nodiscard]] auto isCoordinatorIn(const CellRecord &record) const -> bool;

    struct PendingAuthorityRequest
    {
        DaemonId daemon;
        AuthorityRequest request;
        Instant arrivedAt;
    };

    DaemonIdentity self;
    CoordinatorSettings settings;
    PlanFunction placement;
    std::unique_ptr<LeaseKeeper> lease;
    std::unique_ptr<RecordWriter> writer;
    std::unique_ptr<CellView> cellView;
    std::unique_ptr<ReceivedReports> reports;
    std::unique_ptr<PendingCounts> reportsInDraft;
    std::unique_ptr<PinPlanner> pinPlanner;
    std::unique_ptr<GrantorBalancer> grantorBalancer;
    TablePointer newestTable;
    Instant lastTickAt{};
    std::optional<Instant> leaseHeldSince;
    std::optional<Instant> cutOffSince;
    std::optional<Instant> lastWriteAt;
    std::optional<Instant> lastBalanceAt;
    std::optional<Instant> lastPlanAt;
    bool needsPlan = true;
    /// Whether this daemon is among those that try for the lease; derived from the membership.
    bool isCandidate = false;
    bool hasResigned = false;
    std::vector<PendingAuthorityRequest> pendingAuthorityRequests;
    std::map<DaemonId, Instant> authorityGivenAt;
    /// The version that last changed a grantor or term, as far as this daemon has seen. Grantors
    /// with an older table may not know that they were replaced and get no authority.
    RecordVersion lastGrantorChangeVersion;
};

} // namespace gooseberrywall
