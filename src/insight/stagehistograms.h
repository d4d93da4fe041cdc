#pragma once

#include "insight/types/stagesample.h"

#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace gooseberrywall {

/// Latency histograms by route and stage, with the same buckets in each daemon, so that the
/// histograms of many daemons can be added up. The number of routes is bounded: what would exceed
/// the bound is counted under the name "other".
class StageHistograms
{
public:
    /// @param maximalRoutes how many routes have histograms of their own
    explicit StageHistograms(std::size_t maximalRoutes = 64);
    ~StageHistograms();
    StageHistograms(const StageHistograms &) = delete;
    auto operator=(const StageHistograms &) -> StageHistograms & = delete;

    auto add(const std::string &route, RequestStage stage, Duration time) -> void;

    /// @returns all histograms that have counted something, by route and stage
    [[nodiscard]] auto snapshot() const -> std::vector<StageSample>;

private:
    struct Series;
    struct RouteSeries;

    std::size_t maximalRoutes;
    std::map<std::string, std::unique_ptr<RouteSeries>> routes;
};

} // namespace gooseberrywall
