#pragma once

#include "keyranges/rangegrantor.h"
#include "keyranges/rangeplanner.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace gooseberrywall {

/// Probabilities of faults, 0 to 1.
struct RangeSimulationFaults
{
    /// Orders whose answer is lost; half of them are carried out 2 s to 12 s later.
    double unansweredOrderShare = 0;
    /// Writes of the record whose answer is lost.
    double unansweredWriteShare = 0;
};

/// Simulates upstreams, a store and successive grantors in virtual time. The upstreams treat fences
/// and hold times as those of the platform do; their clocks run 2% slow.
class RangeSimulation
{
public:
    RangeSimulation(std::uint64_t seed, int upstreamCount, RangeSimulationFaults faults);

    /// Runs for `time` in steps of 10 ms, and checks the owners after each step.
    auto run(Duration time) -> void;
    /// Stops the grantor at once, though its orders on the way still arrive; another one takes over
    /// after `pause`.
    auto replaceGrantor(Duration pause) -> void;
    /// Stops an upstream, which restarts as a new incarnation after `restartAfter`, or never.
    /// @param registrationDelay time after the restart until the grantor hears of it
    auto crash(int index, std::optional<Duration> restartAfter, Duration registrationDelay = {})
        -> void;
    auto drain(int index) -> void;
    /// Begins or ends the evacuation of an upstream's failure domain.
    auto setEvacuated(int index, bool isEvacuated) -> void;
    /// Suspends an upstream: it carries out orders only afterwards, while its grants run on.
    auto freeze(int index, Duration time) -> void;
    /// Upstreams that have answered a release refuse grants with lower fences, or don't; the
    /// grantor knows which. Set before the grantor whom it concerns starts.
    auto setDoReleasesRaiseFences(bool doRaise) -> void
    {
        this->settings.doReleasesRaiseFences = doRaise;
    }
    /// Keeps a copy of the record, for restoreCopy().
    auto keepCopy() -> void { this->recordCopy = this->storedRecord; }
    /// Lets the store come back from the copy, and the grantor be lost; another one takes over
    /// after `pause`. Some upstreams are missing from the store's list until they register again.
    auto restoreCopy(Duration pause) -> void;
    auto setGrantsProlonged(bool areProlonged) -> void
    {
        this->grantor->setGrantsProlonged(areProlonged);
    }
    /// While set, the store doesn't answer. The grantor keeps its lease, since the store pauses
    /// leases meanwhile.
    auto setStoreDown(bool isDown) -> void { this->isStoreDown = isDown; }
    auto setFaults(RangeSimulationFaults newFaults) -> void { this->faults = newFaults; }
    auto setHotKeys(KeyRange range, std::uint32_t requestsPerSecond) -> void;
    /// Lets upstreams be at work on keys that they release, for up to this long. They answer the
    /// release when the work has ended, which is when the hold would have run out at the latest;
    /// a release of keys that they don't hold any more is answered at once.
    auto setLongestWork(Duration time) -> void { this->longestWork = time; }

    [[nodiscard]] auto now() const -> Instant { return this->moment; }
    /// @returns how many keys have an owner that holds them and that the grantor names
    [[nodiscard]] auto servedKeyCount() const -> std::uint32_t;
    /// @returns time from now until all keys are served, or `limit`
    [[nodiscard]] auto timeUntilServed(Duration limit) -> Duration;
    /// @returns how many upstreams own keys of a range, as the grantor names them
    [[nodiscard]] auto ownerCountOf(KeyRange range) const -> std::size_t;
    /// @returns how often a sampled key had more than one owner after a step
    [[nodiscard]] auto doubleOwnerCount() const -> int { return this->ownerConflicts; }
    /// @returns how often a sampled key had an owner whose fence wasn't above an earlier owner's
    [[nodiscard]] auto lowFenceCount() const -> int { return this->lowFences; }
    /// @returns how often a sampled key had an owner after a step while another upstream was still
    /// at work on it, within the time of that one's hold
    [[nodiscard]] auto givenOnAtWorkCount() const -> int { return this->givenOnAtWork; }
    [[nodiscard]] auto rangeCount() const -> std::size_t { return this->grantor->views().size(); }

private:
    struct Hold
    {
        KeyRange range;
        std::uint64_t fence = 0;
        Instant endsAt;
    };
    /// Work that goes on after a release.
    struct Work
    {
        KeyRange range;
        Instant endsAt;
    };
    struct Upstream
    {
        UpstreamEntry entry;
        bool isUp = true;
        std::optional<Instant> restartsAt;
        Duration registrationDelay{0};
        /// Until then the store shows the incarnation before.
        std::optional<Instant> registersAt;
        Incarnation registered{1};
        Instant frozenUntil{};
        /// When it appears in the store's list.
        Instant listedFrom{};
        std::vector<Hold> holds;
        /// The fences seen so far, by range.
        std::vector<Hold> takenFences;
        std::vector<Work> work;
    };
    struct Delivery
    {
        Instant executedAt;
        /// From then on the hold time of a grant counts.
        Instant arrivedAt;
        std::uint64_t grantorTerm = 0;
        RangeOrder order;
        bool isAnswered = true;
        /// Of the upstream when the order was sent; a later one never executes it.
        Incarnation incarnation;
    };

    struct OrderEnd
    {
        Instant at;
        std::uint64_t grantorTerm = 0;
        RangeOrderEnd end;
    };

    auto step() -> void;
    auto startGrantor() -> void;
    auto deliver(const Delivery &delivery) -> void;
    /// Lets an order of the present grantor end at a time.
    auto endOrder(Instant endAt, const RangeOrderEnd &end) -> void;
    [[nodiscard]] auto apply(Upstream &upstream, const Delivery &delivery) -> RangeOrderEnd::Kind;
    /// @returns when a release that is carried out now will be answered
    [[nodiscard]] auto startWork(Upstream &upstream, KeyRange released) -> Instant;
    auto writeRecord() -> void;
    auto checkOwners() -> void;
    [[nodiscard]] auto isAtWork(const Upstream &upstream, KeyPosition key) const -> bool;
    [[nodiscard]] auto chance(double probability) -> bool;
    [[nodiscard]] auto entries() const -> std::vector<UpstreamEntry>;
    [[nodiscard]] auto find(const UpstreamId &id) -> Upstream *;

    std::mt19937_64 random;
    RangeSimulationFaults faults;
    RangeGrantorSettings settings;
    Instant moment = Instant{std::chrono::seconds{100}};
    std::uint64_t term = 1;
    std::unique_ptr<RangeGrantor> grantor;
    RangePlanner planner;
    std::optional<Instant> grantorStartsAt;
    std::vector<Upstream> upstreams;
    std::deque<Delivery> deliveries;
    /// In the order of their times.
    std::deque<OrderEnd> orderEnds;
    RangeRecord storedRecord;
    RangeRecord recordCopy;
    /// The stored record is that of the copy, and later ones are lost.
    bool isRecordOutdated = false;
    Instant restoredAt{};
    std::optional<RangeRecord> unwrittenRecord;
    std::uint64_t unwrittenRecordVersion = 0;
    bool isStoreDown = false;
    Instant nextPlanAt{};
    KeyRange hotRange;
    std::uint32_t hotRequestsPerSecond = 0;
    int ownerConflicts = 0;
    int lowFences = 0;
    int givenOnAtWork = 0;
    Duration longestWork{0};
    /// For each sampled key: the highest fence of a grant, and the upstream that held it.
    std::map<KeyPosition, std::pair<std::uint64_t, UpstreamId>> highestFences;
};

} // namespace gooseberrywall
