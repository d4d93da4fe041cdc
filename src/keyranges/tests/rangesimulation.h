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

/// How often the world's calls go wrong, 0 to 1.
struct RangeSimulationFaults
{
    /// Orders whose answer is lost; half of them are carried out seconds later.
    double unansweredOrderShare = 0;
    /// Records that are written without an answer.
    double unansweredWriteShare = 0;
};

/// Upstreams, a store and successive grantors in virtual time. Upstreams keep fences and holds as
/// the platform's do; their clocks run 2% slow.
class RangeSimulation
{
public:
    RangeSimulation(std::uint64_t seed, int upstreamCount, RangeSimulationFaults faults);

    /// Runs for a time in steps of 10 ms and checks the owners at each step.
    auto run(Duration time) -> void;
    /// The grantor stops at once; its orders on the way still arrive. Another takes over later.
    auto replaceGrantor(Duration pause) -> void;
    /// The upstream stops answering; it comes back with a new life after a time, or never.
    auto crash(int index, std::optional<Duration> restartAfter) -> void;
    auto drain(int index) -> void;
    /// The store answers nothing while set; the grantor keeps its lease, as leases pause.
    auto setStoreDown(bool isDown) -> void { this->isStoreDown = isDown; }
    auto setFaults(RangeSimulationFaults newFaults) -> void { this->faults = newFaults; }
    auto setHotKeys(KeySpan range, std::uint32_t requestsPerSecond) -> void;

    [[nodiscard]] auto now() const -> Instant { return this->moment; }
    /// @returns keys that an upstream holds and the grantor knows, at this moment
    [[nodiscard]] auto servedKeyCount() const -> std::uint32_t;
    [[nodiscard]] auto ownerCountOf(KeySpan range) const -> std::size_t;
    [[nodiscard]] auto doubleOwnerCount() const -> int { return this->ownerConflicts; }
    [[nodiscard]] auto lowFenceCount() const -> int { return this->lowFences; }
    [[nodiscard]] auto rangeCount() const -> std::size_t { return this->grantor->views().size(); }

private:
    struct Hold
    {
        KeySpan range;
        std::uint64_t fence = 0;
        Instant endsAt;
    };
    struct Upstream
    {
        UpstreamEntry entry;
        bool isUp = true;
        std::optional<Instant> restartsAt;
        std::vector<Hold> holds;
        /// Highest fence seen for each span.
        std::vector<Hold> takenFences;
    };
    struct Delivery
    {
        Instant executedAt;
        /// From then on a grant's time counts.
        Instant arrivedAt;
        std::uint64_t grantorTerm = 0;
        RangeOrder order;
        bool isAnswered = true;
        /// Of the upstream, when the order arrived; it dies with that.
        Incarnation incarnation;
    };

    auto step() -> void;
    auto startGrantor() -> void;
    auto deliver(const Delivery &delivery) -> void;
    [[nodiscard]] auto apply(Upstream &upstream, const Delivery &delivery) -> RangeOrderEnd::Kind;
    auto writeRecord() -> void;
    auto checkOwners() -> void;
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
    std::deque<std::pair<Instant, RangeOrderEnd>> orderEnds;
    RangeRecord storedRecord;
    std::optional<RangeRecord> unwrittenRecord;
    std::uint64_t unwrittenRecordVersion = 0;
    bool isStoreDown = false;
    Instant nextPlanAt{};
    KeySpan hotRange;
    std::uint32_t hotRequestsPerSecond = 0;
    int ownerConflicts = 0;
    int lowFences = 0;
    /// Highest fence with which each upstream has taken each key's 64th.
    std::map<KeyPosition, std::pair<std::uint64_t, UpstreamId>> highestFences;
};

} // namespace gooseberrywall
