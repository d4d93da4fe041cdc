#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/reason.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace gooseberrywall {

/// A shard key as sharded services use it: a position in the space of keys.
using KeyPosition = std::uint16_t;

/// Keys from `first` to `last`, both inclusive.
struct KeyRange
{
    KeyPosition first = 0;
    KeyPosition last = 0;
    auto operator<=>(const KeyRange &) const = default;
    [[nodiscard]] auto contains(KeyPosition key) const -> bool
    {
        return key >= this->first && key <= this->last;
    }
    /// @returns how many keys the span has
    [[nodiscard]] auto size() const -> std::uint32_t
    {
        return std::uint32_t{this->last} - this->first + 1;
    }
};

/// Identifies a request for a permit across daemons.
struct PermitId
{
    /// Where the entry daemon receives datagrams.
    Address entry;
    /// Differs between successive lives of the entry daemon.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const PermitId &) const = default;
};

/// An entry daemon asks a service's grantor for a slot at an upstream.
struct PermitRequest
{
    PermitId id;
    /// The caller's id of the request, for logs.
    RequestId request;
    ServiceName service;
    FailureDomain domain;
    /// 0 is the most urgent.
    int priority = 0;
    /// Until the answer is due.
    Duration remaining{0};
    /// Until the route's target latency has passed; negative afterwards.
    Duration untilTarget{0};
    std::optional<KeyPosition> key;
    /// An earlier attempt has reached an upstream; draws on the retry budget.
    bool isRetry = false;
    /// Hash of method, path and body; 0: unknown.
    std::uint64_t fingerprint = 0;
    /// Upstreams that have failed or rejected this request.
    std::vector<UpstreamId> avoid;
    auto operator==(const PermitRequest &) const -> bool = default;
};

/// The grantor's word on a permit request.
struct PermitVerdict
{
    enum class Kind : std::uint8_t { Granted, Queued, Refused, NotGrantor };

    Kind kind = Kind::Queued;
    /// Granted only.
    UpstreamId upstream;
    /// Granted: the upstream's address. NotGrantor: that of the grantor, empty where it isn't
    /// known.
    Address address;
    /// NotGrantor with an address: that grantor's term.
    std::uint64_t grantorTerm = 0;
    /// Granted on a sharded service: the keys around the request's that the upstream owns.
    std::optional<KeyRange> ownedRange;
    /// Refused only: why, and when room is expected.
    Reason reason = Reason::None;
    Duration retryAfter{0};
    auto operator==(const PermitVerdict &) const -> bool = default;
};

/// How an attempt at an upstream ended.
enum class AttemptEnd : std::uint8_t {
    /// The upstream's own answer, other than a failure.
    Answered,
    /// The upstream's own answer with a server error.
    Failed,
    /// The upstream said that it has not run the request.
    NotRun,
    /// The upstream doesn't own the key, or is another one than was meant.
    WrongOwner,
    /// Nothing was sent: no connection could be made.
    NotSent,
    /// Sent, and no whole answer came.
    NoAnswer,
    /// The permit wasn't used, or its request was cancelled.
    Unused,
};

/// What an upstream said of its load in an answer.
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    auto operator==(const ReportedLoad &) const -> bool = default;
};

/// An entry daemon returns a permit.
struct PermitReport
{
    PermitId id;
    ServiceName service;
    UpstreamId upstream;
    AttemptEnd end = AttemptEnd::Unused;
    /// From the sending to the end.
    Duration latency{0};
    std::optional<ReportedLoad> load;
    auto operator==(const PermitReport &) const -> bool = default;
};

} // namespace gooseberrywall
