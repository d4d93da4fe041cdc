#include "edge/tests/grantorfleet.h"

#include "common/hash.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("GrantorWatch finds grantors with few store calls", "[grantorwatch]")
{
    GIVEN("a hundred daemons that start together, ten of them on strong VMs")
    {
        GrantorFleet fleet(90, 10);
        fleet.run(seconds{3});
        THEN("all know one grantor of each service")
        {
            for (const auto &service : serviceNames) {
                CHECK(fleet.knownGrantors(service).size() == 1);
                CHECK_FALSE(fleet.knownGrantors(service).contains("none"));
            }
        }
        THEN("no daemon grants two services while strong VMs grant none")
        {
            for (const auto &daemon : fleet.daemons) {
                CHECK(daemon->roles.servingCount() <= 1);
            }
        }
        THEN("a minute without changes costs few calls: renewals, and the stand-bys' watches")
        {
            const auto before = fleet.store.callCount();
            fleet.run(seconds{60});
            const auto renewals = 60 * 3 * 1000 / 400;
            CHECK(fleet.store.callCount() - before < renewals + 100);
        }
    }
    GIVEN("a hundred daemons, of which the only one on a strong VM becomes grantor of all services")
    {
        GrantorFleet fleet(99, 1);
        fleet.run(seconds{3});
        THEN("no other daemon opens a lease for a service that has a grantor")
        {
            CHECK(fleet.store.leaseCount() == serviceNames.size());
        }
    }
    GIVEN("a fleet whose grantors are lost")
    {
        for (const auto strong : {0, 4}) {
            GrantorFleet fleet(30, strong);
            fleet.run(seconds{3});
            REQUIRE(fleet.stopGrantors() > 0);
            fleet.run(seconds{4});
            THEN("all know the new ones within 4 s; strong VMs: " + std::to_string(strong))
            {
                for (const auto &service : serviceNames) {
                    const auto known = fleet.knownGrantors(service);
                    REQUIRE(known.size() == 1);
                    const auto found = std::find_if(
                        fleet.daemons.begin(), fleet.daemons.end(), [&](const auto &daemon) {
                            return daemon->address.value == *known.begin();
                        });
                    REQUIRE(found != fleet.daemons.end());
                    CHECK((*found)->isAlive);
                }
            }
        }
    }
    GIVEN("lost grantors and no live stand-by")
    {
        GrantorFleet fleet(30, 0);
        fleet.run(seconds{3});
        fleet.stopGrantors();
        for (auto &daemon : fleet.daemons) {
            const auto id = daemon->roles.settings().daemon.value;
            const auto isStandBy = stableHash(id) % GrantorWatchSettings{}.standByOneIn == 0;
            daemon->isAlive = daemon->isAlive && !isStandBy;
        }
        fleet.run(seconds{5});
        THEN("the others notice the silence and take over within 5 s")
        {
            for (const auto &service : serviceNames) {
                CHECK(fleet.knownGrantors(service).size() == 1);
                CHECK_FALSE(fleet.knownGrantors(service).contains("none"));
            }
        }
    }
}

SCENARIO("GrantorWatch notices that grantors have lost their leases in an outage", "[grantorwatch]")
{
    // Guards against keys without an owner for half a minute: the store is silent until the leases
    // have run out, and the watches stay open on connections that return nothing any more.
    constexpr Duration outageTime = milliseconds{4500};
    constexpr Duration deadWatchTimeout = seconds{31};
    GrantorFleet fleet(0, 3);
    fleet.run(seconds{5});
    fleet.store.loseOpenCalls(deadWatchTimeout);
    fleet.store.mode = FakeStore::Mode::Silent;
    fleet.run(outageTime);
    fleet.store.loseOpenCalls(deadWatchTimeout);
    fleet.store.mode = FakeStore::Mode::Normal;
    fleet.run(seconds{5});
    THEN("each service has a grantor whose claim the store shows")
    {
        for (const auto &service : serviceNames) {
            const auto *claim =
                fleet.store.find(GrantorRoleSettings{}.grantorPrefix + service.value);
            REQUIRE(claim != nullptr);
            CHECK(fleet.knownGrantors(service).size() == 1);
            const auto isLed =
                std::any_of(fleet.daemons.begin(), fleet.daemons.end(), [&](const auto &daemon) {
                    return claim->value.find(daemon->address.value) != std::string::npos;
                });
            CHECK(isLed);
        }
    }
}

// Guards against a vacant place that nobody claims until the stand-bys' watches have timed out.
SCENARIO("GrantorWatch: given lost answers to the stand-bys' watches, lost grantors are replaced "
         "within 5 s",
         "[grantorwatch][lostwatch]")
{
    for (const auto strong : {0, 4}) {
        GrantorFleet fleet(30, strong);
        fleet.run(seconds{3});
        fleet.store.lostWatchPrefix = GrantorRoleSettings{}.grantorPrefix;
        REQUIRE(fleet.stopGrantors() > 0);
        fleet.run(milliseconds{2400});
        fleet.store.lostWatchPrefix.clear();
        fleet.run(milliseconds{2600});
        for (const auto &service : serviceNames) {
            const auto known = fleet.knownGrantors(service);
            CHECK(known.size() == 1);
            CHECK(std::any_of(fleet.daemons.begin(), fleet.daemons.end(), [&](const auto &daemon) {
                return daemon->isAlive && known.contains(daemon->address.value);
            }));
        }
    }
}
