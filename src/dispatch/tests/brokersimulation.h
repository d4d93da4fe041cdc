#pragma once

#include "dispatch/slotbroker.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace gooseberrywall {

/// A class of requests with one rate, priority and duration.
struct RequestClass
{
    double perSecond = 10;
    int priority = 0;
    /// Mean time that an upstream of speed 1 takes.
    Duration work = std::chrono::milliseconds{80};
    Duration target = std::chrono::milliseconds{300};
    Duration deadline = std::chrono::milliseconds{800};
    /// A refused caller retries once, after the time that the refusal gives.
    bool retriesOnce = true;
};

/// Results of the requests of one class.
struct ClassCounts
{
    int asked = 0;
    /// Answered within the target.
    int inTarget = 0;
    /// Answered after the target.
    int late = 0;
    /// Refused without a further retry.
    int refused = 0;
    /// All refusals, also of callers who retry afterwards.
    int refusals = 0;
    /// Sum of the times from request to refusal.
    Duration refusedWait{0};
    /// Sum of the times from request to grant.
    Duration grantedWait{0};
    [[nodiscard]] auto served() const -> int { return this->inTarget + this->late; }
};

/// Simulates one broker, upstreams of given speeds and callers in virtual time. The classes and
/// their rates determine the load.
class BrokerSimulation
{
public:
    /// @param isSharded each request has a key; each upstream owns an equal part of the keys
    BrokerSimulation(std::uint64_t seed, std::vector<double> speeds,
                     std::vector<RequestClass> classes, bool isSharded = false);

    auto run(Duration time) -> void;
    auto setRate(std::size_t index, double perSecond) -> void;
    /// Makes the upstream's work take this many times as long; with 0 it never answers.
    auto setSlowdown(std::size_t upstream, double factor) -> void;
    /// Makes the upstream name this limit in its answers.
    auto setRequestLimit(std::size_t upstream, RequestLimit limit) -> void;
    /// Replaces the broker by one that knows the upstreams and owners only, as a new grantor does.
    auto replaceBroker() -> void;

    [[nodiscard]] auto counts(std::size_t index) const -> const ClassCounts &
    {
        return this->results.at(index);
    }
    auto resetCounts() -> void;
    /// @returns the largest number of requests beyond its slots that an upstream has had at once
    [[nodiscard]] auto maxOvercommit() const -> int { return this->worstOvercommit; }
    /// @returns the largest number of requests beyond what a limit allows, that an upstream got in
    /// a window of 4 s; the first window begins 3 s after its first limit, or half a second after
    /// a lower one
    [[nodiscard]] auto maxLimitExcess() const -> double { return this->worstLimitExcess; }
    /// @returns the number of requests sent to the upstream since the last reset
    [[nodiscard]] auto sentTo(std::size_t upstream) const -> int
    {
        return this->sentRequests.at(upstream);
    }

private:
    struct Caller
    {
        std::size_t classIndex = 0;
        Instant arrivedAt;
        bool isRetry = false;
        KeyPosition key = 0;
    };
    struct Event
    {
        Instant at;
        enum class Kind : std::uint8_t { Arrive, End, Tick } kind = Kind::Tick;
        std::uint64_t request = 0;
        std::size_t upstream = 0;
        bool operator>(const Event &other) const { return this->at > other.at; }
    };

    auto ask(const Caller &caller) -> void;
    auto takeVerdicts() -> void;
    auto onEnd(const Event &event) -> void;
    auto setUpBroker() -> void;
    auto onSent(std::size_t upstream) -> void;
    auto scheduleArrival(std::size_t classIndex) -> void;

    std::mt19937_64 random;
    std::vector<double> speeds;
    std::vector<double> slowdowns;
    std::vector<RequestLimit> limits;
    /// From when on the requests that each upstream gets are compared with its limit.
    std::vector<std::optional<Instant>> judgedSince;
    std::vector<std::deque<Instant>> recentSends;
    std::vector<RequestClass> classes;
    std::vector<ClassCounts> results;
    std::vector<int> sentRequests;
    std::vector<int> running;
    bool isSharded;
    std::uint64_t seed;
    std::unique_ptr<SlotBroker> broker;
    double worstLimitExcess = 0;
    Instant now = Instant{std::chrono::seconds{50}};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::map<std::uint64_t, Caller> callers;
    std::map<std::uint64_t, Instant> askedAt;
    std::set<std::uint64_t> granted;
    std::uint64_t nextRequest = 1;
    int worstOvercommit = 0;
};

} // namespace gooseberrywall
