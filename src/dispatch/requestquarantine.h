#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Hash by which a request is recognised, whatever id its caller gives it; 0 if unknown.
using RequestFingerprint = Number<struct RequestFingerprintTag>;

struct RequestQuarantineSettings
{
    /// Number of upstream crashes at which a request is quarantined.
    std::size_t crashLimit = 3;
    /// An unanswered attempt counts as a crash if its upstream is lost within this time after it.
    Duration crashWindow = std::chrono::seconds{3};
    /// Suspects are forgotten after this time without a further crash.
    Duration suspectLifetime = std::chrono::minutes{10};
    /// Maximum number of suspects; those with the oldest last crash are forgotten first.
    std::size_t suspectLimit = 10'000;
    auto operator==(const RequestQuarantineSettings &) const -> bool = default;
};

/// Finds requests that crash upstreams: those that were unanswered when several upstreams were
/// lost. An answer clears a request. Other requests that were running during a crash are answered
/// by another upstream, whereas the request that causes the crashes never is.
class RequestQuarantine
{
public:
    explicit RequestQuarantine(RequestQuarantineSettings settings);

    /// Records that the request got no answer from this incarnation of an upstream.
    auto onUnanswered(RequestFingerprint fingerprint, const UpstreamId &upstream,
                      Incarnation incarnation, Instant now) -> void;
    /// Records that this incarnation of an upstream has ended or accepts no connections.
    auto onUpstreamLost(const UpstreamId &upstream, Incarnation incarnation, Instant now) -> void;
    /// Forgets the crashes of the request: it has been answered.
    auto onAnswered(RequestFingerprint fingerprint) -> void;

    /// @returns whether the request has crashed `crashLimit` upstreams and must not run again
    [[nodiscard]] auto isQuarantined(RequestFingerprint fingerprint, Instant now) const -> bool;

private:
    struct UnansweredAttempt
    {
        RequestFingerprint fingerprint;
        UpstreamId upstream;
        Incarnation incarnation;
        Instant endedAt;
    };
    struct Suspect
    {
        /// Lost upstreams at which the request was unanswered; each incarnation counts once.
        std::set<std::pair<UpstreamId, Incarnation>> crashes;
        Instant lastCrashAt;
    };

    auto forgetOldest() -> void;

    RequestQuarantineSettings settings;
    std::vector<UnansweredAttempt> unanswered;
    std::map<RequestFingerprint, Suspect> suspects;
};

} // namespace gooseberrywall
