#include "dispatch/upstreamhealth.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

/// Weight of one sample in the moving average of the latency: about ten answers determine it, and a
/// single slow answer hardly changes it.
constexpr double latencyWeight = 0.12;
/// Weight of one attempt in the moving average of the failure share.
constexpr double failureWeight = 0.15;
/// Without new samples an estimate's weight halves in this time, so that a slow upstream is tried
/// again.
constexpr double estimateHalfLifeSeconds = 2.5;
/// Share of the failure estimate that remains when an upstream answers again.
constexpr double recoveryFactor = 0.3;
/// Time without requests after consecutive failures; doubles with each further failure.
constexpr Duration firstBlockTime = std::chrono::milliseconds{250};
/// Upper limit of that time, so that a recovered upstream is used again within two seconds.
constexpr Duration maxBlockTime = std::chrono::seconds{2};
/// Time without requests after a rejection: the upstream stays full for about as long as a short
/// request takes.
constexpr Duration notRunBlockTime = std::chrono::milliseconds{30};

auto decayFactor(Instant since, Instant now) -> double
{
    const auto seconds = std::chrono::duration<double>(now - since).count();
    return std::exp2(-std::max(0.0, seconds) / estimateHalfLifeSeconds);
}

} // namespace

auto UpstreamHealth::onAttemptEnd(AttemptEnd end, Duration latency, Instant now) -> void
{
    if (end == AttemptEnd::Unused) {
        // A cancelled attempt would have taken at least this long.
        if (static_cast<double>(latency.count()) > this->latencyMicroseconds
            && this->latencyMicroseconds > 0) {
            this->learnLatency(latency, now);
        }
        return;
    }
    if (end == AttemptEnd::WrongOwner) {
        return;
    }
    if (end == AttemptEnd::NotRun) {
        this->answeredAt = now;
        this->blockEnd = std::max(this->blockEnd, now + notRunBlockTime);
        return;
    }
    this->updateFailureShare(end != AttemptEnd::Answered, now);
    if (end == AttemptEnd::Answered || end == AttemptEnd::Failed) {
        // The upstream has recovered, so its earlier failures say little about its state now.
        if (this->isLimitedToTrials()) {
            this->lastFailureShare *= recoveryFactor;
        }
        this->answeredAt = now;
        this->consecutiveFailures = 0;
        this->blockEnd = std::min(this->blockEnd, now);
    }
    if (end == AttemptEnd::Answered) {
        this->learnLatency(latency, now);
    }
    if (end == AttemptEnd::NotSent || end == AttemptEnd::NoAnswer) {
        ++this->consecutiveFailures;
        if (end == AttemptEnd::NotSent || this->isLimitedToTrials()) {
            this->block(now);
        }
    }
}

auto UpstreamHealth::onUncertainFailure(Instant now) -> void
{
    this->updateFailureShare(true, now);
}

auto UpstreamHealth::delayTrial(Instant now) -> void
{
    this->blockEnd = std::max(this->blockEnd, now + firstBlockTime);
}

auto UpstreamHealth::updateFailureShare(bool isFailure, Instant now) -> void
{
    this->lastFailureShare = this->failureShare(now);
    this->lastFailureShare += failureWeight * ((isFailure ? 1.0 : 0.0) - this->lastFailureShare);
    this->failureShareUpdatedAt = now;
}

auto UpstreamHealth::learnLatency(Duration latency, Instant now) -> void
{
    const auto sample = static_cast<double>(latency.count());
    this->latencyMicroseconds =
        this->latencyMicroseconds == 0
            ? sample
            : this->latencyMicroseconds + latencyWeight * (sample - this->latencyMicroseconds);
    this->latencyUpdatedAt = now;
}

auto UpstreamHealth::block(Instant now) -> void
{
    const auto doublings = std::clamp(this->consecutiveFailures - failuresUntilTrials, 0, 3);
    this->blockEnd = now + std::min(maxBlockTime, firstBlockTime * (1 << doublings));
}

auto UpstreamHealth::expectedLatency(Duration serviceMean, Instant now) const -> Duration
{
    if (this->latencyMicroseconds == 0) {
        return serviceMean;
    }
    const auto weight = decayFactor(this->latencyUpdatedAt, now);
    const auto mean = static_cast<double>(serviceMean.count());
    return Duration{
        static_cast<std::int64_t>(weight * this->latencyMicroseconds + (1 - weight) * mean)};
}

auto UpstreamHealth::failureShare(Instant now) const -> double
{
    return this->lastFailureShare * decayFactor(this->failureShareUpdatedAt, now);
}

} // namespace gooseberrywall
