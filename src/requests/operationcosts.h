#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace gooseberrywall {

/// Tracks moving averages of how long the operations of one service take. The number of operations
/// is bounded; all others get the service's average.
class OperationCosts
{
public:
    /// @param maximalOperations number of operations with an average of their own
    explicit OperationCosts(std::size_t maximalOperations = 512);

    /// @param duration time for which one run held its slot
    auto observe(const std::string &operation, Duration duration) -> void;

    /// @returns the expected duration of a run; the service's average for an operation that isn't
    ///          tracked, zero before the first observation
    [[nodiscard]] auto expected(const std::string &operation) const -> Duration;

private:
    std::size_t maximalOperations;
    double average = 0.0;
    std::unordered_map<std::string, double> averages;
};

} // namespace gooseberrywall
