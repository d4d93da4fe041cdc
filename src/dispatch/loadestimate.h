#pragma once

#include "common/types/instant.h"
#include "dispatch/types/permits.h"

namespace gooseberrywall {

/// Estimates the requests at one upstream from its last report, the report's age, and the requests
/// that this process has sent there and that have ended since. Does no input or output.
class LoadEstimate
{
public:
    /// Takes in the load that an answer reports.
    /// @param own requests of this process that were at the upstream when it reported
    auto onReported(const ReportedLoad &load, int own, Instant now) -> void;

    /// @param own requests of this process at the upstream
    /// @param usualOthers requests of other processes that are usually there; counts more the older
    ///        the report is
    /// @returns the estimated number of requests at the upstream
    [[nodiscard]] auto requests(int own, double usualOthers, Instant now) const -> double;

    /// @returns the requests of others in the last report; 0 where it is too old to be relied upon
    [[nodiscard]] auto recentOthers(Instant now) const -> int;

    /// @returns how many times as long as usual work takes there, as last reported; 1 where it was
    /// not reported lately
    [[nodiscard]] auto slowdown(Instant now) const -> double;

private:
    int others = 0;
    Instant reportedAt{};
    double reportedSlowdown = 1;
    Instant slowdownReportedAt{};
};

/// Weight of the utilisation with which the busiest upstream of a service stays below 1.25 times
/// the mean load, also where the speeds differ by a factor of three.
inline constexpr double evenLoadWeight = 3;

/// @param latency expected latency of a request at an upstream that is free
/// @param slowdown how many times as long as usual work takes there at the moment
/// @param utilisation requests per slot, including the one that is to be sent
/// @param weight of the utilisation: with evenLoadWeight, an upstream may be filled by a third more
///        than another one only if it is several times as fast; with zero, the faster one is filled
/// @returns the expected time to the response in the unit of the latency, which grows with the
///          utilisation by its weight
[[nodiscard]] auto weightedResponseTime(double latency, double slowdown, double utilisation,
                                        double weight) -> double;

} // namespace gooseberrywall
