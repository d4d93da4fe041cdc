#include "insight/stagehistograms.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>

namespace gooseberrywall {

namespace {

constexpr auto overflowName = "other";
constexpr std::size_t stageCount = 4;
/// From the travel time of a datagram within a failure domain to the longest deadlines of callers.
constexpr std::array<double, 14> bucketBoundsMilliseconds{1,   2,   5,    10,   20,   50,    100,
                                                          200, 500, 1000, 2000, 5000, 10000, 20000};

auto makeHistogram()
{
    // Boost's intervals include their lower bound, Prometheus' buckets their upper one: each bound
    // is raised to the next representable number.
    std::vector<double> edges{-std::numeric_limits<double>::infinity()};
    for (const auto bound : bucketBoundsMilliseconds) {
        edges.push_back(std::nextafter(bound, bound + 1));
    }
    return boost::histogram::make_histogram(boost::histogram::axis::variable<>(edges));
}

} // namespace

auto toString(RequestStage stage) -> std::string_view
{
    switch (stage) {
    case RequestStage::Queue:
        return "queue";
    case RequestStage::Permit:
        return "permit";
    case RequestStage::Upstream:
        return "upstream";
    case RequestStage::Total:
        return "whole";
    }
    return "whole";
}

struct StageHistograms::Series
{
    decltype(makeHistogram()) histogram = makeHistogram();
    std::uint64_t count = 0;
    Duration sum{0};
};

struct StageHistograms::RouteSeries
{
    std::array<Series, stageCount> stages;
};

StageHistograms::StageHistograms(std::size_t maximalRoutes)
    : maximalRoutes(maximalRoutes)
{
}

StageHistograms::~StageHistograms() = default;

auto StageHistograms::add(const std::string &route, RequestStage stage, Duration time) -> void
{
    const auto isFull = this->routes.size() >= this->maximalRoutes && !this->routes.contains(route);
    auto &series = this->routes[isFull ? overflowName : route];
    if (!series) {
        series = std::make_unique<RouteSeries>();
    }
    auto &entry = series->stages.at(static_cast<std::size_t>(stage));
    entry.histogram(std::chrono::duration<double, std::milli>(time).count());
    ++entry.count;
    entry.sum += time;
}

auto StageHistograms::snapshot() const -> std::vector<StageSample>
{
    std::vector<StageSample> result;
    for (const auto &[route, series] : this->routes) {
        for (std::size_t stage = 0; stage < stageCount; ++stage) {
            const auto &entry = series->stages.at(stage);
            if (entry.count == 0) {
                continue;
            }
            StageSample sample{route, static_cast<RequestStage>(stage), {}, entry.count, entry.sum};
            std::uint64_t cumulative = 0;
            for (std::size_t index = 0; index < bucketBoundsMilliseconds.size(); ++index) {
                cumulative +=
                    static_cast<std::uint64_t>(entry.histogram.at(static_cast<int>(index)));
                sample.buckets.push_back(
                    StageSample::Bucket{std::chrono::microseconds{static_cast<std::int64_t>(
                                            bucketBoundsMilliseconds.at(index) * 1000)},
                                        cumulative});
            }
            result.push_back(std::move(sample));
        }
    }
    return result;
}

} // namespace gooseberrywall
