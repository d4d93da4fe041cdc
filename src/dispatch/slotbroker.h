#pragma once

#include "dispatch/entrypaths.h"
#include "dispatch/loadestimate.h"
#include "dispatch/requestlimiter.h"
#include "dispatch/requestquarantine.h"
#include "dispatch/retrywindow.h"
#include "dispatch/slotreduction.h"
#include "dispatch/types/permits.h"
#include "dispatch/types/upstreamentry.h"
#include "dispatch/types/upstreamstatement.h"
#include "dispatch/upstreamanswers.h"
#include "dispatch/upstreamhealth.h"
#include "dispatch/upstreampauses.h"
#include "dispatch/utilisationaverage.h"
#include "dispatch/waitingqueue.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace gooseberrywall {

struct SlotBrokerSettings
{
    /// Maximum number of waiting requests; further ones are refused.
    std::size_t backlogLimit = 2000;
    /// Mean latency that is assumed before the first answers.
    Duration initialLatency = std::chrono::milliseconds{80};
    /// Latency added to the cost of an upstream in another failure domain than the entry daemon.
    Duration domainPenalty = std::chrono::milliseconds{12};
    /// Latency added to the cost of an upstream to which the entry daemon has to open a connection.
    Duration connectionPenalty = std::chrono::milliseconds{8};
    /// Time for which entry daemons are assumed to keep an unused connection open.
    Duration connectionKeepAlive = std::chrono::seconds{8};
    /// A permit whose report is lost expires this long after the request's deadline.
    Duration permitGrace = std::chrono::milliseconds{200};
    /// A verdict is repeated where no report has come for this multiple of the expected latency, so
    /// that a slot isn't lost until the deadline with a lost verdict or report.
    double repeatLatencyFactor = 2.0;
    /// Minimum of that time.
    Duration minRepeatAfter = std::chrono::milliseconds{200};
    /// An upstream with a larger share of failed attempts gets requests only if no other upstream
    /// has a free slot or all others cost far more.
    double unhealthyFailureShare = 0.25;
    /// Weight of an upstream's utilisation against its latency, as in weightedResponseTime().
    double loadWeight = 0.1;
    EntryPathsSettings paths = {};
    auto operator==(const SlotBrokerSettings &) const -> bool = default;
};

/// Rate of requests per second: an exponential average over about the last second.
class ArrivalRate
{
public:
    auto record(Instant now) -> void;
    [[nodiscard]] auto perSecond(Instant now) const -> double;

private:
    double rate = 0;
    Instant updatedAt{};
};

/// A range of keys that one upstream owns, or that has no owner for now.
struct OwnedRange
{
    KeyRange keys;
    std::optional<UpstreamId> owner;
    /// Without an owner: when the range is expected to get one. With one that is only likely: when
    /// the keys that it turns away are expected to get one.
    Instant readyAt{};
    /// The owner isn't known for certain: it may turn requests away.
    bool isLikely = false;
    auto operator==(const OwnedRange &) const -> bool = default;
};

/// The state that a verdict was based on, for logs.
struct VerdictBasis
{
    /// Number of requests that were waiting for the service.
    std::size_t backlogSize = 0;
    /// Time until the request's deadline.
    Duration remaining{0};
    /// Expected time until the request gets a slot.
    Duration expectedWait{0};
    /// Expected latency of the request at its upstream.
    Duration expectedLatency{0};
    /// Requests with a key on sharded services only.
    std::optional<KeyPosition> key;
    /// The owner of the key; empty if it had none.
    UpstreamId owner;
    auto operator==(const VerdictBasis &) const -> bool = default;
};

/// A verdict to be sent to an entry daemon.
struct IssuedVerdict
{
    PermitId id;
    RequestId request;
    RequestFingerprint fingerprint;
    PermitVerdict verdict;
    VerdictBasis basis;
    auto operator==(const IssuedVerdict &) const -> bool = default;
};

/// Status of one upstream as its grantor sees it.
struct UpstreamStatus
{
    UpstreamId id;
    /// As many as are used; fewer than stated where the upstream rejects requests with pauses.
    int slots = 0;
    Duration expectedLatency{0};
    /// Recent share of failed attempts, 0 to 1.
    double failureShare = 0;
    /// The upstream gets requests as usual: it neither drains nor is evacuated, isn't silent and
    /// its last attempts didn't fail.
    bool isUsable = true;
    bool isDraining = false;
    /// As its answers state it; while it is cold, the bound for cold upstreams if that is lower.
    RequestLimit requestLimit;
    /// Permits for it per second, an average over about a second.
    double grantedPerSecond = 0;
    /// Its failure domain is evacuated.
    bool isEvacuated = false;
    /// It counts as cold, and its service has a bound for cold upstreams.
    bool isCold = false;
    auto operator==(const UpstreamStatus &) const -> bool = default;
};

/// Assigns the slots of one service's upstreams to requests. An upstream gets at most as many
/// requests at once as it has slots, the most urgent requests go first, and a request that can't
/// meet its deadline is refused at once. Does no input or output; time is passed in.
class SlotBroker
{
public:
    /// @param isSharded whether a request with a key may only run at the owner of the key
    /// @param seed of the random numbers that spread retries
    SlotBroker(ServiceName service, bool isSharded, SlotBrokerSettings settings,
               RetryWindowSettings retries, std::uint64_t seed,
               std::shared_ptr<RequestQuarantine> quarantine =
                   std::make_shared<RequestQuarantine>(RequestQuarantineSettings{}));

    /// Replaces the upstreams; those of the same incarnation keep their state.
    auto setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void;
    /// Replaces the owners of the keys.
    /// @param ranges sorted by key, without overlaps
    auto setOwners(std::vector<OwnedRange> ranges, Instant now) -> void;

    /// @param ratio retries allowed per first attempt
    /// @param extra retries allowed in addition
    auto setRetryAllowance(double ratio, double extra) -> void
    {
        this->retryWindow.setAllowance(ratio, extra);
    }
    /// Sets for which time extra retries are earned, as RetryWindow::setAuthority().
    auto setAuthority(const AuthorityPeriod &period) -> void;

    /// Sets how many requests per second a cold upstream gets at most; 0: no bound.
    auto setWarmUpRate(double perSecond, Instant now) -> void;
    /// Counts an upstream as cold, as it may have become cold: until its entry states another time,
    /// and 2 s at most.
    auto suspectCold(const UpstreamId &id, Instant now) -> void;

    /// Grants, queues or refuses a permit; a repeated request for a granted permit gets the same
    /// verdict. takeVerdicts() returns the result.
    auto ask(const PermitRequest &request, Instant now) -> void;
    /// Takes the permit back and learns from the attempt. Of a report on a permit that has expired,
    /// only what the upstream states is taken in. Other reports are ignored: they name the
    /// upstream's id, which another process may have by now.
    auto report(const PermitReport &report, Instant now) -> void;
    /// Takes in what an upstream has stated in an answer to another call than a request.
    auto onStatement(const UpstreamStatement &statement, Instant now) -> void;
    /// Removes a request that ended before it used a permit; a granted permit is taken back.
    auto cancel(const PermitId &id, Instant now) -> void;
    /// Refuses waiting requests that can't meet their deadline any more and takes back expired
    /// permits whose report was lost.
    auto advance(Instant now) -> void;
    /// @returns when advance() should be called next; nothing while there are no requests or
    /// permits
    [[nodiscard]] auto nextDue(Instant now) const -> std::optional<Instant>;

    /// @returns the verdicts since the last call
    [[nodiscard]] auto takeVerdicts() -> std::vector<IssuedVerdict>;
    /// @returns what has changed in the upstreams' statements since the last call
    [[nodiscard]] auto takeChanges() -> std::vector<UpstreamChange>;
    /// @returns the number of requests per key since the last call
    [[nodiscard]] auto takeKeyCounts() -> std::map<KeyPosition, std::uint32_t>;
    [[nodiscard]] auto upstreamStatuses(Instant now) const -> std::vector<UpstreamStatus>;
    /// @returns the utilisation of the busiest upstream in relation to the mean of all, over about
    /// the last 10 s; empty where there is too little load to tell
    [[nodiscard]] auto busiestShare(Instant now) const -> std::optional<double>;
    /// @returns how many upstreams want no requests from some entry daemon
    [[nodiscard]] auto pausedUpstreamCount(Instant now) const -> std::size_t;
    /// @returns the number of daemons that have stated that they are isolated
    [[nodiscard]] auto isolatedCount() const -> std::size_t { return this->paths.isolatedCount(); }
    /// @returns the number of permits out that name a forwarder
    [[nodiscard]] auto forwardedCount() const -> int { return this->paths.forwardedCount(); }
    [[nodiscard]] auto backlogSize() const -> std::size_t { return this->backlog.size(); }
    [[nodiscard]] auto permitCount() const -> std::size_t { return this->permits.size(); }

private:
    struct UpstreamUse
    {
        /// When the daemon last got a permit for the upstream, or was named as the forwarder.
        Instant grantedAt{};
        /// When the upstream last answered it; the epoch where it hasn't.
        Instant answeredAt{};
    };
    struct Upstream
    {
        UpstreamEntry entry;
        UpstreamProcess process;
        UpstreamHealth health;
        UpstreamAnswers answers;
        /// The daemon that couldn't connect while the upstream answered others; empty where there
        /// was none since the last answer. The upstream gets one request at a time until then.
        Address suspectedBy;
        Instant warmUpEnd{};
        /// Until when it counts as cold, as its entry states or because it may have become cold.
        Instant coldUntil{};
        /// The last attempts didn't reach it.
        bool isUnreached = false;
        int inFlight = 0;
        /// Permits out that were sent by daemons which have stated since that they are isolated.
        /// They hold their slots, as the upstream may run the requests, but no report is expected.
        int stranded = 0;
        /// Permits out that were granted while the upstream was suspected.
        int trials = 0;
        /// Of the daemons, by address, that have sent requests to this upstream.
        std::unordered_map<Address, UpstreamUse> lastUse;
        LoadEstimate load;
        UtilisationAverage usage;
        /// Requests for its keys that could still meet their target when they arrived.
        ArrivalRate onTimeArrivals;
        ArrivalRate grants;
        RequestLimiter limiter;
        UpstreamPauses pauses;
        SlotReduction slotReduction;
        /// The last statement with a pause; empty where no pause has begun since all had ended.
        std::optional<UpstreamStatement> lastPause;
        /// Start of the time with permits out and no report: the last report, or the first permit
        /// after a time without any.
        Instant noReportSince{};
        /// Requests with a key that it owns.
        WaitingQueue waiting;
    };
    /// What all upstreams together can serve; recalculated from time to time only.
    struct SharedCapacity
    {
        double requestsPerSecond = 0;
        /// An upstream has a free slot.
        bool hasRoom = false;
        Instant recalculateAt{};
        /// The shortest time until one of the upstreams takes requests that pause; empty where none
        /// pauses.
        std::optional<Duration> pauseLeft = std::nullopt;
    };
    struct Permit
    {
        /// The caller's id of the request, for logs.
        RequestId request;
        UpstreamId upstream;
        std::optional<KeyPosition> key;
        Instant expiresAt;
        PermitVerdict verdict;
        RequestFingerprint fingerprint;
        /// When the verdict is repeated, and the time until then; doubled each time.
        Instant repeatAt;
        Duration repeatAfter;
        Instant grantedAt;
        /// Counted in the upstream's `stranded`.
        bool isStranded = false;
        /// Counted in the upstream's `trials`.
        bool isTrial = false;
    };
    /// A permit that has expired; its report may still come.
    struct ExpiredPermit
    {
        UpstreamId upstream;
        Incarnation incarnation;
        RequestId request;
        Instant grantedAt;
        /// When it is forgotten.
        Instant dropAt;
    };
    /// What the end of an attempt tells about the upstream.
    enum class Evidence : std::uint8_t {
        /// Nothing: the attempt failed because of the links of the daemon that sent it.
        None,
        /// It failed because of either.
        Uncertain,
        Full,
    };
    struct IdHash
    {
        auto operator()(const PermitId &id) const noexcept -> std::size_t;
    };
    struct Forecast
    {
        Duration wait{0};
        Duration latency{0};
    };

    auto suspectCold(Upstream &upstream, Instant now) -> void;
    /// Applies the bound for cold upstreams after a change.
    auto updateWarmUp(Upstream &upstream, Instant now) const -> void;
    /// Takes in what a new entry tells about the warm-up, before it replaces the former one.
    auto takeInWarmUp(Upstream &upstream, const UpstreamEntry &entry, Instant now) -> void;
    /// Remembers an upstream whose entry has disappeared.
    auto rememberGone(const UpstreamId &id) -> void;
    /// Counts the upstream as cold where an attempt didn't reach it, or is the first one that did.
    auto updateReach(Upstream &upstream, AttemptEnd end, Instant now) -> void;
    /// Grants the free slots of all upstreams to waiting requests.
    auto grantFreeSlots(Instant now) -> void;
    auto learn(const PermitReport &report, Upstream &upstream, Instant now) -> void;
    /// Learns about the path of the daemon that sent the request to the upstream.
    /// @returns what the end of the attempt tells about the upstream
    auto learnPath(const PermitReport &report, const Permit &permit, Upstream &upstream,
                   Instant now) -> Evidence;
    /// Learns from an attempt that got no answer, or that the daemon couldn't send.
    auto learnFailure(const Address &daemon, AttemptEnd end, const Permit &permit,
                      Upstream &upstream, Instant now) -> Evidence;
    /// @returns whether a request of the entry daemon may be sent to the upstream now
    [[nodiscard]] auto maySend(const Address &entry, const Upstream &upstream, Instant now) const
        -> bool;
    /// @returns whether another daemon can forward a request to the upstream now
    [[nodiscard]] auto hasForwarder(const Address &entry, const Upstream &upstream,
                                    Instant now) const -> bool;
    /// @returns whether the upstream has answered the daemon lately
    [[nodiscard]] auto hasAnswered(const Upstream &upstream, const Address &daemon,
                                   Instant now) const -> bool;
    /// @returns the daemon that has to forward a request of the entry daemon to the upstream; empty
    /// where the entry daemon sends it itself
    [[nodiscard]] auto forwarderFor(const Address &entry, const Upstream &upstream,
                                    Instant now) const -> Address;
    /// Learns from a report that a daemon couldn't be reached as a forwarder, or didn't forward.
    auto learnForwarderFailure(const Address &forwarder, const Permit &permit, Upstream &upstream,
                               Instant now) -> void;
    /// @returns whether the entry daemon is isolated, and none can forward the request now
    [[nodiscard]] auto isUnreachable(const PermitRequest &request, Instant now) -> bool;
    /// @returns whether the entry daemon is isolated, and none is likely to forward soon
    [[nodiscard]] auto hasNoForwarder(const Address &entry, Instant now) const -> bool;
    /// @returns the time until a daemon that is isolated can expect to be served
    [[nodiscard]] auto unreachableRetryAfter(const Address &entry, Instant now) -> Duration;
    /// @returns whether the daemon's attempts fail because of its own links
    [[nodiscard]] auto isInDoubt(const Address &daemon) const -> bool;
    /// Counts the permits of a daemon that is isolated as stranded.
    auto strand(const Address &entry, Instant now) -> void;
    auto updateQuarantine(const PermitReport &report, const Upstream &upstream, Evidence evidence,
                          Instant now) -> void;
    /// Grants waiting requests that may run at this upstream while it has a free slot.
    auto grantFreeSlotsOf(Upstream &upstream, Instant now) -> void;
    /// Sorts all waiting requests into the queues anew, after a change of upstreams or owners.
    auto fillQueues() -> void;
    /// Takes a waiting request out of its queue and the backlog.
    auto removeWaiting(const PermitId &id) -> void;
    /// @returns the queue in which the request waits
    [[nodiscard]] auto queueOf(const PermitRequest &request) -> WaitingQueue &;
    /// @returns the waiting request that gets the upstream's next slot; nullptr where there is none
    [[nodiscard]] auto firstFor(const Upstream &upstream, Instant now) const -> WaitingRequest *;
    [[nodiscard]] auto sharedCapacity(Instant now) -> const SharedCapacity &;
    /// @returns what the upstreams can serve that don't pause for the entry daemon
    [[nodiscard]] auto capacityFor(const Address &entry, Instant now) -> SharedCapacity;
    /// Adds what one upstream can serve.
    auto addCapacity(const Upstream &upstream, SharedCapacity &sum, Instant now) const -> void;
    /// @returns how many waiting requests rank before one that any upstream may run
    [[nodiscard]] auto countBefore(const WaitingRank &rank) const -> std::size_t;
    auto grant(const WaitingRequest &waiting, Upstream &upstream, Instant now) -> void;
    auto refuse(const WaitingRequest &waiting, Reason reason, Duration retryAfter, Instant now)
        -> void;
    auto issue(const PermitRequest &request, PermitVerdict verdict, VerdictBasis basis) -> void;
    [[nodiscard]] auto verdictBasis(const WaitingRequest &waiting, const Forecast &forecast,
                                    Instant now) -> VerdictBasis;
    auto refuseUnservable(Instant now) -> void;
    /// @param isLateCheckDue whether to forecast the waits of late requests
    [[nodiscard]] auto isUnservable(const WaitingRequest &waiting, bool isLateCheckDue, Instant now)
        -> bool;
    auto release(const PermitId &id, const Permit &permit, Instant now) -> void;
    /// Takes in what an upstream states in a report on an expired permit.
    auto reportExpired(const PermitReport &report, Instant now) -> void;
    /// Keeps what the report on a permit needs that is taken back without one.
    auto rememberExpired(const PermitId &id, const Permit &permit, Instant now) -> void;
    /// @param forwarder the daemon that forwarded the answered request; empty where none did
    /// @param grantedAt when the permit was granted of the request whose answer states it
    auto takeIn(const UpstreamStatement &statement, const Address &forwarder, Instant grantedAt,
                Instant now) -> void;
    auto takeInPause(Upstream &upstream, const UpstreamStatement &statement,
                     const Address &forwarder, Instant grantedAt, Instant now) -> void;
    /// @returns the upstream if it is still the process that is meant; nullptr otherwise
    [[nodiscard]] auto findUpstream(const UpstreamId &id, Incarnation incarnation) -> Upstream *;
    /// @returns how many entry daemons have used the upstream lately
    [[nodiscard]] auto userCount(const Upstream &upstream, Instant now) const -> std::size_t;
    auto endPauses(Instant now) -> void;
    /// Takes back expired permits, and repeats the verdicts of those without a report.
    auto checkPermits(Instant now) -> void;
    /// @returns whether the permit may still be used: its upstream is known, takes such requests,
    /// and doesn't pause for the daemons that send the request
    [[nodiscard]] auto isRepeatable(const PermitId &id, const Permit &permit, Instant now) const
        -> bool;
    /// @returns whether only the owner of the request's key may run it
    [[nodiscard]] auto isKeyed(const PermitRequest &request) const -> bool;
    [[nodiscard]] auto rangeOf(KeyPosition key) const -> const OwnedRange *;
    [[nodiscard]] auto ownerOf(const PermitRequest &request) -> Upstream *;
    /// @returns whether the range has an owner, and it hasn't turned this key away
    [[nodiscard]] auto hasOwner(const OwnedRange &range, KeyPosition key) const -> bool;
    /// Takes in that an upstream has turned a request away, as it doesn't own the key.
    auto onTurnedAway(const Permit &permit) -> void;
    [[nodiscard]] auto pickUpstream(const WaitingRequest &waiting, Instant now) -> Upstream *;
    /// @returns whether the upstream can take a request now, unless it pauses for the entry daemon
    [[nodiscard]] auto hasRoom(const Upstream &upstream, Instant now) const -> bool;
    /// @returns whether the upstream has permits out and neither answer nor report came for too
    /// long
    [[nodiscard]] auto isSilent(const Upstream &upstream, Instant now) const -> bool;
    /// @returns whether the upstream gets one request at a time, to find out whether it answers
    [[nodiscard]] static auto isOnTrial(const Upstream &upstream) -> bool;
    [[nodiscard]] auto latencyOf(const Upstream &upstream, Instant now) const -> Duration;
    /// @returns the requests per second that the upstream can serve: as many as its slots and its
    /// request limit allow
    [[nodiscard]] auto servedPerSecond(const Upstream &upstream, Instant now) const -> double;
    /// @returns whether its request limit keeps requests from the upstream, and not its slots
    [[nodiscard]] auto isHeldByLimit(const Upstream &upstream, Instant now) const -> bool;
    /// @returns the time until an upstream's request limit allows a request behind `ahead` others
    [[nodiscard]] auto limitedWait(const WaitingRequest &waiting, const Upstream &upstream,
                                   std::size_t ahead, Instant now) const -> Duration;
    /// @returns the expected time to the response in microseconds, weighted with the upstream's
    /// utilisation and with penalties; lower is better
    [[nodiscard]] auto costOf(const Upstream &upstream, const PermitRequest &request,
                              Instant now) const -> double;
    [[nodiscard]] auto forecast(const WaitingRequest &waiting, Instant now) -> Forecast;
    /// @returns whether the request can't be answered within its route's target any more
    [[nodiscard]] auto isLate(const WaitingRequest &waiting, Instant now) const -> bool;
    /// @param ahead number of requests that rank before
    /// @param servedPerSecond requests that the upstreams can serve
    /// @param overtakingPerSecond requests that arrive later and are served first
    /// @returns the expected time until a request behind `ahead` others gets a slot
    [[nodiscard]] auto queueTime(std::size_t ahead, double servedPerSecond,
                                 double overtakingPerSecond) const -> Duration;
    /// @returns the duration times a random factor, so that refused callers don't retry all at once
    [[nodiscard]] auto jittered(Duration base) -> Duration;
    /// @returns why a request is refused that would wait for too long
    [[nodiscard]] auto refusalReason(const WaitingRequest &waiting, Reason otherwise, Instant now)
        -> Reason;
    /// @returns the time until an upstream takes the request whose pause keeps it from being served
    /// in time; empty where no pause does
    [[nodiscard]] auto hinderingPause(const WaitingRequest &waiting, Instant now)
        -> std::optional<Duration>;
    /// @returns whether no upstream takes the request because of evacuations, so that waiting is of
    /// no use
    [[nodiscard]] auto isEvacuatedAway(const PermitRequest &request) -> bool;
    /// Updates `areAllEvacuated`.
    auto updateAllEvacuated() -> void;
    /// @returns whether the request's key has no owner and gets none in time for the deadline
    [[nodiscard]] auto hasNoOwnerInTime(const WaitingRequest &waiting, Instant now) const -> bool;

    ServiceName service;
    bool isSharded;
    SlotBrokerSettings settings;
    RetryWindow retryWindow;
    std::shared_ptr<RequestQuarantine> quarantine;
    EntryPaths paths;
    std::mt19937_64 random;
    std::map<UpstreamId, Upstream> upstreams;
    /// Some upstreams don't drain, and all of them are evacuated.
    bool areAllEvacuated = false;
    /// Upstreams whose entries have disappeared, which may be cold when they are back.
    std::set<UpstreamId> goneUpstreams;
    double warmUpPerSecond = 0;
    std::vector<OwnedRange> ownedRanges;
    /// Keys that their likely owners have turned away: requests for them aren't sent there again.
    std::set<KeyPosition> turnedAwayKeys;
    std::unordered_map<PermitId, WaitingRequest, IdHash> backlog;
    /// Waiting requests that any upstream may run.
    WaitingQueue sharedQueue;
    /// Waiting requests whose key has no owner.
    WaitingQueue ownerlessQueue;
    std::uint64_t nextArrival = 1;
    SharedCapacity capacity;
    std::unordered_map<PermitId, Permit, IdHash> permits;
    std::unordered_map<PermitId, ExpiredPermit, IdHash> expiredPermits;
    std::vector<IssuedVerdict> verdicts;
    std::vector<UpstreamChange> changes;
    /// Upstreams with a pause; may be too high between two calls of advance().
    std::size_t pausingCount = 0;
    std::map<KeyPosition, std::uint32_t> keyCounts;
    Duration meanLatency;
    /// Requests without an owner that could still meet their target when they arrived.
    ArrivalRate onTimeArrivals;
    /// When the waits of late requests are forecast again.
    Instant lateCheckDue{};
};

} // namespace gooseberrywall
