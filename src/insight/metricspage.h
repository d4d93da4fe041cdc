#pragma once

#include "insight/types/countersnapshot.h"
#include "insight/types/stagesample.h"

#include <string>
#include <vector>

namespace gooseberrywall {

/// @returns counters and latencies in the Prometheus text format (version 0.0.4). Label values are
/// escaped, so that a caller's name can't forge a line.
[[nodiscard]] auto metricsPage(const CounterSnapshot &snapshot) -> std::string;

/// @returns the histograms of the stages of requests in the same format
[[nodiscard]] auto metricsPage(const std::vector<StageSample> &stages) -> std::string;

} // namespace gooseberrywall
