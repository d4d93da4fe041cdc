#include "dispatch/loadestimate.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

using std::chrono::milliseconds;

/// Time for which the requests of others in a report count in full where they bar an upstream.
constexpr Duration recentTime = milliseconds{200};
/// Age at which a report has no weight: the requests that it counted have ended by then.
constexpr Duration reportTime = milliseconds{400};
/// Age at which a reported slowdown has no weight: it changes several times per second.
constexpr Duration slowdownTime = milliseconds{300};
/// Limits of a reported slowdown. A lower one would draw all requests to an upstream that reports
/// it; a higher one would exceed the penalties for failing upstreams.
constexpr double minSlowdown = 0.5;
constexpr double maxSlowdown = 10;

/// @returns 1 for a new report, and less the older it is; 0 from the limit on
auto weightAt(Duration age, Duration limit) -> double
{
    const auto share = static_cast<double>(age.count()) / static_cast<double>(limit.count());
    return std::clamp(1 - share, 0.0, 1.0);
}

} // namespace

auto LoadEstimate::onReported(const ReportedLoad &load, int own, Instant now) -> void
{
    this->others = std::max(0, load.running + load.waiting - own);
    this->reportedAt = now;
    if (load.slowdown) {
        this->reportedSlowdown = std::clamp(*load.slowdown, minSlowdown, maxSlowdown);
        this->slowdownReportedAt = now;
    }
}

auto LoadEstimate::requests(int own, double usualOthers, Instant now) const -> double
{
    const auto weight = weightAt(now - this->reportedAt, reportTime);
    return own + weight * this->others + (1 - weight) * usualOthers;
}

auto LoadEstimate::recentOthers(Instant now) const -> int
{
    return now < this->reportedAt + recentTime ? this->others : 0;
}

auto LoadEstimate::slowdown(Instant now) const -> double
{
    const auto weight = weightAt(now - this->slowdownReportedAt, slowdownTime);
    return 1 + weight * (this->reportedSlowdown - 1);
}

auto weightedResponseTime(double latency, double slowdown, double utilisation, double weight)
    -> double
{
    return latency * slowdown * std::exp(weight * utilisation);
}

} // namespace gooseberrywall
