#include "dispatch/tests/brokersimulation.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t upstreamCount = 10;
/// Upstreams that name a limit.
constexpr std::size_t limitedCount = 7;
constexpr double limitPerSecond = 7;
/// Requests of 80 ms that an upstream without a limit serves per second.
constexpr double upstreamCapacity = 37.5;
/// What upstreams serve together while seven of them name a limit.
constexpr double limitedCapacity =
    limitedCount * limitPerSecond + (upstreamCount - limitedCount) * upstreamCapacity;

auto setLimits(BrokerSimulation &simulation, double perSecond) -> void
{
    for (std::size_t index = 0; index < limitedCount; ++index) {
        simulation.setRequestLimit(index, RequestLimit{perSecond});
    }
}

auto simulationOf(double perSecond, bool isSharded) -> BrokerSimulation
{
    return BrokerSimulation(1, std::vector<double>(upstreamCount, 1.0), {RequestClass{perSecond}},
                            isSharded);
}

} // namespace

// Guards against upstreams that get more requests than the limit that they name in their answers.
SCENARIO("SlotBroker: given upstreams that name a request limit, they get no more than it allows",
         "[dispatch][requestlimit]")
{
    const auto isSharded = GENERATE(false, true);
    auto simulation = simulationOf(300, isSharded);
    simulation.run(seconds{5});
    GIVEN("a limit far below the load")
    {
        setLimits(simulation, limitPerSecond);
        simulation.run(seconds{20});
        CHECK(simulation.maxLimitExcess() <= 0);
    }
    GIVEN("limits that rise and fall in a row")
    {
        for (const auto perSecond : {12.0, 3.0, 9.0, 0.5, 20.0, 1.0}) {
            setLimits(simulation, perSecond);
            simulation.run(seconds{6});
        }
        CHECK(simulation.maxLimitExcess() <= 0);
    }
    GIVEN("a limit of no requests at all")
    {
        setLimits(simulation, 0);
        simulation.run(seconds{20});
        CHECK(simulation.maxLimitExcess() <= 0);
    }
    GIVEN("grantors that are replaced again and again while the limit lasts")
    {
        setLimits(simulation, limitPerSecond);
        for (auto replacement = 0; replacement < 6; ++replacement) {
            simulation.run(seconds{3});
            simulation.replaceBroker();
        }
        CHECK(simulation.maxLimitExcess() <= 0);
    }
}

SCENARIO(
    "SlotBroker: given upstreams that name a request limit, what they take is used to the full",
    "[dispatch][requestlimit]")
{
    GIVEN("requests that any upstream may run, twice as many as all can take")
    {
        auto simulation = simulationOf(2 * limitedCapacity, false);
        simulation.run(seconds{5});
        setLimits(simulation, limitPerSecond);
        simulation.run(seconds{5});
        simulation.resetCounts();
        simulation.run(seconds{20});
        const auto &count = simulation.counts(0);
        CHECK(count.served() >= static_cast<int>(0.9 * limitedCapacity * 20));
        THEN("requests that can't be served are refused early")
        {
            CHECK(count.refusedWait / std::max(1, count.refusals) < milliseconds{75});
        }
    }
    GIVEN("a key range at each upstream whose requests exceed its limit")
    {
        constexpr double perUpstream = 15;
        auto simulation = simulationOf(perUpstream * upstreamCount, true);
        simulation.run(seconds{5});
        setLimits(simulation, limitPerSecond);
        simulation.run(seconds{5});
        simulation.resetCounts();
        simulation.run(seconds{20});
        const auto &count = simulation.counts(0);
        for (std::size_t index = 0; index < limitedCount; ++index) {
            CHECK(simulation.sentTo(index) >= static_cast<int>(0.9 * limitPerSecond * 20));
        }
        THEN("the others serve theirs, and requests that can't be served are refused early")
        {
            CHECK(count.served()
                  >= static_cast<int>(0.9 * 20
                                      * (limitedCount * limitPerSecond
                                         + (upstreamCount - limitedCount) * perUpstream)));
            CHECK(count.refusedWait / std::max(1, count.refusals) < milliseconds{75});
        }
    }
    GIVEN("a limit that ends")
    {
        const auto isSharded = GENERATE(false, true);
        auto simulation = simulationOf(250, isSharded);
        simulation.run(seconds{5});
        setLimits(simulation, limitPerSecond);
        simulation.run(seconds{10});
        for (std::size_t index = 0; index < limitedCount; ++index) {
            simulation.setRequestLimit(index, RequestLimit{});
        }
        simulation.run(seconds{2});
        simulation.resetCounts();
        simulation.run(seconds{10});
        THEN("nearly all requests are served again")
        {
            CHECK(simulation.counts(0).served() >= simulation.counts(0).asked * 95 / 100);
        }
    }
}
