#pragma once

#include "dispatch/healthchanges.h"
#include "dispatch/slotbroker.h"
#include "election/grantorelection.h"
#include "keyranges/rangegrantor.h"
#include "keyranges/rangeplanner.h"
#include "logging/logger.h"
#include "logging/requestlog.h"
#include "permitlink/permitmessages.h"
#include "routing/types/routeconfiguration.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberrywall {

struct GrantorRoleSettings
{
    /// This daemon's id and where it receives datagrams.
    DaemonId daemon;
    Address peerAddress;
    std::uint64_t incarnation = 0;
    /// Store keys: grantors' notes, records of key ranges, daemons' addresses.
    std::string grantorPrefix = "gw/grantor/";
    std::string recordPrefix = "gw/ranges/";
    std::string daemonPrefix = "gw/daemon/";
    ElectionSettings election;
    SlotBrokerSettings broker;
    RetryWindowSettings retries;
    RangeGrantorSettings ranges;
    RangePlannerSettings planner;
    /// All daemons hear from the grantor this often.
    Duration announceEvery = std::chrono::seconds{1};
    Duration planEvery = std::chrono::milliseconds{300};
    /// Pause after a store call that failed.
    Duration retryPause = std::chrono::milliseconds{200};
    Duration storeTimeout = std::chrono::milliseconds{800};
    /// Claims of a free grantor's place are spread over this time.
    Duration claimSpread = std::chrono::milliseconds{200};
    /// Delay before a claim on a VM with one core; weaker VMs wait longer, so that the strongest
    /// become grantors.
    Duration claimDelay = std::chrono::milliseconds{40};
    double processorCores = 1;
    auto operator==(const GrantorRoleSettings &) const -> bool = default;
};

/// Sends an order to an upstream; the callback gets its end once, never from within the sending.
using SendRangeOrder =
    std::function<void(const RangeOrder &order, std::function<void(RangeOrderEnd)> done)>;

/// A daemon's part in granting one service: stands for election and, once elected, gives out the
/// service's slots and, for a sharded service, its keys.
class GrantorRole
{
public:
    /// @param now reads the clock that goes on while the VM is suspended
    GrantorRole(ServiceSpec spec, GrantorRoleSettings settings, SendStoreCall store,
                SendRangeOrder orders, std::function<Instant()> now, Logger &logger,
                RequestLog &requestLog);

    /// @param note the grantor whom the store names; nothing where it names none
    /// @param load how many services this daemon grants already
    auto onGrantor(const std::optional<GrantorNote> &grantor, int grantedCount) -> void;
    /// @param entries upstreams of all services
    auto onUpstreams(const std::vector<UpstreamEntry> &entries) -> void;
    auto onMessage(const Address &from, const PermitMessage &message) -> void;
    auto advance() -> void;
    auto setRetryAllowance(double ratio, double extra) -> void;
    /// Leaves the grantor's place to another daemon.
    auto resign() -> void;

    [[nodiscard]] auto nextDue() const -> Instant;
    [[nodiscard]] auto takeDatagrams() -> std::vector<PermitDatagram>;
    [[nodiscard]] auto isLeading() const -> bool
    {
        return this->election.state() == GrantorElection::State::Leading;
    }
    /// @returns whether this daemon gives out permits, elected or not yet replaced
    [[nodiscard]] auto isServing() const -> bool { return this->serving; }
    [[nodiscard]] auto isSharded() const -> bool { return this->spec.isSharded; }
    [[nodiscard]] auto movedKeys() const -> std::uint64_t;

private:
    /// @returns how long a daemon without other services waits before it claims a free place
    [[nodiscard]] static auto claimDelayOf(const ServiceName &service,
                                           const GrantorRoleSettings &settings) -> Duration;
    [[nodiscard]] auto ownGrantorText() const -> std::string;
    /// @returns the word to daemons that take this one for the grantor
    [[nodiscard]] auto notGrantorVerdict() const -> PermitVerdict;
    /// Frees the grantor's place where an earlier incarnation of this daemon still has it.
    auto removeFormerClaim(const GrantorNote &grantor) -> void;
    auto onElected(StoreRevision term) -> void;
    auto onReplaced() -> void;
    auto readRecord() -> void;
    auto writeRecord() -> void;
    auto onRecordRead(const StoreAnswer &answer) -> void;
    auto adoptRecord(const StoreAnswer &answer) -> void;
    auto onRecordWritten(const StoreAnswer &answer, std::uint64_t version) -> void;
    auto readDaemons(const std::string &after) -> void;
    auto announce() -> void;
    auto plan(Instant moment) -> void;
    auto advanceRanges(Instant moment) -> void;
    auto issueOrders() -> void;
    auto refreshOwners(Instant moment) -> void;
    auto logHealth(Instant moment) -> void;
    auto flushVerdicts() -> void;
    auto logVerdict(const IssuedVerdict &issued) -> void;
    auto log(LogLevel level, LogLine &line) -> void;
    /// Sends a call whose answer is dropped where this role is gone by then.
    auto call(const StoreCall &call, std::function<void(const StoreAnswer &)> done) -> void;

    ServiceSpec spec;
    GrantorRoleSettings settings;
    SendStoreCall store;
    SendRangeOrder orders;
    std::function<Instant()> now;
    Logger &logger;
    RequestLog &requestLog;
    std::shared_ptr<bool> alive;
    Duration ownClaimDelay;
    GrantorElection election;
    std::unique_ptr<SlotBroker> broker;
    std::unique_ptr<RangeGrantor> ranges;
    RangePlanner planner;
    std::vector<UpstreamEntry> upstreams;
    bool hasUpstreams = false;
    bool serving = false;
    /// The grantor as last told.
    std::optional<GrantorNote> knownGrantor;
    std::optional<StoreRevision> term;
    StoreRevision removedClaimTerm;
    /// The record of the term has been read and taken over.
    bool isRecordAdopted = false;
    bool isRecordCallPending = false;
    StoreRevision recordRevision;
    std::optional<RangeRecord> unwrittenRecord;
    std::uint64_t unwrittenVersion = 0;
    bool isRecordUncertain = false;
    Instant recordDue{};
    Instant recordBatchUntil{};
    HealthChanges healthChanges;
    Instant healthDue{};
    Instant announceDue{};
    Instant advancedAt{};
    Instant orderEndsDue{};
    Instant planDue{};
    Instant planUnownedDue{};
    bool isProlonging = false;
    std::set<Address> daemons;
    bool areDaemonsKnown = false;
    bool isReadingDaemons = false;
    std::vector<OwnedSpan> brokerOwners;
    std::vector<PermitDatagram> datagrams;
};

} // namespace gooseberrywall
