#include "dispatch/upstreamhealth.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

/// Weight of one answer in the mean: some ten answers settle it, a straggler alone doesn't move it.
constexpr double latencyWeight = 0.12;
/// Weight of one attempt in the share of failures.
constexpr double failureWeight = 0.15;
/// An estimate counts half after this time without news, so that a slow upstream is tried again.
constexpr double estimateHalfLifeSeconds = 2.5;
/// What counts of the failures of an upstream that answers again.
constexpr double recoveryFactor = 0.3;
/// First pause after failures in a row; doubles with each further one.
constexpr Duration firstBlockTime = std::chrono::milliseconds{250};
/// Longest pause: a returned upstream is used again within two seconds.
constexpr Duration maxBlockTime = std::chrono::seconds{2};
/// An upstream that rejects a request is full for about the time of a short request.
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
        // An attempt that was broken off took at least as long.
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
    const auto isFailure = end != AttemptEnd::Answered;
    this->lastFailureShare = this->failureShare(now);
    this->lastFailureShare += failureWeight * ((isFailure ? 1.0 : 0.0) - this->lastFailureShare);
    this->failureShareUpdatedAt = now;
    if (end == AttemptEnd::Answered || end == AttemptEnd::Failed) {
        // An upstream that was away and answers again is back; its past says little.
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
