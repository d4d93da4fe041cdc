#include "keyranges/tests/rangesimulation.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto electionTime = seconds{2};
constexpr auto longestWait = seconds{20};
/// Time limit of the design for a key to be served again after a loss.
constexpr auto recoveryTimeLimit = seconds{5};

/// Lets busy keys move after the copy of the record was kept, and grants be prolonged as in an
/// outage of the store.
auto moveSinceCopy(RangeSimulation &simulation) -> void
{
    simulation.run(seconds{4});
    simulation.setHotKeys(KeyRange{20'000, 20'199}, 200);
    simulation.run(seconds{4});
    simulation.keepCopy();
    simulation.setHotKeys(KeyRange{40'000, 40'199}, 200);
    simulation.run(seconds{4});
    simulation.setGrantsProlonged(true);
    simulation.run(milliseconds{500});
}

auto checkOwners(const RangeSimulation &simulation) -> void
{
    CHECK(simulation.doubleOwnerCount() == 0);
    CHECK(simulation.lowFenceCount() == 0);
}

} // namespace

SCENARIO("RangeGrantor serves all keys again soon after the store and its grantor were lost",
         "[keyranges][restored]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        GIVEN("keys that moved after the copy, seed " + std::to_string(seed))
        {
            RangeSimulation simulation(seed, 12, {});
            simulation.setDoReleasesRaiseFences(true);
            simulation.replaceGrantor(milliseconds{0});
            moveSinceCopy(simulation);
            WHEN("the store comes back from the copy, and the grantor is lost")
            {
                simulation.restoreCopy(electionTime);
                simulation.run(electionTime);
                const auto rest = simulation.timeUntilServed(longestWait);
                THEN("all keys are served within the time limit, and stay so")
                {
                    CHECK(electionTime + rest < recoveryTimeLimit);
                    simulation.run(seconds{15});
                    CHECK(simulation.timeUntilServed(longestWait) == Duration{0});
                    checkOwners(simulation);
                }
            }
            WHEN("an upstream doesn't answer meanwhile")
            {
                simulation.freeze(5, seconds{30});
                simulation.restoreCopy(electionTime);
                simulation.run(electionTime);
                const auto rest = simulation.timeUntilServed(longestWait);
                THEN("all keys but its own are served once the longest grants have run out")
                {
                    CHECK(rest == longestWait);
                    CHECK(simulation.servedKeyCount() > 65536 * 8 / 10);
                    checkOwners(simulation);
                }
            }
        }
    }
}

SCENARIO("RangeGrantor waits for the longest grants where releases don't raise fences",
         "[keyranges][restored]")
{
    GIVEN("keys that moved after the copy")
    {
        RangeSimulation simulation(1, 12, {0.1, 0});
        simulation.setDoReleasesRaiseFences(false);
        moveSinceCopy(simulation);
        WHEN("the store comes back from the copy, and the grantor is lost")
        {
            simulation.restoreCopy(electionTime);
            simulation.setFaults({});
            simulation.run(electionTime);
            const auto rest = simulation.timeUntilServed(longestWait);
            THEN("all keys are served after they have run out")
            {
                CHECK(rest > seconds{9});
                CHECK(rest < longestWait);
                checkOwners(simulation);
            }
        }
    }
}

SCENARIO("RangeGrantor gives no key two owners after restorations under random faults",
         "[keyranges][restored]")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        GIVEN("seed " + std::to_string(seed))
        {
            RangeSimulation simulation(seed, 8, {0.15, 0.2});
            simulation.setDoReleasesRaiseFences(seed % 5 != 0);
            simulation.replaceGrantor(milliseconds{0});
            std::mt19937_64 random(seed * 91);
            simulation.run(seconds{3});
            simulation.keepCopy();
            for (auto round = 0; round < 16; ++round) {
                switch (random() % 9) {
                case 0:
                    simulation.keepCopy();
                    break;
                case 1:
                    simulation.restoreCopy(milliseconds{random() % 3000});
                    break;
                case 2:
                    // Also in the middle of a release round.
                    simulation.replaceGrantor(milliseconds{random() % 1500});
                    break;
                case 3:
                    simulation.crash(static_cast<int>(random() % 8), milliseconds{random() % 4000});
                    break;
                case 4:
                    simulation.freeze(static_cast<int>(random() % 8),
                                      milliseconds{random() % 6000});
                    break;
                case 5:
                    simulation.setHotKeys(KeyRange{20'000, 20'199}, 200);
                    break;
                case 6:
                    simulation.setHotKeys(KeyRange{40'000, 40'059}, 150);
                    break;
                case 7:
                    simulation.setGrantsProlonged(random() % 2 == 0);
                    break;
                default:
                    // A round without other faults can come to its end.
                    simulation.setFaults(random() % 2 == 0 ? RangeSimulationFaults{}
                                                           : RangeSimulationFaults{0.15, 0.2});
                    break;
                }
                simulation.run(milliseconds{300 + random() % 2500});
            }
            simulation.setFaults({});
            simulation.setGrantsProlonged(false);
            simulation.setHotKeys(KeyRange{0, 0}, 0);
            // The longest suspension, the longest grant of an earlier grantor, and the time limit
            // for a lost upstream.
            simulation.run(seconds{6} + seconds{10} + recoveryTimeLimit);
            THEN("no key ever had two owners, fences rose, and all keys are served at the end")
            {
                checkOwners(simulation);
                CHECK(simulation.servedKeyCount() == 65536);
            }
        }
    }
}
