#pragma once

#include "common/types/instant.h"

#include <algorithm>
#include <numeric>
#include <ostream>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// The goal for the busiest upstream's utilisation in relation to the mean.
inline constexpr double evenGoal = 1.25;

/// How evenly a simulation has used its upstreams.
struct Evenness
{
    /// Utilisation of the busiest upstream over the whole run in relation to the mean.
    double busiest = 0;
    /// The same in each window, a mean over the windows.
    double busiestInWindows = 0;
    double meanUtilisation = 0;
    double responseMilliseconds = 0;
};

inline auto operator<<(std::ostream &stream, const Evenness &evenness) -> std::ostream &
{
    return stream << "busiest " << evenness.busiest << " (in windows " << evenness.busiestInWindows
                  << "), mean utilisation " << evenness.meanUtilisation << ", mean response time "
                  << evenness.responseMilliseconds << " ms";
}

/// @returns the largest value in relation to the mean
inline auto busiestShare(const std::vector<double> &utilisations) -> double
{
    const auto mean = std::accumulate(utilisations.begin(), utilisations.end(), 0.0)
                      / static_cast<double>(utilisations.size());
    return *std::max_element(utilisations.begin(), utilisations.end()) / mean;
}

/// @param runWindow runs the simulation for the time of one window
template<typename Simulation, typename RunWindow>
auto measureEvenness(Simulation &simulation, int windows, RunWindow runWindow) -> Evenness
{
    Evenness result;
    std::vector<double> total;
    Duration responseTime{0};
    auto answered = 0;
    for (auto window = 0; window < windows; ++window) {
        simulation.resetCounts();
        runWindow();
        const auto utilisations = simulation.utilisations();
        total.resize(utilisations.size(), 0);
        std::transform(total.begin(), total.end(), utilisations.begin(), total.begin(),
                       [&](double sum, double value) { return sum + value / windows; });
        result.busiestInWindows += busiestShare(utilisations) / windows;
        const auto [time, count] = simulation.answerTimes();
        responseTime += time;
        answered += count;
    }
    result.busiest = busiestShare(total);
    result.meanUtilisation =
        std::accumulate(total.begin(), total.end(), 0.0) / static_cast<double>(total.size());
    result.responseMilliseconds =
        std::chrono::duration<double, std::milli>(responseTime).count() / std::max(1, answered);
    return result;
}

} // namespace gooseberrywall
