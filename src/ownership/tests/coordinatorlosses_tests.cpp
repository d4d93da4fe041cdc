#include "celloptions.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using namespace std::chrono_literals;

SCENARIO("Coordinator: given a loss, shards are served again in time", "[Coordinator][Grantor]")
{
    GIVEN("27 daemons, 41 upstreams and four failure domains, all shards served")
    {
        VirtualCell cell(todaysCell());
        const auto start = cell.runUntilServed(20s);
        REQUIRE(start.has_value());
        cell.run(3s);
        const auto victim = firstOwner(cell);

        WHEN("an upstream crashes")
        {
            cell.crashUpstream(victim);
            const auto gap = cell.runSampling(8s, 5ms);
            THEN("its shards are served in time")
            {
                printDuration("upstream crash", gap);
                CHECK(gap < recoveryTimeLimit);
                CHECK(cell.unserved().empty());
            }
        }
        WHEN("an upstream freezes for 4 s")
        {
            cell.freezeUpstream(victim, 4s);
            const auto gap = cell.runSampling(8s, 5ms);
            THEN("its shards are served in time")
            {
                printDuration("upstream freeze of 4 s", gap);
                CHECK(gap < recoveryTimeLimit);
                CHECK(cell.unserved().empty());
            }
        }
        WHEN("an upstream restarts at once")
        {
            cell.restartUpstream(victim);
            const auto gap = cell.runSampling(8s, 5ms);
            THEN("its shards are served in time")
            {
                printDuration("upstream restart", gap);
                CHECK(gap < recoveryTimeLimit);
                CHECK(cell.unserved().empty());
            }
        }
        WHEN("the grantor of an upstream is lost")
        {
            cell.killDaemon(grantorOf(cell, victim));
            const auto gap = cell.runSampling(8s, 5ms);
            THEN("its shards are served in time")
            {
                printDuration("loss of a grantor", gap);
                CHECK(gap < recoveryTimeLimit);
                CHECK(cell.unserved().empty());
            }
        }
        WHEN("the coordinator is lost together with an upstream")
        {
            REQUIRE(cell.coordinator() >= 0);
            cell.killDaemon(cell.coordinator());
            cell.crashUpstream(victim);
            const auto gap = cell.runSampling(8s, 5ms);
            THEN("its shards are served in time")
            {
                printDuration("loss of coordinator and upstream", gap);
                CHECK(gap < recoveryTimeLimit);
                CHECK(cell.unserved().empty());
            }
        }
        for (int domain = 0; domain < 4; ++domain) {
            WHEN("failure domain " + std::to_string(domain) + " is lost")
            {
                cell.loseDomain(domain);
                const auto gap = cell.runSampling(8s, 5ms);
                THEN("its shards are served in time")
                {
                    printDuration("loss of failure domain " + std::to_string(domain), gap);
                    CHECK(gap < recoveryTimeLimit);
                    CHECK(cell.unserved().empty());
                }
            }
        }
        CHECK(cell.violations.empty());
    }
}

SCENARIO("Coordinator: given planned moves, shards are interrupted only briefly",
         "[Coordinator][Grantor]")
{
    GIVEN("27 daemons, 41 upstreams and four failure domains, all shards served")
    {
        VirtualCell cell(todaysCell());
        const auto start = cell.runUntilServed(20s);
        REQUIRE(start.has_value());
        cell.run(3s);
        const auto victim = firstOwner(cell);

        WHEN("one shard moves")
        {
            const auto shard = cell.record().shards.front().id;
            const auto target = otherUpstream(cell.record(), cell.record().shards.front());
            cell.extraPlan->moves.push_back({shard, target});
            const auto gap = cell.runSampling(3s, 1ms);
            THEN("its new owner serves it after a short interruption")
            {
                printDuration("planned move", gap);
                CHECK(cell.record().shards.front().owner == target);
                CHECK(gap <= plannedMoveInterruptionLimit);
            }
        }
        WHEN("an upstream is leaving")
        {
            cell.setLeaving(victim);
            const auto gap = cell.runSampling(4s, 1ms);
            THEN("all its shards move, with a short interruption of each")
            {
                printDuration("drain by the VM list", gap);
                CHECK(gap <= plannedMoveInterruptionLimit);
                CHECK(cell.unserved().empty());
                for (const auto &shard : cell.record().shards) {
                    CHECK(shard.owner != VirtualCell::upstreamId(victim));
                }
            }
        }
        WHEN("an operator drains an upstream and ends the drain")
        {
            const auto id = VirtualCell::upstreamId(victim);
            cell.sendToCoordinator(OperatorOrder{OperatorAction::Drain, id.value});
            const auto gap = cell.runSampling(2s, 1ms);
            printDuration("drain by an operator", gap);
            CHECK(gap <= plannedMoveInterruptionLimit);
            CHECK(cell.record().shards.front().owner != id);
            cell.sendToCoordinator(OperatorOrder{OperatorAction::Undrain, id.value});
            cell.run(1s);
            THEN("it is live and may get shards again")
            {
                for (const auto &entry : cell.record().upstreams) {
                    if (entry.id == id) {
                        CHECK(entry.state == UpstreamState::Live);
                    }
                }
            }
        }
        CHECK(cell.violations.empty());
    }
}

SCENARIO("Coordinator: given upstreams that don't check the sender, shards are served in time",
         "[Coordinator][Grantor]")
{
    const auto authority = GENERATE(0ms, 1000ms);
    GIVEN("upstreams that don't check the sender, grantor authority "
          + std::to_string(authority.count()) + " ms")
    {
        auto options = todaysCell();
        for (auto &service : options.services) {
            service.checksSender = false;
            service.grantorAuthority = authority;
        }
        VirtualCell cell(options);
        REQUIRE(cell.runUntilServed(20s).has_value());
        cell.run(3s);
        const auto steady = cell.runSampling(10s, 20ms);
        CHECK(steady <= plannedMoveInterruptionLimit);
        const auto victim = firstOwner(cell);
        const auto what = "unchecked, authority " + std::to_string(authority.count()) + " ms, ";
        WHEN("a grantor is lost")
        {
            cell.killDaemon(grantorOf(cell, victim));
            const auto gap = cell.runSampling(8s, 5ms);
            THEN("its upstream's shards are served in time")
            {
                printDuration(what + "loss of a grantor", gap);
                CHECK(gap < recoveryTimeLimit);
                CHECK(cell.unserved().empty());
            }
        }
        WHEN("an upstream is lost")
        {
            cell.crashUpstream(victim);
            const auto gap = cell.runSampling(8s, 5ms);
            THEN("its shards are served in time")
            {
                printDuration(what + "loss of an upstream", gap);
                CHECK(gap < recoveryTimeLimit);
                CHECK(cell.unserved().empty());
            }
        }
        WHEN("a failure domain is lost")
        {
            cell.loseDomain(2);
            const auto gap = cell.runSampling(8s, 5ms);
            THEN("its shards are served in time")
            {
                printDuration(what + "loss of a failure domain", gap);
                CHECK(gap < recoveryTimeLimit);
                CHECK(cell.unserved().empty());
            }
        }
        WHEN("an upstream is leaving")
        {
            cell.setLeaving(victim);
            const auto gap = cell.runSampling(4s, 1ms);
            THEN("its shards move with a short interruption")
            {
                printDuration(what + "drain", gap);
                CHECK(gap <= plannedMoveInterruptionLimit);
                CHECK(cell.unserved().empty());
            }
        }
        CHECK(cell.violations.empty());
    }
}
