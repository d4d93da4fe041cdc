#pragma once

#include "dispatch/slotbroker.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>
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

/// How attempts end at VMs that have lost their links to all upstreams.
enum class LostLinks : std::uint8_t {
    /// Connections are refused at once.
    Refused,
    /// Connections can't be opened until the connect time-out.
    ConnectTimeout,
    /// Requests on open connections get no answer until their deadline.
    Hanging,
    /// Half of the requests go on as before on open connections, the others are refused.
    PartlyRefused,
    /// Half of the requests hang on open connections, the others are refused.
    PartlyHanging,
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
    /// Sum of the times from request to answer.
    Duration responseTime{0};
    [[nodiscard]] auto served() const -> int { return this->inTarget + this->late; }
};

/// First tries of callers, without their retries.
struct FirstTries
{
    int asked = 0;
    int served = 0;
    /// Refused because no daemon could forward the request.
    int unreachable = 0;
    /// The longest time until such a refusal.
    Duration longestRefusal{0};
    [[nodiscard]] auto share() const -> double
    {
        return static_cast<double>(this->served) / std::max(1, this->asked);
    }
};

/// Simulates one broker, upstreams of given speeds and callers in virtual time. The classes and
/// their rates determine the load.
class BrokerSimulation
{
public:
    /// @param isSharded each request has a key; each upstream owns an equal part of the keys
    BrokerSimulation(std::uint64_t seed, std::vector<double> speeds,
                     std::vector<RequestClass> classes, bool isSharded = false,
                     SlotBrokerSettings settings = {});

    auto run(Duration time) -> void;
    auto setRate(std::size_t index, double perSecond) -> void;
    /// Makes the upstream's work take this many times as long; with 0 it never answers.
    auto setSlowdown(std::size_t upstream, double factor) -> void;
    /// Makes all upstreams report their loads, with their momentary slowdowns.
    auto reportLoads() -> void { this->areLoadsReported = true; }
    /// Makes the upstream refuse all connections.
    auto stopUpstream(std::size_t upstream) -> void { this->stopped.insert(upstream); }
    /// Makes the upstream name this limit in its answers.
    auto setRequestLimit(std::size_t upstream, RequestLimit limit) -> void;
    /// Replaces the single entry daemon by this number of VMs in three failure domains of equal
    /// size; each gets an equal part of the requests.
    auto setVms(std::size_t count) -> void;
    /// Makes the first VMs of the list lose their links to all upstreams.
    /// @param statedAfter time after which their permit requests state it
    auto loseLinks(std::size_t count, LostLinks kind,
                   Duration statedAfter = std::chrono::milliseconds{500}) -> void;
    /// Makes each upstream unreachable for some VMs, which can't connect until the time-out.
    /// @param share of the VMs, for each upstream drawn anew
    auto losePaths(double share) -> void;
    /// Freezes a VM: it asks for no permits, and requests that it should forward get no answer.
    auto freezeVm(std::size_t index) -> void { this->vms.at(index).isFrozen = true; }
    /// Gives all VMs their links back.
    auto restoreLinks() -> void;
    /// Replaces the broker by one that knows the upstreams and owners only, as a new grantor does.
    auto replaceBroker() -> void;

    [[nodiscard]] auto counts(std::size_t index) const -> const ClassCounts &
    {
        return this->results.at(index);
    }
    auto resetCounts() -> void;
    /// @returns the first tries since the last reset at VMs with, or without, lost links
    [[nodiscard]] auto firstTries(bool areLinksLost) const -> FirstTries;
    /// @returns the largest number of requests that a VM has forwarded at once
    [[nodiscard]] auto maxForwarded() const -> int { return this->worstForwarded; }
    /// @returns the number of requests sent directly where the VM was known to reach no upstream,
    /// or had failed to connect to this one in the last second and got no answer since
    [[nodiscard]] auto directSendsOnLostPaths() const -> int { return this->lostPathSends; }
    /// @returns the number of requests forwarded by VMs of another failure domain, and of all
    /// forwarded ones
    [[nodiscard]] auto forwardedAbroad() const -> int { return this->abroadForwards; }
    [[nodiscard]] auto forwarded() const -> int { return this->forwards; }
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

    /// @returns the requests that ran at each upstream per slot, a mean since the last reset
    [[nodiscard]] auto utilisations() -> std::vector<double>;
    /// @returns what the broker states about the evenness of the load
    [[nodiscard]] auto statedBusiestShare() const -> std::optional<double>
    {
        return this->broker->busiestShare(this->now);
    }
    /// @returns the sum of the times from request to answer, and the number of answers, of the
    /// first class
    [[nodiscard]] auto answerTimes() const -> std::pair<Duration, int>
    {
        return {this->results.front().responseTime, this->results.front().served()};
    }

private:
    struct Caller
    {
        std::size_t classIndex = 0;
        Instant arrivedAt;
        bool isRetry = false;
        KeyPosition key = 0;
        std::size_t vm = 0;
        /// Upstreams to which the VM couldn't connect for this request.
        std::vector<UpstreamId> avoid = {};
    };
    struct Vm
    {
        Address address;
        FailureDomain domain = {};
        std::optional<LostLinks> lostLinks = std::nullopt;
        /// Upstreams that it doesn't reach while its links are up.
        std::set<std::size_t> lostPaths = {};
        bool isFrozen = false;
        Instant statesLossAt{};
        FirstTries firstTries = {};
        /// When it last couldn't connect to each upstream; empty after an answer to the VM.
        std::map<std::size_t, Instant> failedAt = {};
        /// Requests that it forwards now.
        int forwarding = 0;
    };
    struct Event
    {
        Instant at;
        enum class Kind : std::uint8_t { Arrive, End, Tick } kind = Kind::Tick;
        std::uint64_t request = 0;
        std::size_t upstream = 0;
        AttemptEnd end = AttemptEnd::Answered;
        std::size_t forwarder = 0;
        bool isForwarded = false;
        bool operator>(const Event &other) const { return this->at > other.at; }
    };

    auto onArrival(std::uint64_t request) -> void;
    auto ask(std::uint64_t request) -> void;
    auto takeVerdicts() -> void;
    auto onGranted(const IssuedVerdict &issued) -> void;
    auto onRefused(const IssuedVerdict &issued) -> void;
    auto onEnd(const Event &event) -> void;
    /// @returns how an attempt ends that is sent by this VM
    [[nodiscard]] auto attemptOf(const Vm &sender, std::uint64_t request, std::size_t upstream)
        -> Event;
    /// Asks for another permit for a request that has certainly not been sent.
    auto askAgain(const Caller &caller, std::size_t failedUpstream) -> void;
    [[nodiscard]] auto vmAt(const Address &address) const -> std::size_t;
    auto setUpBroker() -> void;
    auto onSent(std::size_t upstream) -> void;
    /// Adds the time since the last call that the upstream's requests have run.
    auto addBusyTime(std::size_t upstream) -> void;
    auto scheduleArrival(std::size_t classIndex) -> void;

    std::mt19937_64 random;
    std::vector<double> speeds;
    std::vector<double> slowdowns;
    std::set<std::size_t> stopped;
    std::vector<RequestLimit> limits;
    /// From when on the requests that each upstream gets are compared with its limit.
    std::vector<std::optional<Instant>> judgedSince;
    std::vector<std::deque<Instant>> recentSends;
    std::vector<RequestClass> classes;
    std::vector<ClassCounts> results;
    std::vector<int> sentRequests;
    std::vector<int> running;
    /// Sums over the requests at each upstream, up to `busyUntil`.
    std::vector<Duration> busyTimes;
    std::vector<Instant> busyUntil;
    Instant countedSince;
    bool areLoadsReported = false;
    bool isSharded;
    SlotBrokerSettings settings;
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
    std::vector<Vm> vms{Vm{Address{"entry"}}};
    int worstForwarded = 0;
    int lostPathSends = 0;
    int forwards = 0;
    int abroadForwards = 0;
};

} // namespace gooseberrywall
