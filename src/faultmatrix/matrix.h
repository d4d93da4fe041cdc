#pragma once

#include "faultmatrix/scenario.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Settings of a matrix run.
struct MatrixSettings
{
    WorldOptions world;
    /// The scenarios to run; empty: all.
    std::vector<ScenarioKind> scenarios;
    /// Number of pairs of faults at random steps per scenario, besides all single faults.
    std::uint64_t pairs = 0;
    /// Number of cases that run in parallel.
    unsigned threads = 8;
};

/// One cell of the table: a fault at all steps of one name in one scenario.
struct MatrixCell
{
    std::uint64_t cases = 0;
    std::uint64_t failed = 0;
    Duration unavailability{0};
    std::uint64_t unknown = 0;
    std::uint64_t refused = 0;
};

struct MatrixCellKey
{
    ScenarioKind scenario = ScenarioKind::Transfer;
    std::string step;
    FaultKind fault = FaultKind::None;
    auto operator<=>(const MatrixCellKey &) const = default;
};

/// Results of a matrix run.
struct MatrixResult
{
    std::map<MatrixCellKey, MatrixCell> cells;
    std::uint64_t cases = 0;
    /// The first broken promise of each failed case, with the command that replays it.
    std::vector<std::string> violations;
};

/// Runs every fault at every step of each scenario. Cases are independent of each other, so the
/// result doesn't depend on the number of threads.
/// @param report receives the progress and the failures
[[nodiscard]] auto runMatrix(const MatrixSettings &settings, std::ostream &report) -> MatrixResult;

/// @returns the text of docs/FAULTS.md
[[nodiscard]] auto faultsPage(const MatrixResult &result) -> std::string;

} // namespace gooseberrywall
