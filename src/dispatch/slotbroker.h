#pragma once

#include "dispatch/requestquarantine.h"
#include "dispatch/retrywindow.h"
#include "dispatch/types/permits.h"
#include "dispatch/types/upstreamentry.h"
#include "dispatch/upstreamhealth.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace gooseberrywall {

struct SlotBrokerSettings
{
    /// Requests that may wait at once; more are refused.
    std::size_t backlogLimit = 2000;
    /// Assumed mean latency until answers have come.
    Duration initialLatency = std::chrono::milliseconds{80};
    /// Cost of an upstream in another failure domain, as extra latency.
    Duration domainPenalty = std::chrono::milliseconds{12};
    /// Cost of a connection that the entry daemon has to open, as extra latency.
    Duration connectionPenalty = std::chrono::milliseconds{8};
    /// Entry daemons keep connections for about this time.
    Duration connectionKeepAlive = std::chrono::seconds{8};
    /// A lost report returns its slot this long after the request's deadline.
    Duration permitGrace = std::chrono::milliseconds{200};
    /// Failures above this share keep an upstream for times when no other has room.
    double unhealthyFailureShare = 0.25;
    auto operator==(const SlotBrokerSettings &) const -> bool = default;
};

/// Requests a second, over about the last second.
class ArrivalRate
{
public:
    auto record(Instant now) -> void;
    [[nodiscard]] auto perSecond(Instant now) const -> double;

private:
    double rate = 0;
    Instant updatedAt{};
};

/// Keys with one owner, or with none for a while.
struct OwnedRange
{
    KeyRange keys;
    std::optional<UpstreamId> owner;
    /// Without an owner: when one is expected.
    Instant readyAt{};
    auto operator==(const OwnedRange &) const -> bool = default;
};

/// What a verdict was decided by.
struct VerdictBasis
{
    /// Requests that waited in the service.
    std::size_t backlogSize = 0;
    /// Until the request's answer was due.
    Duration remaining{0};
    /// The forecast of its wait and of its upstream's latency.
    Duration expectedWait{0};
    Duration expectedLatency{0};
    /// Keyed requests only: the key, and who owned it; empty where nobody did.
    std::optional<KeyPosition> key;
    UpstreamId owner;
    auto operator==(const VerdictBasis &) const -> bool = default;
};

/// A verdict on its way to an entry daemon.
struct IssuedVerdict
{
    PermitId id;
    RequestId request;
    PermitVerdict verdict;
    VerdictBasis basis;
    auto operator==(const IssuedVerdict &) const -> bool = default;
};

/// Load of one upstream as its grantor sees it.
struct UpstreamStatus
{
    UpstreamId id;
    int slots = 0;
    Duration expectedLatency{0};
    double failureShare = 0;
    bool isUsable = true;
    auto operator==(const UpstreamStatus &) const -> bool = default;
};

/// Gives out the slots of one service's upstreams: at most as many requests at an upstream as it
/// has slots, the most urgent first, refused at once where the deadline can't be met. Without
/// input or output; time is passed in.
class SlotBroker
{
public:
    /// @param isSharded requests go to the owner of their key only
    SlotBroker(ServiceName service, bool isSharded, SlotBrokerSettings settings,
               RetryWindowSettings retries, std::uint64_t seed);

    auto setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void;
    /// @param ranges sorted, without overlaps
    auto setOwners(std::vector<OwnedRange> ranges, Instant now) -> void;

    auto setRetryAllowance(double ratio, double extra) -> void
    {
        this->retryWindow.setAllowance(ratio, extra);
    }

    auto ask(const PermitRequest &request, Instant now) -> void;
    auto report(const PermitReport &report, Instant now) -> void;
    /// The request has ended before a permit was used.
    auto cancel(const PermitId &id, Instant now) -> void;
    /// Refuses what can't be served any more and takes back permits that were never reported.
    auto advance(Instant now) -> void;
    /// @returns when advance() should be called next
    [[nodiscard]] auto nextDue(Instant now) const -> std::optional<Instant>;

    [[nodiscard]] auto takeVerdicts() -> std::vector<IssuedVerdict>;
    /// @returns requests for each key since the last call
    [[nodiscard]] auto takeKeyCounts() -> std::map<KeyPosition, std::uint32_t>;
    [[nodiscard]] auto upstreamStatuses(Instant now) const -> std::vector<UpstreamStatus>;
    [[nodiscard]] auto backlogSize() const -> std::size_t { return this->backlog.size(); }
    [[nodiscard]] auto permitCount() const -> std::size_t { return this->permits.size(); }

private:
    struct Upstream
    {
        UpstreamEntry entry;
        UpstreamHealth health;
        Instant warmUpEnd{};
        int inFlight = 0;
        /// When each entry daemon last sent a request there.
        std::unordered_map<Address, Instant> lastUse;
        /// Requests that other daemons have there, as told by its answers.
        int otherRequests = 0;
        Instant otherRequestsValidUntil{};
        /// Requests for its keys that can still meet their target, a second.
        ArrivalRate onTimeArrivals;
        /// When the oldest run of permits without any answer has begun.
        Instant noReportSince{};
    };
    struct WaitingRequest
    {
        PermitRequest request;
        Instant deadline;
        Instant target;
        /// Keyed requests only: the upstream that owns the key; nullptr while there is none.
        Upstream *owner = nullptr;
    };
    struct Permit
    {
        UpstreamId upstream;
        Instant expiresAt;
        PermitVerdict verdict;
        RequestFingerprint fingerprint;
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

    auto grantFreeSlots(Instant now) -> void;
    auto updateQuarantine(const PermitReport &report, const Upstream &upstream, Instant now)
        -> void;
    auto grantFreeSlotsOf(Upstream &upstream, Instant now) -> void;
    auto assignOwners() -> void;
    auto grant(const WaitingRequest &waiting, Upstream &upstream, Instant now) -> void;
    auto refuse(const WaitingRequest &waiting, Reason reason, Duration retryAfter, Instant now)
        -> void;
    auto issue(const PermitRequest &request, PermitVerdict verdict, VerdictBasis basis) -> void;
    [[nodiscard]] auto verdictBasis(const WaitingRequest &waiting, const Forecast &forecast,
                                    Instant now) const -> VerdictBasis;
    auto refuseUnservable(Instant now) -> void;
    auto release(const Permit &permit, Instant now) -> void;
    /// @returns whether only the owner of the request's key can run it
    [[nodiscard]] auto isKeyed(const PermitRequest &request) const -> bool;
    [[nodiscard]] auto rangeOf(KeyPosition key) const -> const OwnedRange *;
    [[nodiscard]] auto ownerOf(const PermitRequest &request) -> Upstream *;
    [[nodiscard]] auto pickUpstream(const WaitingRequest &waiting, Instant now) -> Upstream *;
    [[nodiscard]] auto hasRoom(const Upstream &upstream, Instant now) const -> bool;
    [[nodiscard]] auto isSilent(const Upstream &upstream, Instant now) const -> bool;
    [[nodiscard]] auto latencyOf(const Upstream &upstream, Instant now) const -> Duration;
    [[nodiscard]] auto costOf(const Upstream &upstream, const PermitRequest &request,
                              Instant now) const -> double;
    [[nodiscard]] auto forecast(const WaitingRequest &waiting, Instant now) const -> Forecast;
    [[nodiscard]] auto ranksBefore(const WaitingRequest &left, const WaitingRequest &right,
                                   Instant now) const -> bool;
    /// @returns whether the request can't be answered within its route's target any more
    [[nodiscard]] auto isLate(const WaitingRequest &waiting, Instant now) const -> bool;
    /// @returns the time until a queue has passed, with those that overtake meanwhile
    [[nodiscard]] auto queueTime(std::ptrdiff_t ahead, double servedPerSecond,
                                 double overtakingPerSecond) const -> Duration;
    [[nodiscard]] auto jittered(Duration base) -> Duration;
    [[nodiscard]] auto hasNoOwnerInTime(const WaitingRequest &waiting, Instant now) const -> bool;

    ServiceName service;
    bool isSharded;
    SlotBrokerSettings settings;
    RetryWindow retryWindow;
    RequestQuarantine quarantine{RequestQuarantineSettings{}};
    std::mt19937_64 random;
    std::map<UpstreamId, Upstream> upstreams;
    std::vector<OwnedRange> ownedRanges;
    std::vector<WaitingRequest> backlog;
    std::unordered_map<PermitId, Permit, IdHash> permits;
    std::vector<IssuedVerdict> verdicts;
    std::map<KeyPosition, std::uint32_t> keyCounts;
    Duration meanLatency;
    ArrivalRate onTimeArrivals;
    Instant lateCheckDue{};
};

} // namespace gooseberrywall
