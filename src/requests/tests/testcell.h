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

/// Grants as the test has given them, as far as one daemon knows.
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

/// What goes wrong on the network, each with its probability per message.
struct LinkFaults
{
    double dropPeer = 0.0;
    double duplicatePeer = 0.0;
    /// Delayed by up to half a second, and so overtaken by others.
    double delayPeer = 0.0;
    /// The call reaches the upstream, its answer doesn't come back.
    double loseAnswer = 0.0;
    double delayAnswer = 0.0;
};

/// One request as its caller sees it.
struct CallerView
{
    Request request;
    Instant sentAt{};
    std::vector<RequestEnd> ends;
    Instant endedAt{};
};

/// A few daemons with the request core only, modelled upstreams, and a network between them, in
/// virtual time. The test writes the record; nothing here decides ownership.
class TestCell
{
public:
    /// @param daemons each in a failure domain of its own
    TestCell(std::uint64_t seed, int daemons, ServicePolicy policy,
             DispatcherSettings settings = {});
    ~TestCell();
    TestCell(const TestCell &) = delete;
    TestCell(TestCell &&) = delete;
    auto operator=(const TestCell &) -> TestCell & = delete;
    auto operator=(TestCell &&) -> TestCell & = delete;

    /// Adds an upstream with daemons as grantor and stand-by; standby may be -1.
    auto addUpstream(const std::string &id, int grantor, int standby,
                     UpstreamModelSettings settings) -> void;

    /// The record that the next publish() distributes; the test edits it.
    CellRecord record;
    /// Publishes the record under the next version: grants follow, then all daemons hear of it.
    /// @param skipped daemons that don't hear of this version
    auto publish(const std::set<int> &skipped = {}) -> void;

    /// Gives all shards to the upstream under a new fence.
    auto assign(std::uint32_t shard, const std::string &upstream) -> void;
    /// Makes another daemon grantor, as a takeover does.
    auto takeOver(const std::string &upstream, int grantor, int standby) -> void;

    auto submit(int daemon, Request request, Duration timeout) -> std::size_t;
    auto callerGone(std::size_t request) -> void;

    /// The daemon vanishes; messages to it are lost. Its callers lose their connections.
    auto killDaemon(int daemon) -> void;
    /// The daemon prepares its end; the test lets another take over.
    auto beginShutdown(int daemon) -> void;
    [[nodiscard]] auto isIdle(int daemon) const -> bool;
    [[nodiscard]] auto isAlive(int daemon) const -> bool;
    auto publishMembership() -> void;
    /// Cuts or mends both directions between two daemons.
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
    /// Draws the service time of a run that doesn't name its own; none: as the model is set.
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
