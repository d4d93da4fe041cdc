#pragma once

#include "loadtool/loadtally.h"
#include "loadtool/runaudit.h"

#include <optional>
#include <string>

namespace gooseberrywall {

/// The results of a load run.
struct LoadRunReport
{
    LoadTally tally;
    /// From the start of the run to the end of the last request.
    Duration elapsed{0};
    /// Empty if neither upstreams nor run logs were given for the audit.
    std::optional<AuditResult> audit;
    /// Number of upstreams that did not answer the last fetch of runs.
    std::size_t unreachableUpstreams = 0;
    /// Number of run log lines that could not be read.
    std::size_t unreadableLines = 0;
};

/// @returns the report as human-readable text
[[nodiscard]] auto toText(const LoadRunReport &report) -> std::string;

/// @returns the report as one JSON object; times in microseconds
[[nodiscard]] auto toJsonText(const LoadRunReport &report) -> std::string;

} // namespace gooseberrywall
