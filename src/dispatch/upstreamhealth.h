#pragma once

#include "common/types/instant.h"
#include "dispatch/types/permits.h"

namespace gooseberrywall {

/// Estimates the latency and failure share of one upstream from the ends of its attempts.
class UpstreamHealth
{
public:
    /// Updates the estimates with an ended attempt.
    /// @param latency from sending the request to the end of the attempt
    auto onAttemptEnd(AttemptEnd end, Duration latency, Instant now) -> void;

    /// Takes in a failure that may be due to the path of the daemon that reported it: it counts in
    /// the failure share only.
    auto onUncertainFailure(Instant now) -> void;
    /// Delays the next trial request after one that didn't reach the upstream for another reason.
    auto delayTrial(Instant now) -> void;

    /// @param serviceMean mean latency of the whole service
    /// @returns the expected latency of a request; decays to the mean while there are no new
    /// samples
    [[nodiscard]] auto expectedLatency(Duration serviceMean, Instant now) const -> Duration;

    /// @returns the recent share of attempts that failed, 0 to 1
    [[nodiscard]] auto failureShare(Instant now) const -> double;

    /// @returns whether the upstream gets no requests until the next trial request is due
    [[nodiscard]] auto isBlocked(Instant now) const -> bool { return now < this->blockEnd; }
    /// @returns when the last block ends or has ended
    [[nodiscard]] auto blockedUntil() const -> Instant { return this->blockEnd; }
    /// @returns whether the upstream gets only one request at a time, because the last attempts
    /// failed
    [[nodiscard]] auto isLimitedToTrials() const -> bool
    {
        return this->consecutiveFailures >= failuresUntilTrials;
    }
    /// @returns whether the last attempts failed that show the upstream's state
    [[nodiscard]] auto hasFailures() const -> bool { return this->consecutiveFailures > 0; }
    /// @returns when the upstream last answered, also with a failure or a rejection
    [[nodiscard]] auto lastAnswerAt() const -> Instant { return this->answeredAt; }

private:
    /// Consecutive attempts without an answer after which the upstream gets one request at a time.
    static constexpr int failuresUntilTrials = 2;

    auto updateFailureShare(bool isFailure, Instant now) -> void;
    auto learnLatency(Duration latency, Instant now) -> void;
    auto block(Instant now) -> void;

    /// Moving average; 0 if unknown.
    double latencyMicroseconds = 0;
    Instant latencyUpdatedAt{};
    /// Moving average of the failed attempts, 0 to 1, at the time of the last update.
    double lastFailureShare = 0;
    Instant failureShareUpdatedAt{};
    /// Attempts since the last answer that weren't sent or got no answer.
    int consecutiveFailures = 0;
    Instant blockEnd{};
    Instant answeredAt{};
};

} // namespace gooseberrywall
