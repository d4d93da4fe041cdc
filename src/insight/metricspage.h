#pragma once

#include "insight/types/countersnapshot.h"

#include <string>

namespace gooseberrywall {

/// Writes counters and latencies in the Prometheus text format (version 0.0.4). Label values are
/// escaped, so that a caller's name can't forge a line.
[[nodiscard]] auto metricsPage(const CounterSnapshot &snapshot) -> std::string;

} // namespace gooseberrywall
