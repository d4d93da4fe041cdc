#pragma once

#include "stubs/upstream/upstreammodel.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace gooseberrywall {

/// Selects the runs of a report.
struct RunPage
{
    /// Only runs with a number above this one are listed.
    std::uint64_t after = 0;
    /// Maximum number of runs.
    std::size_t limit = 10'000;
    auto operator==(const RunPage &) const -> bool = default;
};

/// @param query "after=N&limit=M"; missing or malformed fields keep their defaults
[[nodiscard]] auto parseRunPage(std::string_view query) -> RunPage;

/// @param upstream the address of the upstream
/// @returns one run as JSON, without a line break
[[nodiscard]] auto runJson(const Address &upstream, RunNumber number, const RunRecord &record)
    -> std::string;

/// @returns a page of the runs as JSON
[[nodiscard]] auto runsJson(const UpstreamModel &model, RunPage page) -> std::string;

/// @returns the count and the first 1000 ids of non-idempotent requests that were run more than
///          once, as JSON
[[nodiscard]] auto doubleRunsJson(const RunLog &log) -> std::string;

/// @returns the upstream's state as JSON
[[nodiscard]] auto stateJson(const UpstreamModel &model, Instant now) -> std::string;

} // namespace gooseberrywall
