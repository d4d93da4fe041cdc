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

/// Recognises a request by its content, whatever id its caller gives it.
using RequestFingerprint = Number<struct RequestFingerprintTag>;

struct RequestQuarantineSettings
{
    /// Upstreams that a request may crash before it isn't run any more.
    std::size_t crashLimit = 3;
    /// An attempt without an answer counts as a crash if its upstream is lost within this time.
    Duration crashWindow = std::chrono::seconds{3};
    /// Suspects are forgotten after this time without a further crash.
    Duration suspectLifetime = std::chrono::minutes{10};
    /// Suspects remembered at most; the oldest are forgotten first.
    std::size_t suspectLimit = 10'000;
    auto operator==(const RequestQuarantineSettings &) const -> bool = default;
};

/// Remembers which requests were running when upstreams were lost. A request is innocent again once
/// it has been answered; companions of a crash are answered elsewhere, the cause never is.
class RequestQuarantine
{
public:
    explicit RequestQuarantine(RequestQuarantineSettings settings);

    /// The request got no answer from this incarnation of an upstream.
    auto onUnanswered(RequestFingerprint fingerprint, const UpstreamId &upstream,
                      Incarnation incarnation, Instant now) -> void;
    /// This incarnation of an upstream has ended, or it takes no connections.
    auto onUpstreamLost(const UpstreamId &upstream, Incarnation incarnation, Instant now) -> void;
    auto onAnswered(RequestFingerprint fingerprint) -> void;

    /// @returns whether the request has crashed too many upstreams to be run again
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
        std::set<std::pair<UpstreamId, Incarnation>> crashes;
        Instant lastCrashAt;
    };

    auto forgetOldest() -> void;

    RequestQuarantineSettings settings;
    std::vector<UnansweredAttempt> unanswered;
    std::map<RequestFingerprint, Suspect> suspects;
};

} // namespace gooseberrywall
