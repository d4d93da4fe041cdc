#pragma once

#include "protocol/types/servicepolicy.h"
#include "requests/dispatcher.h"
#include "requests/requestrouter.h"
#include "stubs/upstream/upstreammodel.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberrywall {

/// The grants of one daemon, from the last version of the record that it has applied.
struct TestGrants
{
    std::map<ShardId, Fence> fences;
    std::set<UpstreamId> upstreams;

    [[nodiscard]] auto fenceFor(Instant /*now*/, const ShardId &shard) const -> std::optional<Fence>
    {
        const auto fence = this->fences.find(shard);
        return fence == this->fences.end() ? std::nullopt : std::optional(fence->second);
    }
    [[nodiscard]] auto isGrantorOf(const UpstreamId &upstream) const -> bool
    {
        return this->upstreams.contains(upstream);
    }
};

/// Faults of the network, as probabilities per message.
struct LinkFaults
{
    double dropPeer = 0.0;
    double duplicatePeer = 0.0;
    /// Delayed by up to half a second, so that later messages may overtake it.
    double delayPeer = 0.0;
    /// The call reaches the upstream, but its answer is lost.
    double loseAnswer = 0.0;
    double delayAnswer = 0.0;
};

/// One sending of a request as its caller sees it.
struct CallerView
{
    Request request;
    Instant sentAt{};
    std::vector<RequestEnd> ends;
    Instant endedAt{};
};

/// Daemons with only a router and a dispatcher, modelled upstreams, and the network between them,
/// in virtual time. The test edits the cell record; nothing in the cell decides on ownership.
class TestCell
{
public:
    /// @param daemons number of daemons, each in a failure domain of its own
    TestCell(std::uint64_t seed, int daemons, ServicePolicy policy,
             DispatcherSettings settings = {});
    ~TestCell();
    TestCell(const TestCell &) = delete;
    TestCell(TestCell &&) = delete;
    auto operator=(const TestCell &) -> TestCell & = delete;
    auto operator=(TestCell &&) -> TestCell & = delete;

    /// Adds an upstream to the record.
    /// @param grantor index of a daemon
    /// @param standby index of a daemon; -1: none
    auto addUpstream(const std::string &id, int grantor, int standby,
                     UpstreamModelSettings settings) -> void;

    /// The record that the next publish() sends; the test edits it.
    CellRecord record;
    /// Publishes the record under the next version: updates the upstreams' grants, then sends the
    /// record to all daemons.
    /// @param skipped daemons that don't receive this version
    auto publish(const std::set<int> &skipped = {}) -> void;

    /// Gives a shard to the upstream under a new fence, in the record.
    auto assign(std::uint32_t shard, const std::string &upstream) -> void;
    /// Makes another daemon the upstream's grantor under a new term, in the record.
    auto takeOver(const std::string &upstream, int grantor, int standby) -> void;

    /// @returns the index of the sending in callers()
    auto submit(int daemon, Request request, Duration timeout) -> std::size_t;
    auto callerGone(std::size_t request) -> void;

    /// Ends a daemon without notice; messages to it are lost, and its callers get no more ends.
    auto killDaemon(int daemon) -> void;
    /// Begins the daemon's shutdown; the test makes another daemon grantor.
    auto beginShutdown(int daemon) -> void;
    /// The daemon's router ends all requests by then.
    auto stopRouter(int daemon, Duration lastEnd) -> void;
    [[nodiscard]] auto isIdle(int daemon) const -> bool;
    [[nodiscard]] auto isAlive(int daemon) const -> bool;
    auto publishMembership() -> void;
    /// Cuts or restores the link between two daemons, in both directions.
    auto setCut(int one, int other, bool isCut) -> void;

    auto at(Duration time, std::function<void()> action) -> void;
    auto runUntil(Duration time) -> void;

    [[nodiscard]] auto now() const -> Instant { return this->time; }
    [[nodiscard]] auto model(const std::string &id) -> UpstreamModel &;
    [[nodiscard]] auto callers() const -> const std::vector<CallerView> & { return this->views; }
    [[nodiscard]] auto daemonId(int daemon) const -> DaemonId;
    [[nodiscard]] auto runsSent() const -> std::uint64_t { return this->runCalls; }
    auto advanceUpstream(const std::string &id) -> void;

    LinkFaults faults;
    /// Gives the service time of a run whose operation doesn't name its own; where it isn't set,
    /// the model's own setting holds.
    std::function<Duration(const RunRequest &)> serviceTime;
    std::mt19937_64 random;

private:
    static constexpr Duration longestDelay = std::chrono::milliseconds{500};

    struct Daemon;
    struct Server
    {
        std::unique_ptr<UpstreamModel> model;
        std::optional<Instant> wakeAt;
    };
    struct PendingCall
    {
        int daemon = 0;
        CallId call;
        UpstreamId upstream;
    };
    struct Event
    {
        Instant at{};
        std::uint64_t order = 0;
        std::function<void()> action;
        auto operator<(const Event &other) const -> bool
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    auto after(Duration delay, std::function<void()> action) -> void;
    auto schedule(Instant at, std::function<void()> action) -> void;
    auto flush(int daemon) -> void;
    auto sendPeer(int from, const PeerSend &send) -> void;
    auto deliverPeer(int from, int to, const PeerMessage &message) -> void;
    auto sendUpstream(int daemon, UpstreamSend send) -> void;
    auto collectReplies(const UpstreamId &id) -> void;
    auto answerCall(std::uint64_t globalCall, const UpstreamAnswer &answer) -> void;
    auto tickAll() -> void;
    auto applyTable(int daemon, const TablePointer &table) -> void;
    auto grant() -> void;
    [[nodiscard]] auto indexOf(const DaemonId &id) const -> int;
    [[nodiscard]] auto chance(double probability) -> bool;
    [[nodiscard]] auto linkDelay() -> Duration;

    Instant time{std::chrono::seconds{1}};
    std::uint64_t lastOrder = 0;
    std::priority_queue<Event> eventQueue;
    ServicePolicy policy;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::map<UpstreamId, Server> servers;
    std::map<std::uint64_t, PendingCall> calls;
    std::uint64_t lastCall = 0;
    std::uint64_t runCalls = 0;
    std::uint64_t lastTerm = 0;
    std::vector<CallerView> views;
    std::set<std::pair<int, int>> cuts;
};

} // namespace gooseberrywall
