#pragma once

#include "dispatch/slotbroker.h"

#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace gooseberrywall {

/// A kind of request in a simulation.
struct RequestClass
{
    double perSecond = 10;
    int priority = 0;
    Duration work = std::chrono::milliseconds{80};
    Duration target = std::chrono::milliseconds{300};
    Duration deadline = std::chrono::milliseconds{800};
    /// Refused callers come back once, after the stated time.
    bool retriesOnce = true;
};

/// What became of a class's requests.
struct ClassCounts
{
    int asked = 0;
    int inTarget = 0;
    int late = 0;
    int refused = 0;
    /// Refusals, also of callers who came back and were served.
    int refusals = 0;
    /// Sum of the times that refused requests were held.
    Duration refusedWait{0};
    Duration grantedWait{0};
    [[nodiscard]] auto served() const -> int { return this->inTarget + this->late; }
};

/// One broker, upstreams of given speeds and callers in virtual time; the pattern of a load is
/// told by the classes and their rates.
class BrokerSimulation
{
public:
    BrokerSimulation(std::uint64_t seed, std::vector<double> speeds,
                     std::vector<RequestClass> classes);

    auto run(Duration time) -> void;
    auto setRate(std::size_t index, double perSecond) -> void;
    /// The upstream's work takes this many times as long; 0: it never answers.
    auto setSlowdown(std::size_t upstream, double factor) -> void;

    [[nodiscard]] auto counts(std::size_t index) const -> const ClassCounts &
    {
        return this->results.at(index);
    }
    auto resetCounts() -> void;
    /// @returns the most requests that were at one upstream beyond its slots
    [[nodiscard]] auto maxOvercommit() const -> int { return this->worstOvercommit; }
    /// @returns requests that an upstream got since the last reset
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
    auto scheduleArrival(std::size_t classIndex) -> void;

    std::mt19937_64 random;
    std::vector<double> speeds;
    std::vector<double> slowdowns;
    std::vector<RequestClass> classes;
    std::vector<ClassCounts> results;
    std::vector<int> sentRequests;
    std::vector<int> running;
    SlotBroker broker;
    Instant now = Instant{std::chrono::seconds{50}};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::map<std::uint64_t, Caller> callers;
    std::map<std::uint64_t, Instant> askedAt;
    std::uint64_t nextRequest = 1;
    int worstOvercommit = 0;
};

} // namespace gooseberrywall
