#pragma once

#include "fakestore.h"
#include "fakeupstream.h"
#include "fewestshards.h"
#include "ownership/coordinator.h"
#include "ownership/grantor.h"
#include "ownership/tablekeeper.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberrywall {

struct VirtualCellOptions
{
    int domains = 4;
    int daemons = 27;
    int upstreams = 41;
    std::vector<ServicePolicy> services;
    std::uint64_t seed = 1;
    /// Probability that a message between two processes is lost.
    double dropProbability = 0.0;
    /// Probability that a message between two processes arrives twice.
    double duplicateProbability = 0.0;
    /// Maximum additional delay of a message, which lets messages overtake each other.
    Duration maxJitter{500};
    /// Maximum relative deviation of a clock's rate from real time.
    double maxClockRateDeviation = 0.01;
};

/// What a daemon can't reach. FromAll includes the upstreams; the store stays in reach.
enum class Isolation : std::uint8_t { None, FromPeers, FromAll };

/// A simulated cell: daemons, upstreams, store and network run in virtual time, driven by one event
/// queue. After each change at an upstream it checks that no shard has two owners.
class VirtualCell
{
public:
    explicit VirtualCell(VirtualCellOptions options);

    auto run(Duration time) -> void;
    /// Runs until all shards are served.
    /// @returns the time it took; nothing if `limit` passed before
    auto runUntilServed(Duration limit) -> std::optional<Duration>;

    auto killDaemon(int index) -> void;
    auto restartDaemon(int index) -> void;
    auto pauseDaemon(int index, Duration time) -> void;
    auto crashUpstream(int index) -> void;
    auto restartUpstream(int index) -> void;
    auto freezeUpstream(int index, Duration time) -> void;
    auto loseDomain(int domain) -> void;
    /// Cuts or restores the network between a daemon and all other daemons, or upstreams too.
    auto setIsolation(int daemon, Isolation isolation) -> void;
    /// Has the platform's list state that the upstream's VM is leaving.
    auto setLeaving(int upstream) -> void;
    /// Ends all faults except freezes of upstreams, and restarts what is down.
    auto endFaults() -> void;
    /// Sends a message to the active coordinator, if there is one.
    auto sendToCoordinator(const PeerMessage &message) -> void;

    /// @returns the record in the store
    [[nodiscard]] auto record() -> CellRecord;
    /// @returns the active coordinator's index; -1 if there is none
    [[nodiscard]] auto coordinator() const -> int;
    /// @returns the shards without an owner that holds them and a grantor that may send to it
    [[nodiscard]] auto unserved() -> std::vector<ShardId>;
    /// Runs for `time` and samples at the interval `sampling`.
    /// @returns the longest time for which a shard wasn't served
    auto runSampling(Duration time, Duration sampling) -> Duration;
    [[nodiscard]] static auto daemonId(int index) -> DaemonId;
    [[nodiscard]] static auto upstreamId(int index) -> UpstreamId;

    FakeStore store;
    bool storeDown = false;
    /// Faults of compare-and-swap calls by their number, counted from 0; see writeNumber.
    std::map<int, StoreFault> writeFaults;
    /// Number of the next compare-and-swap call.
    int writeNumber = 0;
    /// Moves and pins to plan in addition to those of FewestShards.
    std::shared_ptr<PlacementPlan> extraPlan = std::make_shared<PlacementPlan>();
    /// Descriptions of all checks at which a shard had two owners.
    std::vector<std::string> violations;
    std::uint64_t tableBytes = 0;
    Instant now{};

private:
    struct Clock
    {
        double rate = 1.0;
        Duration offset{0};
        [[nodiscard]] auto at(Instant real) const -> Duration
        {
            const auto elapsedUs = static_cast<double>(real.time_since_epoch().count());
            return Duration{static_cast<Duration::rep>(elapsedUs * this->rate)} + this->offset;
        }
    };
    struct DaemonNode
    {
        DaemonIdentity self;
        Clock clock;
        bool up = true;
        Isolation isolation = Isolation::None;
        Instant pausedUntil{};
        Instant silentSince = Instant::max();
        std::unique_ptr<TableKeeper> tableKeeper;
        std::unique_ptr<Grantor> grantor;
        std::unique_ptr<Coordinator<FewestShards>> coordinator;
        Outbox out;
        std::set<CallId> calls;
        MembershipView view;
    };
    struct UpstreamNode
    {
        VmEntry vm;
        Clock clock;
        bool up = true;
        Instant frozenUntil{};
        FakeUpstream fakeUpstream;
    };
    struct Event
    {
        Instant at;
        std::uint64_t order;
        std::function<void()> action;
        auto operator<(const Event &other) const -> bool
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    auto scheduleAt(Instant when, std::function<void()> action) -> void;
    auto startDaemon(int index) -> void;
    auto startUpstream(int index) -> void;
    auto tickDaemon(int index, Incarnation incarnation) -> void;
    auto exchangeHeartbeats() -> void;
    auto sendVmLists() -> void;
    auto viewOf(int viewer) -> MembershipView;
    /// Runs a step of a daemon now, or when its pause ends; not at all if that incarnation has
    /// ended.
    auto runOnDaemon(int index, Incarnation incarnation, std::function<void(DaemonNode &)> step)
        -> void;
    auto sendOutbox(int index) -> void;
    auto sendPeer(int from, const PeerSend &send) -> void;
    auto sendStore(int from, const StoreSend &send) -> void;
    auto sendUpstream(int from, const UpstreamSend &send) -> void;
    auto deliverUpstream(int from, Incarnation incarnation, int to, Incarnation upstreamIncarnation,
                         const UpstreamSend &send) -> void;
    auto answerStore(int from, Incarnation incarnation, CallId call, const StoreAnswer &answer,
                     Duration after) -> void;
    auto checkOwners(int upstream) -> void;
    [[nodiscard]] auto isServed(const CellRecord &record, const ShardEntry &shard) -> bool;
    [[nodiscard]] auto upstreamClock(const UpstreamNode &node) const -> UpstreamInstant;
    [[nodiscard]] auto daemonClock(const DaemonNode &node) const -> Instant;
    [[nodiscard]] auto delay(const FailureDomain &from, const FailureDomain &to) -> Duration;
    [[nodiscard]] auto randomBool(double probability) -> bool;

    VirtualCellOptions options;
    std::mt19937_64 random;
    std::vector<DaemonNode> daemons;
    std::vector<UpstreamNode> upstreams;
    std::priority_queue<Event> events;
    std::uint64_t eventCount = 0;
    std::uint64_t incarnationCount = 0;
    RecordDecoder decoder;
    StoreVersion decodedVersion;
    CellRecord decodedRecord;
};

} // namespace gooseberrywall
