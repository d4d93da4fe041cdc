#include "requests/concurrencylimit.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// Time on the network and in the upstream's own queue that doesn't count as congestion.
constexpr Duration toleratedOverhead = std::chrono::milliseconds{10};
/// The level is lowered at most once in this time.
constexpr Duration shortestLowerInterval = std::chrono::milliseconds{50};
constexpr Duration shedPause = std::chrono::milliseconds{5};
constexpr Duration shortestFailurePause = std::chrono::milliseconds{20};
constexpr int maximalPauseDoublings = 5;
constexpr Duration shortestShedBackoff = std::chrono::seconds{1};
constexpr Duration longestShedBackoff = std::chrono::minutes{1};
/// After this many backoffs without shed load the next backoff is the shortest again.
constexpr int backoffsUntilReset = 4;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots, Duration coldStart)
    : slots(std::max(1, slots))
    , coldStart(coldStart)
    , level(maximalLevel())
    , shedBackoff(shortestShedBackoff)
{
}

auto ConcurrencyLimit::configure(int slots, Duration coldStart) -> void
{
    const int previous = this->slots;
    this->slots = std::max(1, slots);
    this->coldStart = coldStart;
    this->level = std::clamp(this->level + this->slots - previous, 1, this->maximalLevel());
}

auto ConcurrencyLimit::onColdStart(Instant now) -> void
{
    this->isCold = true;
    this->coldStartedAt = now;
    this->level = this->maximalLevel();
    this->successes = 0;
    this->consecutiveFailures = 0;
    this->pausedUntil = now;
    this->shedLevel = 0;
    this->shedBackoff = shortestShedBackoff;
}

auto ConcurrencyLimit::onCompleted(Instant now, Duration responseTime, Duration serviceTime) -> void
{
    this->consecutiveFailures = 0;
    if (serviceTime.count() > 0 && responseTime > 2 * serviceTime + toleratedOverhead) {
        this->lower(now, this->level - 1);
        return;
    }
    ++this->successes;
    if (this->successes > this->level) {
        this->raise(now);
    }
}

auto ConcurrencyLimit::raise(Instant now) -> void
{
    const int next = std::min(this->level + 1, this->maximalLevel());
    const bool isBackedOff =
        this->shedLevel > 0 && next >= this->shedLevel && now < this->shedBackoffUntil;
    if (isBackedOff) {
        return;
    }
    this->level = next;
    this->successes = 0;
}

auto ConcurrencyLimit::lower(Instant now, int level) -> bool
{
    if (now - this->loweredAt < shortestLowerInterval) {
        return false;
    }
    this->loweredAt = now;
    this->level = std::max(1, level);
    this->successes = 0;
    return true;
}

auto ConcurrencyLimit::onShed(Instant now) -> void
{
    const int shedAt = this->level;
    if (!this->lower(now, shedAt - 1)) {
        this->pausedUntil = std::max(this->pausedUntil, now + shedPause);
        return;
    }
    const bool isExpired = now >= this->shedBackoffUntil + backoffsUntilReset * this->shedBackoff;
    const bool isRepeated = this->shedLevel > 0 && !isExpired;
    this->shedBackoff =
        isRepeated ? std::min(2 * this->shedBackoff, longestShedBackoff) : shortestShedBackoff;
    this->shedLevel = shedAt;
    this->shedBackoffUntil = now + this->shedBackoff;
    if (shedAt == 1) {
        this->pausedUntil = std::max(this->pausedUntil, now + shedPause);
    }
}

auto ConcurrencyLimit::onFailure(Instant now) -> void
{
    this->lower(now, this->level / 2);
    const int doublings = std::min(this->consecutiveFailures, maximalPauseDoublings);
    ++this->consecutiveFailures;
    this->pausedUntil = std::max(this->pausedUntil, now + shortestFailurePause * (1 << doublings));
}

auto ConcurrencyLimit::coldLimit(Instant now) const -> int
{
    const auto age = now - this->coldStartedAt;
    if (!this->isCold || age >= this->coldStart) {
        return this->maximalLevel();
    }
    const auto progress =
        static_cast<double>(age.count()) / static_cast<double>(this->coldStart.count());
    return 1 + static_cast<int>(progress * (this->slots - 1));
}

auto ConcurrencyLimit::allowed(Instant now) const -> int
{
    if (now < this->pausedUntil) {
        return 0;
    }
    return std::min(this->level, this->coldLimit(now));
}

} // namespace gooseberrywall
