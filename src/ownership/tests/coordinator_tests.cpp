#include "celloptions.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

auto domainOf(const VirtualCellOptions &options, const DaemonId &daemon) -> FailureDomain
{
    return FailureDomain{"z" + std::to_string(std::stoi(daemon.value.substr(1)) % options.domains)};
}

} // namespace

SCENARIO("Coordinator: grantors and stand-bys are in other failure domains than their upstream",
         "[Coordinator]")
{
    GIVEN("a served cell of today's size")
    {
        const auto options = todaysCell();
        VirtualCell cell(options);
        REQUIRE(cell.runUntilServed(20s).has_value());
        std::map<DaemonId, int> grantorCounts;
        for (const auto &entry : cell.record().upstreams) {
            const auto grantorDomain = domainOf(options, entry.grantor);
            const auto standbyDomain = domainOf(options, entry.standby);
            CHECK(grantorDomain != entry.domain);
            CHECK(standbyDomain != entry.domain);
            CHECK(standbyDomain != grantorDomain);
            ++grantorCounts[entry.grantor];
        }
        THEN("no daemon is the grantor of more than three upstreams")
        {
            for (const auto &[daemon, count] : grantorCounts) {
                CHECK(count <= 3);
            }
        }
        WHEN("a grantor is lost")
        {
            const auto entry = cell.record().upstreams.front();
            cell.killDaemon(grantorOf(cell, std::stoi(entry.id.value.substr(1))));
            cell.run(3s);
            const auto after = cell.record().upstreams.front();
            THEN("its stand-by becomes the grantor under a higher term")
            {
                CHECK(after.grantor == entry.standby);
                CHECK(after.term > entry.term);
                CHECK(after.formerGrantors.empty());
                CHECK(domainOf(options, after.standby) != domainOf(options, after.grantor));
            }
        }
    }
}

SCENARIO("PinPlanner: a hot key is pinned to a shard of its own and unpinned again", "[PinPlanner]")
{
    GIVEN("a served cell with a pinned key")
    {
        VirtualCell cell(smallCell());
        REQUIRE(cell.runUntilServed(20s).has_value());
        cell.run(2s);
        const PlannedPin pin{ServiceName{"fitment"}, Key{"lid-24"}, true};
        const auto range = Table(cell.record()).shardOf(pin.service, pin.key).value();
        const auto before = *Table(cell.record()).shard(range);
        cell.extraPlan->pins.push_back(pin);
        const auto gap = cell.runSampling(3s, 1ms);
        cell.extraPlan->pins.clear();
        REQUIRE(cell.record().pinnedKeys.size() == 1);
        const auto pinned = Table(cell.record()).shardOf(pin.service, pin.key).value();
        THEN("its owner holds both shards, the range under a higher fence, after a short "
             "interruption")
        {
            printDuration("pinning a key", gap);
            CHECK(gap <= plannedMoveInterruptionLimit);
            CHECK(pinned != range);
            CHECK(Table(cell.record()).shard(pinned)->owner == before.owner);
            CHECK(Table(cell.record()).shard(range)->owner == before.owner);
            CHECK(Table(cell.record()).shard(range)->fence > before.fence);
            CHECK(cell.unserved().empty());
        }
        WHEN("the key's shard moves to another upstream")
        {
            const auto target = otherUpstream(cell.record(), before);
            cell.extraPlan->moves.push_back({pinned, target});
            cell.run(3s);
            cell.extraPlan->moves.clear();
            REQUIRE(Table(cell.record()).shard(pinned)->owner == target);
            cell.extraPlan->pins.push_back({pin.service, pin.key, false});
            cell.run(3s);
            THEN("the key isn't unpinned while its shard has another owner than its range")
            {
                CHECK(cell.record().pinnedKeys.size() == 1);
            }
        }
        WHEN("the key is unpinned")
        {
            cell.extraPlan->pins.push_back({pin.service, pin.key, false});
            cell.run(3s);
            THEN("its shard is removed and its range serves it again")
            {
                CHECK(cell.record().pinnedKeys.empty());
                CHECK(Table(cell.record()).shard(pinned) == nullptr);
                CHECK(cell.unserved().empty());
            }
        }
        CHECK(cell.violations.empty());
    }
}

SCENARIO("Coordinator: requests that were running at two crashes are quarantined", "[Coordinator]")
{
    GIVEN("a served cell and a repeated crash report of two requests")
    {
        VirtualCell cell(smallCell());
        REQUIRE(cell.runUntilServed(20s).has_value());
        const auto first = cell.record().upstreams[0];
        const auto second = cell.record().upstreams[1];
        const QuarantinedRequest crashing{RequestId{"crashing"}, first.service, Key{"k1"}};
        const QuarantinedRequest harmless{RequestId{"harmless"}, first.service, Key{"k2"}};
        cell.sendToCoordinator(CrashSuspects{first.id, first.incarnation, {crashing, harmless}});
        cell.sendToCoordinator(CrashSuspects{first.id, first.incarnation, {crashing, harmless}});
        cell.run(1s);
        CHECK(cell.record().quarantine.empty());
        WHEN("the coordinator is lost, and one of them is running at another crash")
        {
            cell.killDaemon(cell.coordinator());
            cell.run(5s);
            cell.sendToCoordinator(CrashSuspects{second.id, second.incarnation, {crashing}});
            cell.run(1s);
            THEN("only that one is quarantined, until an operator lifts it")
            {
                REQUIRE(cell.record().quarantine.size() == 1);
                CHECK(cell.record().quarantine[0] == crashing);
                cell.sendToCoordinator(OperatorOrder{OperatorAction::LiftQuarantine, "crashing"});
                cell.run(1s);
                CHECK(cell.record().quarantine.empty());
            }
        }
        WHEN("one of them completes a run, and both are running at another crash")
        {
            REQUIRE(cell.record().suspectedCrashes.size() == 2);
            cell.sendToCoordinator(SuspectsCleared{{harmless}});
            cell.run(2s);
            REQUIRE(cell.record().suspectedCrashes.size() == 1);
            CHECK(cell.record().suspectedCrashes[0].request == crashing);
            cell.sendToCoordinator(
                CrashSuspects{second.id, second.incarnation, {crashing, harmless}});
            cell.run(1s);
            THEN("only the other one is quarantined, and the new crash counts for the first")
            {
                REQUIRE(cell.record().quarantine.size() == 1);
                CHECK(cell.record().quarantine[0] == crashing);
                REQUIRE(cell.record().suspectedCrashes.size() == 1);
                CHECK(cell.record().suspectedCrashes[0].request == harmless);
            }
        }
        WHEN("one of them completes a run and crashes another upstream before the next write")
        {
            cell.sendToCoordinator(SuspectsCleared{{harmless}});
            cell.sendToCoordinator(CrashSuspects{second.id, second.incarnation, {harmless}});
            cell.run(2s);
            THEN("only the later crash counts")
            {
                CHECK(cell.record().quarantine.empty());
                REQUIRE(cell.record().suspectedCrashes.size() == 2);
                CHECK(cell.record().suspectedCrashes[1].upstream == second.id);
            }
        }
    }
}

SCENARIO(
    "Coordinator: given loss of an upstream and its grantor, shards wait for the grantor's end",
    "[Coordinator][Grantor]")
{
    GIVEN("a served cell whose upstreams check the sender, without a bound on the authority")
    {
        VirtualCell cell(todaysCell());
        REQUIRE(cell.runUntilServed(20s).has_value());
        cell.run(2s);
        const auto victim = firstOwner(cell);
        const auto grantor = grantorOf(cell, victim);
        cell.killDaemon(grantor);
        cell.crashUpstream(victim);
        cell.run(10s);
        THEN("its shards stay unserved, since the grantor may still renew their grants")
        {
            CHECK_FALSE(cell.unserved().empty());
            CHECK(cell.record().shards.front().owner == VirtualCell::upstreamId(victim));
        }
        WHEN("the grantor restarts under a new incarnation")
        {
            cell.restartDaemon(grantor);
            const auto time = cell.runUntilServed(20s);
            THEN("the shards are served again after the last grant's time to live")
            {
                REQUIRE(time.has_value());
                printDuration("double loss, after the grantor's restart", *time);
                CHECK(*time < recoveryTimeLimit);
            }
        }
        CHECK(cell.violations.empty());
    }
    GIVEN("a served cell with a grantor authority of 1.5 s")
    {
        auto options = todaysCell();
        for (auto &service : options.services) {
            service.grantorAuthority = 1500ms;
        }
        VirtualCell cell(options);
        REQUIRE(cell.runUntilServed(20s).has_value());
        cell.run(2s);
        const auto victim = firstOwner(cell);
        cell.killDaemon(grantorOf(cell, victim));
        cell.crashUpstream(victim);
        const auto gap = cell.runSampling(10s, 5ms);
        THEN("the shards are served again after the authority has expired")
        {
            printDuration("double loss, authority of 1.5 s", gap);
            CHECK(gap < recoveryTimeLimit);
            CHECK(cell.unserved().empty());
            CHECK(cell.violations.empty());
        }
    }
}
