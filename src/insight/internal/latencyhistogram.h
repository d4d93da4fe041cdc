#pragma once

#include "insight/types/countersnapshot.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace gooseberrywall {

/// Distribution of one service's latencies in constant memory; quantiles are estimated by the
/// extended P-square algorithm.
class LatencyHistogram
{
public:
    LatencyHistogram();

    auto add(Duration latency) -> void;

    /// @param service the name under which the sample is reported
    [[nodiscard]] auto sample(const ServiceName &service) const -> LatencySample;

private:
    using Statistics =
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max,
                                   boost::accumulators::tag::extended_p_square>;

    [[nodiscard]] auto quantile(int index) const -> Duration;

    boost::accumulators::accumulator_set<double, Statistics> accumulator;
};

} // namespace gooseberrywall
