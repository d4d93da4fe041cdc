#include "requests/operationcosts.h"

namespace gooseberrywall {

namespace {

/// Weight of the newest observation in the moving average.
constexpr double newestWeight = 0.1;

auto movingAverage(double average, double value) -> double
{
    return average == 0.0 ? value : average + newestWeight * (value - average);
}

} // namespace

OperationCosts::OperationCosts(std::size_t maximalOperations)
    : maximalOperations(maximalOperations)
{
}

auto OperationCosts::observe(const std::string &operation, Duration duration) -> void
{
    const auto value = static_cast<double>(duration.count());
    this->average = movingAverage(this->average, value);
    const auto known = this->averages.find(operation);
    if (known != this->averages.end()) {
        known->second = movingAverage(known->second, value);
        return;
    }
    if (this->averages.size() < this->maximalOperations) {
        this->averages.emplace(operation, value);
    }
}

auto OperationCosts::expected(const std::string &operation) const -> Duration
{
    const auto known = this->averages.find(operation);
    const double value = known != this->averages.end() ? known->second : this->average;
    return Duration{static_cast<Duration::rep>(value)};
}

} // namespace gooseberrywall
