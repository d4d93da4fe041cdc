#pragma once

#include "common/types/instant.h"
#include "dispatch/types/permits.h"

namespace gooseberrywall {

/// What the attempts at one upstream tell of its speed and health.
class UpstreamHealth
{
public:
    /// @param latency from the sending to the end
    auto onEnd(AttemptEnd end, Duration latency, Instant now) -> void;

    /// @param serviceMean mean latency of the whole service
    /// @returns the expected latency of a request; drifts back to the mean while nothing is learnt
    [[nodiscard]] auto expectedLatency(Duration serviceMean, Instant now) const -> Duration;

    /// @returns the recent share of attempts that failed, 0 to 1
    [[nodiscard]] auto failureShare(Instant now) const -> double;

    /// @returns whether new requests are held back until a trial
    [[nodiscard]] auto isBlocked(Instant now) const -> bool { return now < this->blockedUntil; }
    [[nodiscard]] auto blockedTill() const -> Instant { return this->blockedUntil; }
    /// @returns whether the last attempts failed: one trial at a time
    [[nodiscard]] auto isOnTrial() const -> bool { return this->failuresInRow >= trialAfter; }
    [[nodiscard]] auto lastSign() const -> Instant { return this->lastAnswer; }

private:
    /// Failures in a row after which only single trials are sent.
    static constexpr int trialAfter = 2;

    auto learnLatency(Duration latency, Instant now) -> void;
    auto block(Instant now) -> void;

    /// Microseconds; 0: unknown.
    double latency = 0;
    Instant latencyAt{};
    double failures = 0;
    Instant failuresAt{};
    int failuresInRow = 0;
    Instant blockedUntil{};
    Instant lastAnswer{};
};

} // namespace gooseberrywall
