#pragma once

#include "insight/types/stagesample.h"

#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace gooseberrywall {

/// Latency histograms by route and stage. The buckets are the same in each daemon, so that the
/// histograms of many daemons can be added up. The number of routes is limited: further routes are
/// counted under the name "other".
class StageHistograms
{
public:
    /// @param maximalRoutes limit on the number of routes with histograms of their own
    explicit StageHistograms(std::size_t maximalRoutes = 64);
    ~StageHistograms();
    StageHistograms(const StageHistograms &) = delete;
    auto operator=(const StageHistograms &) -> StageHistograms & = delete;

    auto add(const std::string &route, RequestStage stage, Duration time) -> void;

    /// @returns all histograms that aren't empty, by route and stage
    [[nodiscard]] auto snapshot() const -> std::vector<StageSample>;

private:
    struct Series;
    struct RouteSeries;

    std::size_t maximalRoutes;
    std::map<std::string, std::unique_ptr<RouteSeries>> routes;
};

} // namespace gooseberrywall
