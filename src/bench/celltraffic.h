#pragma once

#include "node/node.h"
#include "stubs/platform/platformstore.h"
#include "stubs/upstream/upstreammodel.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <variant>
#include <vector>

namespace gooseberrywall {

/// Traffic and processor time of one daemon.
struct DaemonTraffic
{
    std::uint64_t messages = 0;
    std::uint64_t peerBytes = 0;
    std::uint64_t storeCalls = 0;
    std::uint64_t upstreamCalls = 0;
    /// Bytes of HTTP calls and answers, with headers.
    std::uint64_t storeBytes = 0;
    std::uint64_t upstreamBytes = 0;
    /// By index of the message type in PeerMessage.
    std::array<std::uint64_t, std::variant_size_v<PeerMessage>> bytesByKind{};
    /// Measured processor time of the node, not virtual time.
    std::chrono::nanoseconds processorTime{0};

    [[nodiscard]] auto allBytes() const -> std::uint64_t
    {
        return this->peerBytes + this->storeBytes + this->upstreamBytes;
    }
};

/// Size of a cell.
struct CellSize
{
    int daemons = 27;
    int upstreams = 41;
    int shards = 192;
    /// Time from the daemons' start until the platform lists the upstreams.
    Duration upstreamsAppearAfter = std::chrono::seconds{5};

    auto operator==(const CellSize &) const -> bool = default;
};

/// Simulates a cell of whole Nodes with stand-ins of the store and the upstreams in virtual time,
/// without link faults, and counts the daemons' traffic.
class CellTraffic
{
public:
    explicit CellTraffic(CellSize size);

    auto run(Duration span) -> void;
    /// Waits for a coordinator, writes the service's configuration and waits until all shards are
    /// served.
    /// @returns whether each wait ended within the limit
    auto prepare(Duration limit) -> bool;
    auto loseDaemon(int index) -> void;
    /// Loses all daemons and upstreams of a failure domain at once.
    auto loseDomain(int domain) -> void;
    /// Loses the given numbers of daemons and upstreams of one failure domain at once.
    auto loseRack(int domain, int daemonCount, int upstreamCount) -> void;
    /// Loses a daemon and starts its next incarnation, without state.
    auto restartDaemon(int index) -> void;
    /// Runs for the span.
    /// @returns the longest time in which some shard was not served, with a resolution of 10 ms
    auto longestOutage(Duration span) -> Duration;
    auto resetCounters() -> void;

    /// @returns whether each shard has an owner that would run a request now
    [[nodiscard]] auto isServed() -> bool;
    /// @returns the index of a running daemon that coordinates, or -1
    [[nodiscard]] auto coordinator() const -> int;
    /// @returns the number of upstreams of each grantor, by daemon index
    [[nodiscard]] auto upstreamsByGrantor() const -> std::vector<int>;
    [[nodiscard]] auto traffic() const -> const std::vector<DaemonTraffic> &
    {
        return this->daemonTraffic;
    }
    [[nodiscard]] auto storeCounts() const -> const StoreCallCounts &
    {
        return this->store.counts();
    }
    [[nodiscard]] auto now() const -> Instant { return this->time; }

private:
    struct Daemon
    {
        DaemonIdentity identity;
        std::unique_ptr<Node> node;
        std::uint64_t incarnationNumber = 0;
    };
    struct Event
    {
        Instant at{};
        std::uint64_t order = 0;
        std::function<void()> action;
        auto operator<(const Event &other) const -> bool
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    auto schedule(Instant when, std::function<void()> action) -> void;
    auto listUpstreams() -> void;
    auto startDaemon(int index) -> void;
    auto tick(int index, std::uint64_t incarnationNumber) -> void;
    auto deliverInput(int index, std::uint64_t incarnationNumber, const NodeInput &input) -> void;
    auto flush(int index) -> void;
    auto sendPeer(int from, const PeerSend &send) -> void;
    auto sendStore(int from, const StoreSend &send) -> void;
    auto sendUpstream(int from, const UpstreamSend &send) -> void;
    auto collectReplies() -> void;
    auto edit(const std::string &section, const std::string &text) -> void;
    auto runUntil(const std::function<bool()> &condition, Duration limit) -> bool;
    [[nodiscard]] auto newestTable() const -> TablePointer;

    CellSize size;
    Instant time{std::chrono::seconds{100}};
    PlatformStore store;
    std::vector<Daemon> daemons;
    std::vector<std::unique_ptr<UpstreamModel>> upstreams;
    std::vector<DaemonTraffic> daemonTraffic;
    std::priority_queue<Event> events;
    std::uint64_t lastOrder = 0;
    std::uint64_t lastCall = 0;
    std::map<CallId, std::function<void(StoreAnswer)>> storeCalls;
    std::map<CallId, std::function<void(UpstreamAnswer)>> upstreamCalls;
};

} // namespace gooseberrywall
