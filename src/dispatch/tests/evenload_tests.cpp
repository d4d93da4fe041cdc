#include "dispatch/tests/brokersimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <random>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t upstreamCount = 40;
constexpr double slotsPerUpstream = 3;
constexpr double workSeconds = 0.08;
/// The goal for the busiest upstream's utilisation in relation to the mean.
constexpr double evenGoal = 1.25;

/// @returns speeds of 0.5 to 1.6 in equal steps
auto unevenSpeeds() -> std::vector<double>
{
    std::vector<double> speeds;
    for (std::size_t index = 0; index < upstreamCount; ++index) {
        speeds.push_back(0.5 + 1.1 * static_cast<double>(index) / (upstreamCount - 1));
    }
    return speeds;
}

auto rateFor(const std::vector<double> &speeds, double utilisation) -> double
{
    return utilisation * slotsPerUpstream * std::accumulate(speeds.begin(), speeds.end(), 0.0)
           / workSeconds;
}

struct Evenness
{
    /// Utilisation of the busiest upstream in relation to the mean.
    double busiest = 0;
    double mean = 0;
    Duration responseTime{0};
};

auto evennessOf(BrokerSimulation &simulation) -> Evenness
{
    const auto all = simulation.utilisations();
    const auto mean =
        std::accumulate(all.begin(), all.end(), 0.0) / static_cast<double>(all.size());
    const auto &counts = simulation.counts(0);
    return Evenness{*std::max_element(all.begin(), all.end()) / mean, mean,
                    counts.responseTime / std::max(1, counts.served())};
}

auto print(const std::string &name, const Evenness &evenness) -> void
{
    WARN(name << ": busiest " << evenness.busiest << " of the mean, mean utilisation "
              << evenness.mean << ", mean response time " << evenness.responseTime.count() / 1000.0
              << " ms");
}

} // namespace

// Guards against a choice by latency alone, which fills the fast upstreams and leaves slow ones
// idle.
SCENARIO("SlotBroker: given upstreams with speeds of 0.5 to 1.6, their utilisations are even",
         "[dispatch][even]")
{
    const auto utilisation = GENERATE(0.6, 0.85);
    const auto speeds = unevenSpeeds();
    BrokerSimulation simulation(21, speeds, {RequestClass{rateFor(speeds, utilisation)}});
    simulation.setVms(30);
    simulation.reportLoads();
    simulation.run(seconds{10});
    simulation.resetCounts();
    simulation.run(seconds{30});
    const auto evenness = evennessOf(simulation);
    print("speeds 0.5 to 1.6 at " + std::to_string(utilisation), evenness);
    CHECK(evenness.busiest <= evenGoal);
    THEN("the fast upstreams get more requests than the slow ones")
    {
        CHECK(simulation.sentTo(upstreamCount - 1) > 2 * simulation.sentTo(0));
    }
}

// Guards against upstreams that are sent as much as before while they are slow for a moment, and
// against others that are overloaded in their place.
SCENARIO("SlotBroker: given a fifth of the upstreams slow by a factor of 3 for 400 ms at a time, "
         "utilisations are even",
         "[dispatch][even]")
{
    const std::vector<double> speeds(upstreamCount, 1.0);
    const auto utilisation = GENERATE(0.4, 0.6);
    BrokerSimulation simulation(22, speeds, {RequestClass{rateFor(speeds, utilisation)}});
    simulation.setVms(30);
    simulation.reportLoads();
    std::mt19937_64 random(7);
    std::vector<std::size_t> order(upstreamCount);
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto runSlowTimes = [&](int count) {
        for (auto time = 0; time < count; ++time) {
            std::shuffle(order.begin(), order.end(), random);
            for (std::size_t index = 0; index < upstreamCount; ++index) {
                simulation.setSlowdown(order[index], index < upstreamCount / 5 ? 3 : 1);
            }
            simulation.run(milliseconds{400});
        }
    };
    runSlowTimes(10);
    simulation.resetCounts();
    runSlowTimes(75);
    const auto evenness = evennessOf(simulation);
    print("a fifth slow, requests for " + std::to_string(utilisation), evenness);
    CHECK(evenness.busiest <= evenGoal);
}
