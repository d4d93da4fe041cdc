#pragma once

#include "edge/upstreamwatch.h"
#include "permitlink/permitmessages.h"
#include "storelink/tests/fakestore.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// How an upstream tells the store that it leaves.
enum class LeaveKind : std::uint8_t {
    /// Its entry says that it drains, and is removed some seconds later.
    Draining,
    /// Its entry is removed.
    Removed,
};

/// How the store refuses calls of some daemons.
enum class RefusalKind : std::uint8_t {
    /// Calls never arrive, and time out.
    Silent,
    /// Calls never arrive, and fail at once.
    Reset,
};

struct StoreRefusal
{
    RefusalKind kind = RefusalKind::Silent;
    Duration time{0};
    /// Daemons that reach the store all the same.
    int reachingCount = 0;
    /// The grantor of another service reaches the store, so that those refused are cut off.
    bool isOtherGrantorReaching = false;
};

/// Daemons that send requests, with or without permits of the grantor among them, and upstreams
/// that leave, in virtual time. Datagrams take one step of 10 ms; calls to the store as long as it
/// takes for them.
class LeavingCell
{
public:
    /// @param upstreamCount upstreams that are registered from the start
    LeavingCell(int daemonCount, int upstreamCount);
    ~LeavingCell();
    LeavingCell(const LeavingCell &) = delete;
    auto operator=(const LeavingCell &) -> LeavingCell & = delete;

    auto run(Duration time) -> void;
    auto start(int upstream) -> void;
    /// Lets the upstream leave. Where the store is away, it does so once the store is back.
    auto leave(int upstream, LeaveKind kind) -> void;
    /// Removes the upstream's entry although it serves on; it registers again after `absence`.
    auto loseEntry(int upstream, Duration absence) -> void;
    /// The store doesn't answer any more, also not the calls that are open.
    auto stopStore() -> void;
    auto startStore() -> void;
    /// The store comes back from the copy that it has kept. Upstreams that the copy lacks register
    /// again after `absence`, and those that have left since report so again.
    auto restoreStore(Duration absence) -> void;
    auto killGrantor() -> void;
    /// Lets the store refuse the calls of the daemon that is grantor now.
    auto refuseGrantor(Duration time) -> void;
    /// Keeps calls of daemons from the store, those of the grantor among them.
    auto refuseDaemons(const StoreRefusal &refusal) -> void;
    /// Lets each daemon send a request so often in the mean, at random times; initially each 10 ms.
    auto setSendInterval(Duration interval) -> void { this->sendInterval = interval; }
    /// Lets the grantor give up its place; it goes on sending requests.
    auto resignGrantor() -> void;
    /// From now on only the daemon that is grantor now sends requests.
    auto sendOnlyFromGrantor() -> void;
    /// Keeps all daemons from being grantor for a time, so that requests are sent without permits.
    auto silenceGrantors(Duration time) -> void;

    /// @returns the longest time after an acknowledged leave at which a request was sent to the
    /// upstream, without the time for which the store was away; zero where none was
    [[nodiscard]] auto longestUseAfterLeave() const -> Duration;
    /// @returns the upstream of longestUseAfterLeave(), when it left, and who sent, for messages
    [[nodiscard]] auto worstLeave() const -> std::string { return this->worst; }
    [[nodiscard]] auto sentCount() const -> int { return this->sent; }
    [[nodiscard]] auto sentDirectly() const -> int { return this->directlySent; }
    /// @returns how many requests found no upstream
    [[nodiscard]] auto unsentCount() const -> int { return this->unsent; }
    [[nodiscard]] auto hasGrantor() const -> bool;
    /// @returns how many upstreams the grantor would use, at least as a last resort, although they
    /// left more than `since` ago
    [[nodiscard]] auto leftUpstreamsInUse(Duration since) const -> int;
    /// @returns whether the grantor would send requests to the upstream
    [[nodiscard]] auto isGrantorUsing(int upstream) const -> bool;
    auto resetCounts() -> void;

    FakeStore store;

private:
    static constexpr Duration stepTime = std::chrono::milliseconds{10};

    struct Daemon;
    struct Leave
    {
        LeaveKind kind = LeaveKind::Draining;
        std::optional<Instant> acknowledgedAt;
        /// For how long the store had been away until then.
        Duration awayBefore{0};
        bool isEntryRemoved = false;
    };

    auto step() -> void;
    auto advanceLeaves() -> void;
    auto sendRequests() -> void;
    auto deliverDatagrams() -> void;
    /// @param askedAt when the answered request was sent
    auto onAnswer(Daemon &daemon, const UpstreamId &upstream, Instant askedAt) -> void;
    auto onSent(std::size_t daemon, const UpstreamId &upstream, bool isDirect) -> void;
    /// @returns whether the store has acknowledged that the upstream leaves; its answers hint at it
    [[nodiscard]] auto hasLeft(const UpstreamId &upstream) const -> bool;
    [[nodiscard]] auto isStoreAway() const -> bool;

    std::map<std::size_t, std::unique_ptr<Daemon>> daemons;
    std::vector<std::pair<Address, PermitDatagram>> datagrams;
    std::map<UpstreamId, Leave> leaves;
    /// Upstreams that register again, and when.
    std::map<UpstreamId, Instant> registrations;
    std::set<UpstreamId> running;
    /// Daemons that send no requests.
    std::set<std::size_t> quiet;
    Instant grantorsSilentUntil{};
    Duration sendInterval{0};
    std::mt19937_64 random{3};
    Duration storeAwayTime{0};
    Duration longestUse{0};
    std::string worst;
    int sent = 0;
    int directlySent = 0;
    int unsent = 0;
    std::uint64_t nextRequest = 1;
};

} // namespace gooseberrywall
