#pragma once

#include "faultmatrix/types/callerrecord.h"
#include "faultmatrix/types/fault.h"
#include "faultmatrix/types/step.h"
#include "faultmatrix/types/worldoptions.h"
#include "node/node.h"
#include "stubs/platform/platformstore.h"
#include "stubs/upstream/upstreammodel.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace gooseberrywall {

/// A daemon's VM in the world.
struct DaemonVm
{
    DaemonIdentity identity;
    std::unique_ptr<Node> node;
    /// Incremented at each start and loss, so that inputs for an earlier incarnation are dropped.
    std::uint64_t incarnationNumber = 0;
    bool isPaused = false;
    bool isStopping = false;
    /// Inputs that arrived during a pause; they wait as they would in the sockets.
    std::deque<NodeInput> inbox;
    /// Offset of the process's clock from the world's time.
    Duration clockOffset{0};
    Instant pausedAt{};
    bool pausesClock = false;
    Instant storeCutUntil{};
    Instant outwardCutUntil{};
    Instant inwardCutUntil{};
    Instant upstreamCutUntil{};
};

/// An upstream's VM in the world.
struct UpstreamVm
{
    UpstreamId id;
    FailureDomain domain;
    std::unique_ptr<UpstreamModel> model;
    std::uint64_t incarnationNumber = 1;
    std::optional<Instant> drainingSince;
};

/// Simulates daemons, upstreams and the platform's store in virtual time, with fixed delays between
/// them. Daemons run the whole real core; upstreams and store are the models of the stand-ins. Runs
/// are repeatable: equal options and faults give equal steps.
class World
{
public:
    explicit World(WorldOptions options);
    World(const World &) = delete;
    auto operator=(const World &) -> World & = delete;

    /// Runs all events of a span of virtual time.
    auto run(Duration span) -> void;
    /// Runs until a condition holds, which is checked every 10 ms.
    /// @returns whether the condition held within the limit
    auto runUntil(const std::function<bool()> &condition, Duration limit) -> bool;

    /// Starts to count steps, and to inject the planned faults at their steps.
    auto openWindow(std::vector<PlannedFault> faults) -> void;
    auto closeWindow() -> void;

    /// Sends a request through a daemon; it is sent again through another if the connection breaks.
    auto sendRequest(std::size_t daemon, const Key &key, bool idempotent, Duration timeout) -> void;
    /// Starts or stops the periodic requests.
    auto setTraffic(bool on) -> void { this->isTrafficOn = on; }

    auto loseDaemon(std::size_t index) -> void;
    auto pauseDaemon(std::size_t index, Duration span, bool withClock) -> void;
    auto stopDaemon(std::size_t index) -> void;
    auto crashUpstream(std::size_t index) -> void;
    auto freezeUpstream(std::size_t index, Duration span) -> void;
    auto restartUpstream(std::size_t index) -> void;
    auto drainUpstream(std::size_t index) -> void;
    auto setStoreFaults(const StoreFaults &faults) -> void;
    /// Starts an edit of a section through a daemon.
    /// @param expected the version that the section must have
    auto edit(std::size_t daemon, const std::string &section, const std::string &text,
              std::uint64_t expected) -> void;

    [[nodiscard]] auto now() const -> Instant { return this->time; }
    [[nodiscard]] auto daemons() -> std::vector<DaemonVm> & { return this->daemonVms; }
    [[nodiscard]] auto upstreams() -> std::vector<UpstreamVm> & { return this->upstreamVms; }
    [[nodiscard]] auto store() -> PlatformStore & { return this->platform; }
    [[nodiscard]] auto steps() const -> const std::vector<Step> & { return this->windowSteps; }
    [[nodiscard]] auto requests() const -> const std::vector<CallerRecord> &
    {
        return this->callerRecords;
    }
    [[nodiscard]] auto editResults() const -> const std::vector<EditResult> &
    {
        return this->editEnds;
    }
    [[nodiscard]] auto options() const -> const WorldOptions & { return this->worldOptions; }
    /// @returns the number of ends for exchanges that were not open
    [[nodiscard]] auto unmatchedEndCount() const -> std::uint64_t { return this->unmatchedEnds; }
    [[nodiscard]] auto wallClock() const -> UnixMillis;
    /// @returns whether all shards are owned and granted, by the state of the running daemons
    [[nodiscard]] auto isServing() -> bool;
    /// @returns the index of the coordinator, if there is one
    [[nodiscard]] auto coordinator() -> std::optional<std::size_t>;
    /// @returns the index of the daemon with this id
    [[nodiscard]] auto daemonIndex(const DaemonId &id) const -> std::optional<std::size_t>;
    [[nodiscard]] auto upstreamIndex(const UpstreamId &id) const -> std::optional<std::size_t>;

    /// Called after each event.
    std::function<void()> afterEvent;
    /// Called with a line for each step, fault and log line; may be empty.
    std::function<void(const std::string &)> trace;

private:
    struct Event
    {
        Instant at{};
        std::uint64_t order = 0;
        std::function<void()> action;
        auto operator<(const Event &other) const -> bool
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };
    struct Delivery
    {
        bool isDropped = false;
        bool isDoubled = false;
        Duration delay{0};
    };

    auto schedule(Instant when, std::function<void()> action) -> void;
    auto startDaemon(std::size_t index) -> void;
    auto scheduleTick(std::size_t index) -> void;
    auto deliverInput(std::size_t index, std::uint64_t incarnationNumber, NodeInput input) -> void;
    auto resume(std::size_t index, std::uint64_t incarnationNumber) -> void;
    auto processTime(const DaemonVm &vm) const -> Instant;
    auto flush(std::size_t index) -> void;
    auto sendPeer(std::size_t from, PeerSend send) -> void;
    auto sendStore(std::size_t from, const StoreSend &send) -> void;
    auto sendUpstream(std::size_t from, UpstreamSend send) -> void;
    auto endExchange(std::size_t from, CallerSend send) -> void;
    auto performStep(std::size_t from, StepTarget target, const std::string &what,
                     const std::string &to, const std::function<void(Duration)> &deliver) -> void;
    [[nodiscard]] auto isCounted(const std::string &what) -> bool;
    auto applyFault(FaultKind kind, std::size_t from, const Step &step, Delivery &delivery) -> void;
    auto affectedUpstream(const Step &step) -> std::size_t;
    auto advanceStore() -> void;
    auto advanceUpstream(std::size_t index) -> void;
    auto scheduleUpstream(std::size_t index) -> void;
    auto sendTraffic() -> void;
    auto resend(std::size_t record) -> void;
    auto submit(std::size_t record, std::size_t daemon) -> void;
    auto delayBetween(const FailureDomain &left, const FailureDomain &right) const -> Duration;
    auto breakConnections(std::size_t daemon) -> void;
    [[nodiscard]] auto nextReadyDaemon(std::size_t start) const -> std::optional<std::size_t>;

    WorldOptions worldOptions;
    Instant time{};
    std::uint64_t lastOrder = 0;
    std::priority_queue<Event> events;
    PlatformStore platform;
    std::vector<DaemonVm> daemonVms;
    std::vector<UpstreamVm> upstreamVms;
    std::vector<CallerRecord> callerRecords;
    std::map<ExchangeId, std::size_t> openExchanges;
    std::vector<EditResult> editEnds;
    /// Calls of daemons to stand-ins, by the stand-ins' own call ids.
    std::uint64_t lastStandInCall = 0;
    std::map<CallId, std::function<void(StoreAnswer)>> storeCalls;
    std::map<CallId, std::function<void(UpstreamAnswer)>> upstreamCalls;
    std::uint64_t lastExchange = 0;
    std::uint64_t lastRequest = 0;
    /// Ends for exchanges that were not open.
    std::uint64_t unmatchedEnds = 0;
    bool isTrafficOn = false;
    bool isWindowOpen = false;
    std::vector<PlannedFault> plannedFaults;
    std::vector<Step> windowSteps;
    std::map<std::string, std::uint64_t> requestSteps;
};

} // namespace gooseberrywall
