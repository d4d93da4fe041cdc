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
class ReceivedReports;
class LeaseKeeper;
class PinPlanner;
struct PendingCounts;
class RecordWriter;
enum class LeaseUrgency : std::uint8_t;

/// Decides which shards move where; see PlacementPolicy.
using PlanFunction = std::function<PlacementPlan(Instant, const PlacementInput &)>;

/// The coordinator's role of one daemon: holds the cell's lease if it gets it, and writes all
/// changes of the cell's record. Each change of owner is in the store before any order for it is
/// sent; whatever happens to a coordinator, another resumes from the record alone.
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

    /// Sends what is due; call it every 10 ms or so.
    auto tick(Instant now, Outbox &out) -> void;

    /// @returns whether the call was one of this class
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &out) -> bool;

    /// Handles ShardReleased, GrantsEnded, UpstreamHealth, LoadReport, AuthorityRequest,
    /// CrashSuspects, SuspectsCleared and OperatorOrder; ignores other messages, and all of them
    /// while inactive.
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &out)
        -> void;

    auto onMembership(Instant now, const MembershipView &view) -> void;
    auto onVmList(Instant now, const std::vector<VmEntry> &vms) -> void;
    auto onPolicies(const std::vector<ServicePolicy> &policies) -> void;

    /// Takes a version of the record that came from another daemon.
    auto onTable(Instant now, TablePointer table) -> void;

    /// @returns a version that is surely in the store and wasn't returned before, for adoption and
    ///          publication
    [[nodiscard]] auto takeNewRecord() -> std::optional<CellRecord>;

    /// @returns whether this daemon holds the lease and is named in the record
    [[nodiscard]] auto isActive() const -> bool;

    /// Gives up the lease; this daemon doesn't try for it again.
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
    TablePointer newestTable;
    Instant lastTick{};
    std::optional<Instant> leaseHeldSince;
    std::optional<Instant> cutOffSince;
    std::optional<Instant> lastWrite;
    std::optional<Instant> lastBalance;
    std::optional<Instant> lastPlan;
    bool needsPlan = true;
    /// Among the daemons that try for the lease; follows from the membership.
    bool isCandidate = false;
    bool hasResigned = false;
    std::vector<PendingAuthorityRequest> pendingAuthorityRequests;
    std::map<DaemonId, Instant> authorityGivenAt;
    /// Grantors with an older table may not know that they were replaced.
    RecordVersion lastGrantorChangeVersion;
};

} // namespace gooseberrywall
