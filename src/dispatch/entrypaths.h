#pragma once

#include "dispatch/types/permits.h"
#include "dispatch/types/upstreamprocess.h"

#include <algorithm>
#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <type_traits>
#include <unordered_map>
#include <vector>

namespace gooseberrywall {

struct EntryPathsSettings
{
    /// A path to an upstream, or all links of a daemon, aren't used for this time after a failure;
    /// doubles with each further failure.
    Duration failureMemory = std::chrono::seconds{1};
    /// Upper limit of that time for all links of a daemon. Its failures are forgotten after twice
    /// as long.
    Duration maxLinksMemory = std::chrono::seconds{4};
    /// Upper limit of that time for one path: its requests are forwarded meanwhile.
    Duration maxPathMemory = std::chrono::seconds{16};
    /// A daemon may forward requests for this long after an upstream has answered it. One that has
    /// asked for a permit in this time and not failed since may, too, where there is no such
    /// daemon.
    Duration answerValidity = std::chrono::seconds{10};
    /// Requests that one daemon forwards at once for others.
    int forwarderLimit = 24;
    /// A daemon in another failure domain than the entry daemon is chosen where those in the same
    /// domain forward this many more.
    int nearForwarderLead = 4;
    /// The same for a daemon that the upstream hasn't answered lately.
    int provenPathLead = 8;
    /// A daemon that couldn't be reached as a forwarder, or didn't forward, isn't asked to for this
    /// time.
    Duration forwarderRest = std::chrono::milliseconds{500};
    auto operator==(const EntryPathsSettings &) const -> bool = default;
};

/// Knows from permit requests and reports which daemons reach which upstreams of one service, and
/// which daemons may forward requests of others. Does no input or output; time is passed in.
class EntryPaths
{
public:
    /// A failure on the path from one daemon to one upstream.
    struct Failure
    {
        /// When the permit of the failed request was granted.
        Instant grantedAt;
        Instant reportedAt;
        auto operator==(const Failure &) const -> bool = default;
    };

    /// How well a daemon can send requests to an upstream.
    enum class ForwarderFit : std::uint8_t {
        None,
        /// Nothing is known of the path to the upstream.
        Unknown,
        /// The upstream has answered the daemon lately.
        Proven,
    };

    enum class FailureKind : std::uint8_t {
        /// The request wasn't sent, as no connection could be opened.
        NotSent,
        /// The request may have reached the upstream, which answered no other daemon meanwhile.
        Unanswered,
        /// The request may have reached the upstream, which answered another daemon meanwhile. Two
        /// such failures in a row end the use of the path.
        UnansweredAlone,
    };

    explicit EntryPaths(EntryPathsSettings settings);

    /// Takes in what a permit request tells about its entry daemon.
    /// @returns whether it is the first to state that the daemon is isolated
    auto onRequest(const PermitRequest &request, Instant now) -> bool;
    /// Takes in that the daemon gets a permit to send a request to the upstream itself: after a
    /// time without use, the path gets one request at a time until one is answered.
    auto onDirectPermit(const Address &daemon, const UpstreamProcess &upstream, Instant now)
        -> void;
    /// Takes in that an upstream answered a request which this daemon sent to it.
    /// @param grantedAt when the permit was granted
    auto onAnswered(const Address &daemon, const UpstreamProcess &upstream, Instant grantedAt,
                    Instant now) -> void;
    /// Takes in that a request which this daemon should have sent to the upstream got no answer.
    auto onFailed(const Address &daemon, const UpstreamProcess &upstream, FailureKind kind,
                  Failure failure) -> void;
    /// Takes in that a failure, which onFailed() knows already, is due to the daemon's own links:
    /// if it has failed at several upstreams since it was last answered, it isn't used to reach any
    /// for a time.
    auto onLinksInDoubt(const Address &daemon, Failure failure) -> void;
    /// Takes in that a daemon couldn't be reached as a forwarder, or didn't forward. It may forward
    /// again after a time, if an upstream answers it meanwhile.
    auto onForwarderFailed(const Address &forwarder, Instant now) -> void;
    /// Counts a permit that names the forwarder; `onForwardingEnd` ends it.
    auto onForwardingStart(const Address &forwarder, Instant now) -> void;
    auto onForwardingEnd(const Address &forwarder, Instant now) -> void;
    /// Updates what depends on time; does nothing if it was called a few milliseconds ago.
    auto advance(Instant now) -> void;

    /// @returns whether the daemon's last request stated that it reaches no upstream
    [[nodiscard]] auto isIsolated(const Address &daemon) const -> bool;
    /// @returns whether the daemon is isolated, or has failed at an upstream lately
    [[nodiscard]] auto isImpaired(const Address &daemon) const -> bool;
    /// @returns whether the daemon may send requests to the upstream itself: it isn't isolated, and
    /// neither the path nor all its links have failed lately
    [[nodiscard]] auto reaches(const Address &daemon, const UpstreamProcess &upstream,
                               Instant now) const -> bool;
    /// @returns whether an attempt of the daemon has failed, and no upstream has answered it since
    [[nodiscard]] auto hasFailed(const Address &daemon, Instant now) const -> bool;
    /// @param isContradicted tells of a failure whether the upstream answered another daemon then
    /// @returns whether that is so for one of the daemon's failures since it was last answered
    template<std::predicate<const UpstreamProcess &, const Failure &> Predicate>
    [[nodiscard]] auto isContradicted(const Address &daemon, const Predicate &isContradicted) const
        -> bool
    {
        const auto *known = this->find(daemon);
        return known != nullptr
               && std::any_of(known->paths.begin(), known->paths.end(), [&](const auto &row) {
                      return row.second.failure.grantedAt > known->answeredGrant
                             && isContradicted(row.first, row.second.failure);
                  });
    }

    /// @param fitOf tells how well a daemon can send the request to the upstream
    /// @returns the daemon that should forward a request to the upstream; empty where none can now
    template<typename FitOf>
    requires std::is_invocable_r_v<ForwarderFit, FitOf, const Address &>
    [[nodiscard]] auto chooseForwarder(const Address &entry, const UpstreamProcess &upstream,
                                       const FitOf &fitOf, Instant now) const -> Address
    {
        const auto *asking = this->find(entry);
        const auto domain = asking == nullptr ? FailureDomain{} : asking->domain;
        const Daemon *best = nullptr;
        ForwarderRank bestRank;
        for (const auto *daemon : this->forwarders) {
            const auto fit = this->canForward(*daemon, entry, upstream, now)
                                 ? fitOf(daemon->address)
                                 : ForwarderFit::None;
            if (fit == ForwarderFit::None) {
                continue;
            }
            const auto rank = this->rankOf(*daemon, fit, domain, now);
            if (best == nullptr || rank < bestRank) {
                best = daemon;
                bestRank = rank;
            }
        }
        return best == nullptr ? Address{} : best->address;
    }
    /// @param isAllowed tells whether the upstream takes requests from a daemon
    /// @returns whether a daemon can forward a request to the upstream now
    template<std::predicate<const Address &> Predicate>
    [[nodiscard]] auto hasForwarder(const Address &entry, const UpstreamProcess &upstream,
                                    const Predicate &isAllowed, Instant now) const -> bool
    {
        return std::any_of(this->forwarders.begin(), this->forwarders.end(),
                           [&](const Daemon *daemon) {
                               return this->canForward(*daemon, entry, upstream, now)
                                      && isAllowed(daemon->address);
                           });
    }
    /// @returns whether a daemon can forward requests of this one now
    [[nodiscard]] auto hasForwarder(const Address &entry) const -> bool;
    /// @returns whether a daemon could forward requests of this one, now or with fewer others
    [[nodiscard]] auto mayGetForwarder(const Address &entry, Instant now) const -> bool;
    /// @returns the number of daemons that have stated that they are isolated
    [[nodiscard]] auto isolatedCount() const -> std::size_t;
    /// @returns the number of permits out that name a forwarder
    [[nodiscard]] auto forwardedCount() const -> int;

private:
    /// The time for which something isn't used after its failures.
    struct Avoidance
    {
        Duration length{0};
        Instant endsAt{};
        Instant failedAt{};
    };
    struct Path
    {
        Failure failure;
        /// Failures in a row without an answer on this path.
        int failures = 0;
        Avoidance avoidance;
    };
    struct Daemon
    {
        Address address;
        FailureDomain domain;
        /// Of the latest request.
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool isIsolated = false;
        Instant seenAt{};
        std::optional<Instant> answeredAt;
        /// When the latest permit was granted of a request that was answered.
        Instant answeredGrant{};
        /// Paths with failures.
        std::map<UpstreamProcess, Path> paths;
        int failuresSinceAnswer = 0;
        Instant failedAt{};
        /// Of all its links.
        Avoidance avoidance;
        /// Requests of others that it forwards now.
        int forwarding = 0;
        Instant restsUntil{};
        /// It hasn't forwarded a request, and no upstream has answered it since.
        bool needsAnswer = false;
        bool isForwarder = false;
        bool isImpaired = false;
    };

    struct ForwarderRank
    {
        bool isUnproven = false;
        bool hasFailed = false;
        int load = 0;
        bool isFar = false;
        auto operator<=>(const ForwarderRank &) const = default;
    };

    [[nodiscard]] auto rankOf(const Daemon &daemon, ForwarderFit fit, const FailureDomain &domain,
                              Instant now) const -> ForwarderRank;
    [[nodiscard]] auto find(const Address &daemon) const -> const Daemon *;
    [[nodiscard]] auto daemonAt(const Address &address, Instant now) -> Daemon &;
    /// @returns whether an upstream has answered the daemon lately
    [[nodiscard]] auto isProven(const Daemon &daemon, Instant now) const -> bool;
    /// @returns whether the daemon may forward as far as its number of forwarded requests allows
    [[nodiscard]] auto isCandidate(const Daemon &daemon, Instant now) const -> bool;
    [[nodiscard]] auto canForward(const Daemon &daemon, const Address &entry,
                                  const UpstreamProcess &upstream, Instant now) const -> bool;
    /// Begins the avoidance, or extends it.
    auto avoid(Avoidance &avoidance, Duration maxLength, Failure failure) const -> void;
    /// @returns at how many upstreams the daemon has failed since it was last answered
    [[nodiscard]] static auto failedUpstreamCount(const Daemon &daemon) -> std::ptrdiff_t;
    /// Updates what is derived from the daemon's state.
    auto update(Daemon &daemon, Instant now) -> void;

    EntryPathsSettings settings;
    Instant advanceDue{};
    std::unordered_map<Address, Daemon> daemons;
    /// Candidates with fewer forwarded requests than allowed.
    std::vector<const Daemon *> forwarders;
    /// Daemons that are isolated or have paths with failures.
    std::size_t impairedCount = 0;
};

} // namespace gooseberrywall
