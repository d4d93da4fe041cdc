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
constexpr double newsHalfLifeSeconds = 2.5;
/// What counts of the failures of an upstream that answers again.
constexpr double returnedFactor = 0.3;
/// First pause after failures in a row; doubles with each further one.
constexpr Duration firstPause = std::chrono::milliseconds{250};
/// Longest pause: a returned upstream is used again within two seconds.
constexpr Duration longestPause = std::chrono::seconds{2};
/// An upstream that rejects a request is full for about the time of a short request.
constexpr Duration fullPause = std::chrono::milliseconds{30};

auto fade(Instant since, Instant now) -> double
{
    const auto seconds = std::chrono::duration<double>(now - since).count();
    return std::exp2(-std::max(0.0, seconds) / newsHalfLifeSeconds);
}

} // namespace

auto UpstreamHealth::onEnd(AttemptEnd end, Duration latency, Instant now) -> void
{
    if (end == AttemptEnd::Unused) {
        // An attempt that was broken off took at least as long.
        if (static_cast<double>(latency.count()) > this->latency && this->latency > 0) {
            this->learnLatency(latency, now);
        }
        return;
    }
    if (end == AttemptEnd::WrongOwner) {
        return;
    }
    if (end == AttemptEnd::NotRun) {
        this->lastAnswer = now;
        this->blockedUntil = std::max(this->blockedUntil, now + fullPause);
        return;
    }
    const auto isFailure = end != AttemptEnd::Answered;
    this->failures = this->failureShare(now);
    this->failures += failureWeight * ((isFailure ? 1.0 : 0.0) - this->failures);
    this->failuresAt = now;
    if (end == AttemptEnd::Answered || end == AttemptEnd::Failed) {
        // An upstream that was away and answers again is back; its past says little.
        if (this->isOnTrial()) {
            this->failures *= returnedFactor;
        }
        this->lastAnswer = now;
        this->failuresInRow = 0;
        this->blockedUntil = std::min(this->blockedUntil, now);
    }
    if (end == AttemptEnd::Answered) {
        this->learnLatency(latency, now);
    }
    if (end == AttemptEnd::NotSent || end == AttemptEnd::NoAnswer) {
        ++this->failuresInRow;
        if (end == AttemptEnd::NotSent || this->isOnTrial()) {
            this->block(now);
        }
    }
}

auto UpstreamHealth::learnLatency(Duration latency, Instant now) -> void
{
    const auto sample = static_cast<double>(latency.count());
    this->latency =
        this->latency == 0 ? sample : this->latency + latencyWeight * (sample - this->latency);
    this->latencyAt = now;
}

auto UpstreamHealth::block(Instant now) -> void
{
    const auto doublings = std::clamp(this->failuresInRow - trialAfter, 0, 3);
    this->blockedUntil = now + std::min(longestPause, firstPause * (1 << doublings));
}

auto UpstreamHealth::expectedLatency(Duration serviceMean, Instant now) const -> Duration
{
    if (this->latency == 0) {
        return serviceMean;
    }
    const auto weight = fade(this->latencyAt, now);
    const auto mean = static_cast<double>(serviceMean.count());
    return Duration{static_cast<std::int64_t>(weight * this->latency + (1 - weight) * mean)};
}

auto UpstreamHealth::failureShare(Instant now) const -> double
{
    return this->failures * fade(this->failuresAt, now);
}

} // namespace gooseberrywall
