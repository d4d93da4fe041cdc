#pragma once

#include "requests/tests/testcell.h"

#include <string>
#include <vector>

namespace gooseberrywall {

/// Counts of the guarantees that a run of a test cell violated.
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

/// Compares the runs that the modelled upstreams logged with the ends that callers saw.
/// @param cell a cell in which no request is open any more
/// @param upstreams all upstreams of the cell
/// @param abandoned indices of requests whose entry daemon died or whose caller left; their ends
///                  aren't checked
[[nodiscard]] auto checkEnds(TestCell &cell, const std::vector<std::string> &upstreams,
                             const std::set<std::size_t> &abandoned) -> Violations;

} // namespace gooseberrywall
