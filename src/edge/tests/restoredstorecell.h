#pragma once

#include "edge/grantorwatch.h"
#include "storelink/tests/fakestore.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Daemons that compete for the grantor's place of one sharded service, its upstreams, requests for
/// its keys, and a store, in virtual time. Datagrams and orders take one step of 10 ms.
class RestoredStoreCell
{
public:
    /// @param doReleasesRaiseFences as in RangeGrantorSettings; the upstreams behave accordingly
    explicit RestoredStoreCell(int daemonCount, int upstreamCount = 6,
                               bool doReleasesRaiseFences = true);
    ~RestoredStoreCell();
    RestoredStoreCell(const RestoredStoreCell &) = delete;
    auto operator=(const RestoredStoreCell &) -> RestoredStoreCell & = delete;

    auto run(Duration time) -> void;
    /// Lets requests arrive for keys of a range.
    auto setLoad(KeyRange keys, double perSecond) -> void;
    /// Ends the serving grantor, or starts it anew `restartAfter` later.
    auto killGrantor(std::optional<Duration> restartAfter) -> void;
    auto killAll() -> void;
    /// Keeps a daemon from the store, but not from the other daemons.
    auto setCutOff(std::size_t daemon, bool isCutOff) -> void;
    /// Keeps an upstream out of the store's list for a time, as if the copy lacked it.
    auto loseEntry(std::size_t upstream, Duration time) -> void;
    /// Lets upstreams be at work on keys that they release for this long, though not longer than
    /// their hold lasts; grantors that start later know it. A release is answered then, and one of
    /// keys that the upstream doesn't hold any more at once.
    auto setWorkTime(Duration time) -> void
    {
        this->workTime = time;
        this->releaseAnswerTime = Duration{0};
    }
    /// @param share of the orders that are not answered, and carried out 1 s to 8 s later
    auto setLateOrderShare(double share) -> void { this->lateOrderShare = share; }
    [[nodiscard]] auto grantorIndex() const -> std::optional<std::size_t>;

    /// @returns how often a sampled key was held by two upstreams after a step
    [[nodiscard]] auto doubleOwnerCount() const -> int { return this->ownerConflicts; }
    /// @returns how often an upstream took a sampled key with a fence that wasn't above that of
    /// another upstream before
    [[nodiscard]] auto lowFenceCount() const -> int { return this->lowFences; }
    /// @returns how often a sampled key was held after a step while another upstream was still at
    /// work on it, within the time of that one's hold
    [[nodiscard]] auto givenOnAtWorkCount() const -> int { return this->givenOnAtWork; }
    [[nodiscard]] auto grantedCount() const -> int { return this->grantedRequests; }
    [[nodiscard]] auto askedCount() const -> int { return this->askedRequests; }
    /// @returns how many requests were granted to an upstream that held their key
    [[nodiscard]] auto servedCount() const -> int { return this->servedRequests; }
    auto resetCounts() -> void;

    FakeStore store;

private:
    struct Daemon;
    struct Hold
    {
        KeyRange range;
        std::uint64_t fence = 0;
        Instant endsAt;
    };
    struct Upstream
    {
        /// Work that goes on after a release; without fences.
        std::vector<Hold> work;
        std::vector<Hold> holds;
        std::vector<Hold> takenFences;
    };
    struct SentOrder
    {
        RangeOrder order;
        std::function<void(RangeOrderEnd)> done;
        /// Set once the order has been carried out; it is answered some time later.
        std::optional<RangeOrderEnd> end;
        Instant answerAt{};
        /// The order is carried out then, after it has ended without an answer.
        std::optional<Instant> lateAt;
        /// From its arrival on, the hold time of a grant counts.
        Instant sentAt{};
    };

    auto startDaemon(std::size_t index) -> void;
    auto step() -> void;
    auto sendRequests() -> void;
    auto carryOutOrders() -> void;
    auto deliverDatagrams() -> void;
    auto checkOwners() -> void;
    auto checkWork(KeyPosition key) -> void;
    /// @returns when a release that is carried out now will be answered
    [[nodiscard]] auto startWork(Upstream &upstream, KeyRange released) const -> Instant;
    [[nodiscard]] auto apply(Upstream &upstream, const RangeOrder &order, Instant sentAt)
        -> RangeOrderEnd::Kind;
    /// Tells all daemons which upstreams the store lists.
    auto publishEntries() -> void;
    [[nodiscard]] auto holds(const UpstreamId &id, KeyPosition key) const -> bool;

    std::map<std::size_t, std::unique_ptr<Daemon>> daemons;
    std::map<std::size_t, Instant> restarts;
    std::map<std::size_t, bool> cutOff;
    bool doReleasesRaiseFences;
    std::vector<UpstreamEntry> entries;
    /// Entries that the store lacks, and until when.
    std::map<std::size_t, Instant> lostEntries;
    double lateOrderShare = 0;
    std::map<std::uint64_t, KeyPosition> requestedKeys;
    int servedRequests = 0;
    std::map<UpstreamId, Upstream> upstreams;
    std::deque<SentOrder> orders;
    std::vector<std::pair<Address, PermitDatagram>> datagrams;
    std::mt19937_64 random{3};
    KeyRange loadedKeys;
    double requestsPerSecond = 0;
    std::uint64_t nextRequest = 1;
    std::uint64_t nextIncarnation = 1;
    Instant startedAt = this->store.now();
    int ownerConflicts = 0;
    int lowFences = 0;
    int givenOnAtWork = 0;
    /// As long as requests last.
    Duration workTime = std::chrono::milliseconds{800};
    /// A release isn't answered earlier.
    Duration releaseAnswerTime = std::chrono::milliseconds{1400};
    int grantedRequests = 0;
    int askedRequests = 0;
    /// For each sampled key: the highest fence, and the upstream that took it.
    std::map<KeyPosition, std::pair<std::uint64_t, UpstreamId>> highestFences;
};

} // namespace gooseberrywall
