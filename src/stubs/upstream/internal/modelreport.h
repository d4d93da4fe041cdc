#pragma once

#include "stubs/upstream/upstreammodel.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace gooseberrywall {

/// Which runs a report lists.
struct RunPage
{
    /// Only runs with a higher number.
    std::uint64_t after = 0;
    std::size_t limit = 10'000;
    auto operator==(const RunPage &) const -> bool = default;
};

/// @param query "after=N&limit=M"; what is missing or no number stays at its default
[[nodiscard]] auto parseRunPage(std::string_view query) -> RunPage;

/// @returns one run as JSON, without a line end
/// @param upstream the address of the upstream
[[nodiscard]] auto runJson(const Address &upstream, RunNumber number, const RunRecord &record)
    -> std::string;

/// @returns a page of the runs as JSON
[[nodiscard]] auto runsJson(const UpstreamModel &model, RunPage page) -> std::string;

/// @returns the requests that were run twice although they may not be repeated, as JSON
[[nodiscard]] auto doubleRunsJson(const RunLog &log) -> std::string;

/// @returns the state as JSON
[[nodiscard]] auto stateJson(const UpstreamModel &model, Instant now) -> std::string;

} // namespace gooseberrywall
