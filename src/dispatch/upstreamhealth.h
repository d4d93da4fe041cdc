#pragma once

#include "common/types/instant.h"
#include "dispatch/types/permits.h"

namespace gooseberrywall {

/// What the attempts at one upstream tell of its speed and health.
class UpstreamHealth
{
public:
    /// @param latency from the sending to the end
    auto onAttemptEnd(AttemptEnd end, Duration latency, Instant now) -> void;

    /// @param serviceMean mean latency of the whole service
    /// @returns the expected latency of a request; drifts back to the mean while nothing is learnt
    [[nodiscard]] auto expectedLatency(Duration serviceMean, Instant now) const -> Duration;

    /// @returns the recent share of attempts that failed, 0 to 1
    [[nodiscard]] auto failureShare(Instant now) const -> double;

    /// @returns whether new requests are held back until a trial
    [[nodiscard]] auto isBlocked(Instant now) const -> bool { return now < this->blockEnd; }
    [[nodiscard]] auto blockedUntil() const -> Instant { return this->blockEnd; }
    /// @returns whether the last attempts failed: one trial at a time
    [[nodiscard]] auto isLimitedToTrials() const -> bool
    {
        return this->consecutiveFailures >= failuresUntilTrials;
    }
    [[nodiscard]] auto lastAnswerAt() const -> Instant { return this->answeredAt; }

private:
    /// Failures in a row after which only single trials are sent.
    static constexpr int failuresUntilTrials = 2;

    auto learnLatency(Duration latency, Instant now) -> void;
    auto block(Instant now) -> void;

    /// Microseconds; 0: unknown.
    double latencyMicroseconds = 0;
    Instant latencyUpdatedAt{};
    double lastFailureShare = 0;
    Instant failureShareUpdatedAt{};
    int consecutiveFailures = 0;
    Instant blockEnd{};
    Instant answeredAt{};
};

} // namespace gooseberrywall
