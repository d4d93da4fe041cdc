#include "dispatch/tests/brokersimulation.h"
#include "dispatch/tests/evenness.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <random>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// @returns the settings with which operators ask for even load
auto evenLoad() -> SlotBrokerSettings
{
    SlotBrokerSettings settings;
    settings.loadWeight = evenLoadWeight;
    return settings;
}

constexpr std::size_t upstreamCount = 40;
constexpr double slotsPerUpstream = 3;
constexpr double workSeconds = 0.08;

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

} // namespace

// Guards against a choice by latency alone, which fills the fast upstreams and leaves slow ones
// idle.
SCENARIO("SlotBroker: given upstreams with speeds of 0.5 to 1.6, their utilisations are even",
         "[dispatch][even]")
{
    const auto utilisation = GENERATE(0.6, 0.85);
    const auto hasReports = GENERATE(true, false);
    const auto speeds = unevenSpeeds();
    BrokerSimulation simulation(21, speeds, {RequestClass{rateFor(speeds, utilisation)}}, false,
                                evenLoad());
    simulation.setVms(30);
    if (hasReports) {
        simulation.reportLoads();
    }
    simulation.run(seconds{10});
    const auto evenness = measureEvenness(simulation, 30, [&] { simulation.run(seconds{1}); });
    UNSCOPED_INFO("speeds 0.5 to 1.6 at " << utilisation << (hasReports ? "" : " without reports")
                                          << ": " << evenness);
    CHECK(evenness.busiest <= evenGoal);
    THEN("the fast upstreams get more requests than the slow ones")
    {
        simulation.resetCounts();
        simulation.run(seconds{10});
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
    BrokerSimulation simulation(22, speeds, {RequestClass{rateFor(speeds, utilisation)}}, false,
                                evenLoad());
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
    const auto evenness = measureEvenness(simulation, 75, [&] { runSlowTimes(1); });
    UNSCOPED_INFO("a fifth slow, requests for " << utilisation << ": " << evenness);
    CHECK(evenness.busiest <= evenGoal);
}

// Guards against a metric that shows even load where it isn't, or that single requests determine.
SCENARIO("SlotBroker states how even the load is", "[dispatch][even]")
{
    const std::vector<double> speeds(upstreamCount, 1.0);
    GIVEN("even load")
    {
        BrokerSimulation simulation(23, speeds, {RequestClass{rateFor(speeds, 0.5)}}, false,
                                    evenLoad());
        simulation.run(seconds{40});
        THEN("the stated share is near to one")
        {
            REQUIRE(simulation.statedBusiestShare().has_value());
            CHECK(*simulation.statedBusiestShare() >= 1);
            CHECK(*simulation.statedBusiestShare() < evenGoal);
        }
    }
    GIVEN("keys of equal shares, and an owner that is slow by a factor of 3")
    {
        BrokerSimulation simulation(23, speeds, {RequestClass{rateFor(speeds, 0.25)}}, true);
        simulation.setSlowdown(0, 3);
        simulation.run(seconds{40});
        THEN("the stated share shows its load")
        {
            REQUIRE(simulation.statedBusiestShare().has_value());
            CHECK(*simulation.statedBusiestShare() > 2);
        }
    }
    GIVEN("little load")
    {
        BrokerSimulation simulation(23, speeds, {RequestClass{rateFor(speeds, 0.01)}});
        simulation.run(seconds{40});
        THEN("none is stated")
        {
            CHECK_FALSE(simulation.statedBusiestShare().has_value());
        }
    }
}

// Guards against a load whose weight exceeds the penalty for an upstream that failed the request.
SCENARIO(
    "SlotBroker: given an old report of a high load, an upstream that failed the request isn't "
    "preferred",
    "[dispatch][even]")
{
    const Instant start{seconds{100}};
    const ServiceName service{"service"};
    SlotBroker broker(service, false, evenLoad(), RetryWindowSettings{}, 1);
    std::vector<UpstreamEntry> entries;
    for (const auto *id : {"failed", "loaded"}) {
        UpstreamEntry entry;
        entry.id = UpstreamId{id};
        entry.service = service;
        entry.slots = 3;
        entries.push_back(entry);
    }
    broker.setUpstreams(entries, start);
    PermitRequest request;
    request.service = service;
    request.remaining = seconds{2};
    request.untilTarget = seconds{1};
    request.avoid = {UpstreamId{"failed"}};
    const auto ask = [&](std::uint64_t sequence, Instant now) {
        request.id = PermitId{Address{"entry"}, 1, sequence};
        broker.ask(request, now);
        return broker.takeVerdicts().back().verdict.upstream;
    };
    REQUIRE(ask(1, start).value == "loaded");
    PermitReport report;
    report.id = request.id;
    report.service = service;
    report.upstream = UpstreamId{"loaded"};
    report.end = AttemptEnd::Answered;
    report.latency = milliseconds{80};
    report.load = ReportedLoad{3, 30, 3};
    broker.report(report, start);
    CHECK(ask(2, start + milliseconds{210}).value == "loaded");
}
