#include "dispatch/utilisationaverage.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

/// Time constant of the average: long enough that random differences of a second don't show.
constexpr double averagingSeconds = 10;

} // namespace

auto UtilisationAverage::onChange(int requests, Instant now) -> void
{
    this->meanAtUpdate = this->mean(now);
    this->requests = requests;
    this->updatedAt = now;
}

auto UtilisationAverage::mean(Instant now) const -> double
{
    const auto seconds = std::chrono::duration<double>(now - this->updatedAt).count();
    const auto weight = std::exp(-std::max(0.0, seconds) / averagingSeconds);
    return this->requests + weight * (this->meanAtUpdate - this->requests);
}

} // namespace gooseberrywall
