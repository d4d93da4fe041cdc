#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/reason.h"
#include "dispatch/types/leavehint.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace gooseberrywall {

/// The key of a request to a sharded service: a position in the key space, 0 to 65535.
using KeyPosition = std::uint16_t;

/// A range of keys from `first` to `last`, both inclusive.
struct KeyRange
{
    KeyPosition first = 0;
    KeyPosition last = 0;
    auto operator<=>(const KeyRange &) const = default;
    [[nodiscard]] auto contains(KeyPosition key) const -> bool
    {
        return key >= this->first && key <= this->last;
    }
    /// @returns the number of keys in the range
    [[nodiscard]] auto size() const -> std::uint32_t
    {
        return std::uint32_t{this->last} - this->first + 1;
    }
};

/// Identifies a request for a permit across daemons.
struct PermitId
{
    /// Address at which the entry daemon receives datagrams.
    Address entry;
    /// Incarnation of the entry daemon; a restarted daemon has another one.
    std::uint64_t incarnation = 0;
    /// Number of the permit request within the entry daemon's incarnation.
    std::uint64_t sequence = 0;
    auto operator<=>(const PermitId &) const = default;
};

/// An entry daemon's request to a service's grantor for a slot at an upstream.
struct PermitRequest
{
    PermitId id;
    /// The caller's id of the request, for logs.
    RequestId request;
    ServiceName service;
    FailureDomain domain;
    /// 0 is the most urgent.
    int priority = 0;
    /// Time until the request's deadline.
    Duration remaining{0};
    /// Time until the route's target latency has passed; negative afterwards.
    Duration untilTarget{0};
    /// Empty where the request carries no key.
    std::optional<KeyPosition> key;
    /// An earlier attempt has reached an upstream; counts against the retry budget.
    bool isRetry = false;
    /// Hash of method, path and body; 0 if unknown.
    std::uint64_t fingerprint = 0;
    /// Upstreams that failed or rejected this request; used only where no other has a free slot.
    std::vector<UpstreamId> avoid;
    /// The entry daemon reaches no upstream itself, so another daemon has to forward the request.
    bool isIsolated = false;
    auto operator==(const PermitRequest &) const -> bool = default;
};

/// A grantor's decision on a permit request.
struct PermitVerdict
{
    enum class Kind : std::uint8_t { Granted, Queued, Refused, NotGrantor };

    Kind kind = Kind::Queued;
    /// Granted only: the upstream to send the request to.
    UpstreamId upstream;
    /// Granted only: which of the successive processes with the upstream's id is meant; zero where
    /// that isn't known.
    Incarnation incarnation;
    /// Granted: the upstream's address. NotGrantor: the grantor's address, empty if unknown.
    Address address;
    /// NotGrantor with an address: the term of that grantor.
    std::uint64_t grantorTerm = 0;
    /// Granted on a sharded service: the range of keys, including the request's key, that the
    /// upstream owns.
    std::optional<KeyRange> ownedRange;
    /// Refused only: why.
    Reason reason = Reason::None;
    /// Refused only: time after which the caller should try again.
    Duration retryAfter{0};
    /// Granted only: the daemon, by the address at which it receives datagrams, that forwards the
    /// request to the upstream; empty where the entry daemon sends it there itself.
    Address forwarder = {};
    auto operator==(const PermitVerdict &) const -> bool = default;
};

/// How an attempt at an upstream ended.
enum class AttemptEnd : std::uint8_t {
    /// The upstream answered, and not with a failure.
    Answered,
    /// The upstream answered with a failure, such as a server error.
    Failed,
    /// The upstream stated that it didn't run the request.
    NotRun,
    /// The upstream doesn't own the key, or isn't the one that the permit names.
    WrongOwner,
    /// Nothing was sent because no connection could be opened.
    NotSent,
    /// The request was sent, but no complete answer arrived.
    NoAnswer,
    /// The permit wasn't used, or the attempt was cancelled.
    Unused,
};

/// Load that an upstream reports in an answer.
struct ReportedLoad
{
    /// Requests that it runs.
    int running = 0;
    /// Requests that wait at the upstream.
    int waiting = 0;
    /// Requests that it can run at once.
    int slots = 0;
    /// How many times as long as usual work takes there at the moment; empty where not reported.
    std::optional<double> slowdown = std::nullopt;
    auto operator==(const ReportedLoad &) const -> bool = default;
};

/// Requests per second that an upstream takes from all daemons together.
struct RequestLimit
{
    /// Infinity where the upstream takes as many as it has slots for.
    double perSecond = std::numeric_limits<double>::infinity();
    auto operator==(const RequestLimit &) const -> bool = default;
    [[nodiscard]] auto isLimited() const -> bool { return std::isfinite(this->perSecond); }
    /// @returns the requests per second that are sent at most; above zero, as only answers tell
    /// that an upstream takes requests again
    [[nodiscard]] auto sendingRate() const -> double
    {
        constexpr double minSendingRate = 0.5;
        return std::max(minSendingRate, this->perSecond);
    }
};

/// An entry daemon's report on an attempt, which returns the permit.
struct PermitReport
{
    PermitId id;
    ServiceName service;
    UpstreamId upstream;
    AttemptEnd end = AttemptEnd::Unused;
    /// From sending the request to the end of the attempt.
    Duration latency{0};
    /// Empty where the upstream reported none.
    std::optional<ReportedLoad> load;
    /// Empty where the answer doesn't tell, or there was none.
    std::optional<RequestLimit> requestLimit;
    /// The upstream has stated that it is about to stop.
    bool isLeaving = false;
    /// Rejections only: for this time the upstream wants no requests from the reporting daemon.
    std::optional<Duration> pause = std::nullopt;
    LeaveHint leaveHint = LeaveHint::Unknown;
    /// The daemon that forwarded the request; empty where the entry daemon sent it itself. With
    /// AttemptEnd::NotSent, that daemon couldn't be reached, or didn't forward the request.
    Address forwarder = {};
    auto operator==(const PermitReport &) const -> bool = default;
};

} // namespace gooseberrywall
