#pragma once

#include "requests/tests/testcell.h"

#include <string>
#include <vector>

namespace gooseberrywall {

/// What a run of a test cell violated; all zero where nothing.
struct Violations
{
    int doubleRuns = 0;
    int refusedThatRan = 0;
    int wrongAnswers = 0;
    int withoutEnd = 0;
    int severalEnds = 0;
    int lateEnds = 0;

    auto operator==(const Violations &) const -> bool = default;
    [[nodiscard]] auto text() const -> std::string;
};

/// Judges by the logs of the modelled upstreams and by what callers saw alone.
/// @param cell a cell that has come to rest
/// @param upstreams all upstreams of the cell
/// @param deserted requests whose entry daemon died or whose caller left
[[nodiscard]] auto checkEnds(TestCell &cell, const std::vector<std::string> &upstreams,
                             const std::set<std::size_t> &abandoned) -> Violations;

} // namespace gooseberrywall
