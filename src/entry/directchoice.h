#pragma once

#include "dispatch/types/permits.h"
#include "dispatch/types/suspectrequest.h"
#include "dispatch/types/upstreamentry.h"
#include "entry/coldshares.h"
#include "entry/directloads.h"
#include "entry/requestlimitshare.h"
#include "entry/upstreamstatements.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace gooseberrywall {

/// The upstream that owns a range of keys, and its address.
struct DirectOwner
{
    KeyRange range;
    UpstreamId upstream;
    Address address;
    /// Zero where it isn't known.
    Incarnation incarnation{};
    auto operator==(const DirectOwner &) const -> bool = default;
};

/// Entries that this daemon can't read anew, although the store answers others: it may have
/// acknowledged leaves that this daemon doesn't know of.
struct OutdatedEntries
{
    /// Up to when the store has confirmed them.
    Instant confirmedAt;
    /// An upstream that may have left is used for this long after it was last known to stay.
    Duration useAfterLastStay{0};
    auto operator==(const OutdatedEntries &) const -> bool = default;
};

/// Chooses upstreams for an entry daemon while its grantor is unreachable, from the entries last
/// read from the store and from the key owners named in earlier permits.
class DirectChoice
{
public:
    /// @returns whether the request must not run, as it crashes upstreams
    using IsQuarantined = std::function<bool(const PermitRequest &request)>;
    /// Takes in how an attempt ended, with a permit or without one.
    using OnAttemptEnd = std::function<void(const EndedAttempt &attempt)>;

    /// @param seed for the random choice between equally loaded upstreams
    /// @param statements tells which upstreams want no requests
    /// @param isQuarantined what grantors have told; empty: no request is quarantined
    /// @param onAttemptEnd counts crashes that no grantor may have counted; may be empty
    DirectChoice(std::uint64_t seed, UpstreamStatements &statements,
                 IsQuarantined isQuarantined = {}, OnAttemptEnd onAttemptEnd = {});

    /// Replaces the known upstreams of all services.
    auto setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void;
    /// Sets the services' rates for cold upstreams.
    auto setServices(const std::vector<ServiceSpec> &services) -> void
    {
        this->coldShares.setServices(services);
    }
    /// Counts an upstream as cold, as it may have become cold: until its entry states another time,
    /// and 2 s at most.
    auto suspectCold(const UpstreamId &upstream, Instant now) -> void
    {
        this->coldShares.suspectCold(upstream, now);
    }
    /// Sets whether the known upstreams are trusted; initially they aren't. While they aren't,
    /// none is chosen, because an upstream may have started draining since they were read.
    auto setTrusted(bool trusted) -> void { this->isTrusted = trusted; }
    /// @param outdated which of the known upstreams may have left; empty: none. Such an upstream
    ///        isn't chosen unless an answer has shown lately that it stays.
    auto setOutdated(std::optional<OutdatedEntries> outdated) -> void { this->outdated = outdated; }
    /// Takes in that an answer has shown that the upstream stays.
    auto onStays(const UpstreamId &upstream, Instant now) -> void { this->staysAt[upstream] = now; }
    /// Records the owner of the keys that a granted permit names, and stops avoiding its upstream.
    /// @param verdict a granted permit
    auto onGranted(const ServiceName &service, const PermitVerdict &verdict) -> void;
    /// Replaces the known key owners of a service with those read from the store.
    auto setOwners(const ServiceName &service, const std::vector<DirectOwner> &owners) -> void;
    /// @param count daemons that a grantor knows; an upstream's limit is divided between the most
    ///        that were told lately, as a new grantor knows few at first
    auto onDaemonCount(std::size_t count, Instant now) -> void;
    auto onSent(const UpstreamId &upstream, Instant now) -> void;
    /// Takes in what an answer states about the upstream's request limit.
    /// @param sentAt when the request was sent
    auto onLimitStated(const UpstreamId &upstream, RequestLimit limit, Instant sentAt, Instant now)
        -> void;
    auto onEnd(const UpstreamId &upstream, AttemptEnd end, Instant now) -> void;
    /// Takes in how a request's attempt ended, for the count of its crashes.
    auto onRequestEnd(const EndedAttempt &attempt) -> void
    {
        if (this->onAttemptEnd) {
            this->onAttemptEnd(attempt);
        }
    }
    /// Takes in what an answer tells about the upstream's load and speed; called after onEnd().
    /// @param load as the answer reports it; empty where it reports none
    /// @param latency from sending the request to its answer
    auto onAnswered(const ServiceName &service, const UpstreamId &upstream,
                    const std::optional<ReportedLoad> &load, Duration latency, Instant now) -> void;

    /// @param request names the service, the key and the upstreams to avoid
    /// @returns a granted verdict, or a refusal where the request is quarantined, or each upstream
    ///          that may run it wants none for a time or is evacuated; empty where no suitable
    ///          upstream is known
    [[nodiscard]] auto choose(const PermitRequest &request, Instant now)
        -> std::optional<PermitVerdict>;

private:
    using Verdict = std::optional<PermitVerdict>;
    /// An upstream that may be chosen, and its cost; without an entry where there is none.
    struct Candidate
    {
        const UpstreamEntry *entry = nullptr;
        double cost = 0;
    };

    [[nodiscard]] auto chooseOwner(const PermitRequest &request, Instant now) -> Verdict;
    [[nodiscard]] auto chooseAny(const PermitRequest &request, Instant now) -> Verdict;
    /// @returns the better of two upstreams that are drawn at random; without an entry where the
    /// draws find no two that may be chosen without a penalty
    [[nodiscard]] auto drawBetterOfTwo(const PermitRequest &request,
                                       const std::vector<UpstreamEntry> &entries, Instant now)
        -> Candidate;
    /// Number of daemons while no grantor has told it.
    static constexpr std::size_t assumedDaemonCount = 30;
    /// The same for cold upstreams, which crash at rates above their bound: that of the largest
    /// known deployment.
    static constexpr std::size_t maxDaemonCount = 144;

    /// @returns whether all upstreams of the service that don't drain are evacuated
    [[nodiscard]] auto areAllEvacuated(const ServiceName &service) const -> bool;
    /// @returns whether the upstream may have left too long ago to get requests
    [[nodiscard]] auto mayHaveLeft(const UpstreamEntry &entry, Instant now) const -> bool;
    [[nodiscard]] auto isUsable(const UpstreamId &id, Instant now) const -> bool;
    [[nodiscard]] auto limitAllows(const UpstreamId &id, Instant now) const -> bool;

    std::uint64_t seed;
    UpstreamStatements &statements;
    IsQuarantined isQuarantined;
    OnAttemptEnd onAttemptEnd;
    std::mt19937_64 random;
    bool isTrusted = false;
    std::optional<OutdatedEntries> outdated;
    /// When answers have last shown that upstreams stay.
    std::map<UpstreamId, Instant> staysAt;
    std::map<ServiceName, std::vector<UpstreamEntry>> services;
    /// By the first key of the range; a newer range replaces those that it overlaps.
    std::map<ServiceName, std::map<KeyPosition, DirectOwner>> owners;
    DirectLoads loads;
    std::map<UpstreamId, Instant> avoidedUntil;
    std::size_t daemonCount = assumedDaemonCount;
    Instant daemonCountAt{};
    /// Of upstreams that have named a request limit.
    std::map<UpstreamId, RequestLimitShare> limitShares;
    ColdShares coldShares;
};

} // namespace gooseberrywall
