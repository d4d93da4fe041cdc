#include "edge/tests/statementfleet.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Replaces half of the upstreams, one every two seconds.
auto replaceHalf(StatementFleet &fleet) -> void
{
    fleet.run(seconds{10});
    fleet.resetCounts();
    for (std::size_t upstream = 0; upstream < 6; ++upstream) {
        fleet.replace(upstream);
        fleet.run(seconds{2});
    }
    fleet.run(seconds{10});
}

} // namespace

// Guards against requests to upstreams that have stated that they leave, while the store doesn't
// show it.
SCENARIO("GrantorRole: given upstreams that state in their answers that they leave, no request "
         "goes to them any more",
         "[edge][leaving]")
{
    StatementFleetSettings settings;
    settings.isSharded = GENERATE(true, false);
    settings.seed = GENERATE(1, 2, 3);
    StatementFleet fleet(settings);
    replaceHalf(fleet);
    settings.isLeavingInStore = true;
    StatementFleet announced(settings);
    replaceHalf(announced);
    std::cout << "leaving by answers alone, " << (settings.isSharded ? "sharded" : "not sharded")
              << ", seed " << settings.seed << ": served " << fleet.servedShare()
              << ", announced in the store " << announced.servedShare() << ", late requests "
              << fleet.lateRequestCount() << "\n";
    CHECK(fleet.lateRequestCount() == 0);
    CHECK(fleet.servedShare() >= announced.servedShare() - 0.03);
}

// Guards against requests to upstreams that have rejected some with a pause.
SCENARIO("GrantorRole: given upstreams that reject requests with a pause, their pauses are kept",
         "[edge][pauses]")
{
    StatementFleetSettings settings;
    settings.requestsPerSecond = GENERATE(150.0, 250.0);
    settings.isSharded = GENERATE(true, false);
    settings.seed = GENERATE(1, 2, 3);
    const auto overloadedCount = GENERATE(std::size_t{1}, std::size_t{4});
    const auto overload = [&](StatementFleet &fleet) {
        fleet.run(seconds{10});
        fleet.resetCounts();
        for (std::size_t upstream = 0; upstream < overloadedCount; ++upstream) {
            fleet.setRealSlots(upstream, 1);
        }
        fleet.run(seconds{20});
        return fleet.servedShare();
    };
    StatementFleet slotsAlone(settings);
    const auto shareOfSlotsAlone = overload(slotsAlone);
    settings.pause = milliseconds{GENERATE(1000, 3000)};
    StatementFleet fleet(settings);
    const auto share = overload(fleet);
    std::cout << "pauses of " << settings.pause->count() / 1000 << " ms by " << overloadedCount
              << " upstreams, " << (settings.isSharded ? "sharded" : "not sharded") << ", seed "
              << settings.seed << ", " << settings.requestsPerSecond
              << " requests a second: served " << share << ", slots alone " << shareOfSlotsAlone
              << ", rejections with pause " << fleet.pauseCount() << ", most requests in a pause "
              << fleet.maxRequestsInPause() << "\n";
    CHECK(fleet.pauseCount() > 0);
    CHECK(fleet.maxRequestsInPause() <= 2);
    CHECK(share >= shareOfSlotsAlone - 0.03);
}
