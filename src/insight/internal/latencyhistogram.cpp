#include "insight/internal/latencyhistogram.h"

#include <array>

namespace gooseberrywall {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 4> probabilities{0.5, 0.9, 0.99, 0.999};

auto toDuration(double microseconds) -> Duration
{
    return Duration{static_cast<Duration::rep>(microseconds)};
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : accumulator(accumulators::extended_p_square_probabilities = probabilities)
{
}

auto LatencyHistogram::add(Duration latency) -> void
{
    this->accumulator(static_cast<double>(latency.count()));
}

auto LatencyHistogram::quantile(int index) const -> Duration
{
    return toDuration(accumulators::extended_p_square(this->accumulator)[index]);
}

auto LatencyHistogram::sample(const ServiceName &service) const -> LatencySample
{
    LatencySample result;
    result.service = service;
    result.count = accumulators::count(this->accumulator);
    if (result.count == 0) {
        return result;
    }
    result.sum = toDuration(accumulators::sum(this->accumulator));
    result.maximum = toDuration(accumulators::max(this->accumulator));
    result.p50 = this->quantile(0);
    result.p90 = this->quantile(1);
    result.p99 = this->quantile(2);
    result.p999 = this->quantile(3);
    return result;
}

} // namespace gooseberrywall
