#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "dispatch/types/permits.h"

#include <cstdint>
#include <vector>

namespace gooseberrywall {

/// Hash by which a request is recognised, whatever id its caller gives it; 0 if unknown.
using RequestFingerprint = Number<struct RequestFingerprintTag>;

/// Identifies the loss of one process of an upstream.
using CrashId = std::uint32_t;

/// What a grantor tells other daemons about a request that was unanswered when upstreams were lost.
struct SuspectRequest
{
    RequestFingerprint fingerprint;
    /// At most as many as quarantine a request; none: the request has been answered, so it is
    /// suspect no more.
    std::vector<CrashId> crashes;
    /// Time since the last of the crashes.
    Duration sinceLastCrash{0};
    auto operator==(const SuspectRequest &) const -> bool = default;
};

/// How an entry daemon's attempt at an upstream ended.
struct EndedAttempt
{
    ServiceName service;
    RequestFingerprint fingerprint;
    UpstreamId upstream;
    Incarnation incarnation;
    AttemptEnd end = AttemptEnd::Unused;
    auto operator==(const EndedAttempt &) const -> bool = default;
};

/// A crash that has made a request suspect, for logs.
struct SuspectedCrash
{
    RequestFingerprint fingerprint;
    UpstreamId upstream;
    Incarnation incarnation;
    /// The daemon that got no answer.
    Address entry;
    /// How many crashes count against the request.
    std::size_t crashCount = 0;
    bool isQuarantined = false;
    auto operator==(const SuspectedCrash &) const -> bool = default;
};

} // namespace gooseberrywall
