#include "testcell.h"

#include <catch2/catch.hpp>

#include <future>
#include <iostream>

using namespace gooseberrywall;

namespace {

auto reservationLoad(double rate, int seconds) -> LoadSettings
{
    LoadSettings load;
    load.rate = rate;
    load.duration = std::chrono::seconds{seconds};
    load.idempotentShare = 0.5;
    load.keys = 200;
    load.deadline = std::chrono::seconds{5};
    return load;
}

/// Checks the guarantees that hold under any fault. Times are printed but not checked, since they
/// depend on the machine.
auto checkInvariants(const LoadRunReport &report) -> void
{
    std::cout << toText(report);
    REQUIRE(report.audit.has_value());
    CHECK(report.audit->doubleRuns == 0);
    CHECK(report.audit->doubleEffects == 0);
    CHECK(report.audit->overlappingOwners == 0);
    CHECK(report.audit->refusedButRun == 0);
    CHECK(report.tally.count(CallEndKind::WrongAnswer) == 0);
}

} // namespace

SCENARIO("Cell: given no fault, when requests are sent through all daemons, then all are answered",
         "[e2e]")
{
    GIVEN("three daemons in three failure domains and three upstreams")
    {
        const TestCell cell(3, 3);
        WHEN("requests of both kinds are sent through all daemons")
        {
            const auto report = cell.load(reservationLoad(200, 2));
            THEN("each is answered and none runs twice")
            {
                checkInvariants(report);
                CHECK(report.tally.count(CallEndKind::Answer) == report.tally.total());
                CHECK(report.audit->answeredWithoutRun == 0);
            }
        }
    }
}

SCENARIO("Cell: given load, when an upstream freezes and another one drains, then no invariant is "
         "violated",
         "[e2e]")
{
    GIVEN("a cell under load")
    {
        TestCell cell(3, 4);
        auto pendingReport =
            std::async(std::launch::async, [&cell] { return cell.load(reservationLoad(150, 8)); });
        std::this_thread::sleep_for(std::chrono::seconds{1});
        WHEN("an upstream freezes for four seconds and another one is drained")
        {
            cell.controlUpstream(0, "/control/freeze", R"({"ms":4000})");
            const auto drained =
                cell.admin(1, HttpMethod::Post, "/v1/upstreams/fitment-2/drain").status;
            const auto report = pendingReport.get();
            THEN("no invariant is violated and the drained one owns no shard")
            {
                CHECK(drained == 202);
                checkInvariants(report);
                CHECK(report.audit->answeredWithoutRun == 0);
                CHECK(cell.waitUntilOwned("fitment-2"));
            }
        }
    }
}

SCENARIO("Cell: given load, when an upstream crashes, then no invariant is violated", "[e2e]")
{
    GIVEN("a cell under load")
    {
        TestCell cell(3, 3);
        auto pendingReport =
            std::async(std::launch::async, [&cell] { return cell.load(reservationLoad(150, 6)); });
        std::this_thread::sleep_for(std::chrono::seconds{1});
        WHEN("an upstream crashes and a new one joins")
        {
            cell.crashUpstream(1);
            cell.addUpstream();
            const auto report = pendingReport.get();
            THEN("no invariant is violated and all shards have owners")
            {
                checkInvariants(report);
                CHECK(cell.waitUntilOwned("fitment-2"));
            }
        }
    }
}

SCENARIO(
    "Cell: given load, when the coordinator's daemon shuts down gracefully, then no request fails",
    "[e2e]")
{
    GIVEN("a cell of four daemons under load")
    {
        TestCell cell(4, 3);
        auto pendingReport =
            std::async(std::launch::async, [&cell] { return cell.load(reservationLoad(150, 5)); });
        std::this_thread::sleep_for(std::chrono::seconds{1});
        WHEN("the coordinator's daemon is shut down gracefully")
        {
            cell.shutDownDaemon(0);
            const auto report = pendingReport.get();
            THEN("no request is interrupted or refused")
            {
                checkInvariants(report);
                CHECK(report.tally.count(CallEndKind::NoAnswer) == 0);
                CHECK(report.tally.count(CallEndKind::Refused) == 0);
                CHECK(report.tally.count(CallEndKind::Unknown) == 0);
                CHECK(report.audit->answeredWithoutRun == 0);
            }
        }
    }
}

SCENARIO("Cell: given an outage of the platform's service, when requests are sent, then all are "
         "answered",
         "[e2e]")
{
    GIVEN("a cell whose platform's service is down")
    {
        TestCell cell(3, 3);
        cell.controlPlatform("/control/faults", R"({"down":true})");
        WHEN("requests are sent for longer than any lease or grant lasts")
        {
            const auto report = cell.load(reservationLoad(150, 6));
            cell.controlPlatform("/control/faults", R"({"down":false})");
            THEN("each is answered")
            {
                checkInvariants(report);
                CHECK(report.tally.count(CallEndKind::Answer) == report.tally.total());
            }
        }
    }
}
