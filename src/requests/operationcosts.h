#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace gooseberrywall {

/// Remembers how long the operations of one service take. The number of operations is bounded;
/// those beyond it share the service's average.
class OperationCosts
{
public:
    /// @param maximalOperations how many operations are told apart
    explicit OperationCosts(std::size_t maximalOperations = 512);

    /// @param took time for which one run held its slot
    auto observe(const std::string &operation, Duration duration) -> void;

    /// @returns the expected time; the service's average for an unknown operation
    [[nodiscard]] auto expected(const std::string &operation) const -> Duration;

private:
    std::size_t maximalOperations;
    double average = 0.0;
    std::unordered_map<std::string, double> averages;
};

} // namespace gooseberrywall
