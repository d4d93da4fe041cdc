#include "celloptions.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

auto ownersOf(const CellRecord &record) -> std::map<ShardId, UpstreamId>
{
    std::map<ShardId, UpstreamId> owners;
    for (const auto &shard : record.shards) {
        owners[shard.id] = shard.owner;
    }
    return owners;
}

} // namespace

SCENARIO("Coordinator: given a store outage, shards don't move", "[Coordinator][Grantor]")
{
    GIVEN("a served cell of today's size whose store goes down for three minutes")
    {
        VirtualCell cell(todaysCell());
        const auto start = cell.runUntilServed(20s);
        REQUIRE(start.has_value());
        // Grantor roles are spread in the first seconds, which raises fences.
        cell.run(30s);
        const auto before = cell.record();
        const auto victim = firstOwner(cell);
        cell.storeDown = true;

        WHEN("no other fault occurs")
        {
            const auto gap = cell.runSampling(180s, 50ms);
            cell.storeDown = false;
            cell.run(10s);
            THEN("all shards stay served by their owners, under the same fences")
            {
                printDuration("store outage of 180 s, longest gap at 50 ms sampling", gap);
                CHECK(gap <= 50ms);
                CHECK(cell.coordinator() >= 0);
                CHECK(cell.record().shards == before.shards);
            }
        }
        WHEN("an upstream is lost during the outage")
        {
            cell.run(60s);
            cell.crashUpstream(victim);
            cell.run(120s);
            CHECK(cell.record() == before);
            cell.storeDown = false;
            const auto time = cell.runUntilServed(20s);
            THEN("its shards, and no others, move once the store is back")
            {
                REQUIRE(time.has_value());
                printDuration("served again after the store's return", *time);
                CHECK(*time < recoveryTimeLimit);
                const auto owners = ownersOf(cell.record());
                for (const auto &[shard, owner] : ownersOf(before)) {
                    if (owner != VirtualCell::upstreamId(victim)) {
                        CHECK(owners.at(shard) == owner);
                    }
                }
            }
        }
        WHEN("a grantor is lost during the outage")
        {
            cell.run(60s);
            cell.killDaemon(grantorOf(cell, victim));
            cell.run(120s);
            cell.storeDown = false;
            const auto time = cell.runUntilServed(20s);
            THEN("its upstreams get another grantor and keep their shards")
            {
                REQUIRE(time.has_value());
                printDuration("served again after the store's return", *time);
                CHECK(*time < recoveryTimeLimit);
                CHECK(ownersOf(cell.record()) == ownersOf(before));
            }
        }
        CHECK(cell.violations.empty());
    }
}

SCENARIO("RecordWriter: given a faulty write of the record, shards are served in time",
         "[RecordWriter][Coordinator]")
{
    GIVEN("each of the first ten writes in turn refused, dropped, unanswered or late")
    {
        auto worst = Duration{0};
        auto writes = 0;
        for (const auto fault :
             {StoreFault::Refused, StoreFault::Dropped, StoreFault::AnswerLost, StoreFault::Late}) {
            for (int faulty = 0; faulty < 10; ++faulty) {
                VirtualCell cell(smallCell());
                cell.writeFaults[faulty] = fault;
                const auto start = cell.runUntilServed(20s);
                REQUIRE(start.has_value());
                cell.run(1s);
                const auto victim = firstOwner(cell);
                const auto shard = cell.record().shards.back();
                cell.extraPlan->moves.push_back({shard.id, otherUpstream(cell.record(), shard)});
                cell.crashUpstream(victim);
                worst = std::max(worst, cell.runSampling(6s, 10ms));
                CHECK(cell.violations.empty());
                CHECK(cell.unserved().empty());
                writes = std::max(writes, cell.writeNumber);
            }
        }
        THEN("shards are served in time and never have two owners")
        {
            printDuration("one faulty write and an upstream crash, worst", worst);
            std::cout << "writes a run: " << writes << "\n";
            CHECK(worst < recoveryTimeLimit);
            CHECK(writes >= 4);
        }
    }
}

SCENARIO("Coordinator: given loss or a pause of the coordinator in a transfer, another finishes it",
         "[Coordinator]")
{
    const auto paused = GENERATE(false, true);
    GIVEN(std::string(paused ? "a pause longer than the lease" : "a crash"))
    {
        auto worst = Duration{0};
        auto interruptedTransfers = 0;
        for (int step = 0; step < 50; step += 2) {
            VirtualCell cell(smallCell(7));
            const auto start = cell.runUntilServed(20s);
            REQUIRE(start.has_value());
            cell.run(3s);
            const auto shard = cell.record().shards.front();
            const auto target = otherUpstream(cell.record(), shard);
            cell.extraPlan->moves.push_back({shard.id, target});
            const auto version = cell.record().version;
            while (cell.record().version == version) {
                cell.run(1ms);
            }
            cell.run(std::chrono::milliseconds{step});
            REQUIRE(cell.coordinator() >= 0);
            if (paused) {
                cell.pauseDaemon(cell.coordinator(), 8s);
            } else {
                cell.killDaemon(cell.coordinator());
            }
            interruptedTransfers +=
                cell.record().shards.front().stage == ShardStage::Transferring ? 1 : 0;
            worst = std::max(worst, cell.runSampling(12s, 10ms));
            CHECK(cell.record().shards.front().owner == target);
            CHECK(cell.unserved().empty());
            CHECK(cell.violations.empty());
        }
        THEN("another coordinator finishes the transfer in time")
        {
            printDuration(paused ? "coordinator paused in a transfer, worst"
                                 : "coordinator lost in a transfer, worst",
                          worst);
            CHECK(worst < recoveryTimeLimit);
            CHECK(interruptedTransfers > 0);
        }
    }
}

SCENARIO("Coordinator: given a paused or isolated coordinator, another takes over", "[Coordinator]")
{
    GIVEN("a coordinator that is paused for 6 s while an upstream crashes, and then continues")
    {
        VirtualCell cell(todaysCell());
        const auto start = cell.runUntilServed(20s);
        REQUIRE(start.has_value());
        cell.run(3s);
        const auto old = cell.coordinator();
        REQUIRE(old >= 0);
        cell.crashUpstream(firstOwner(cell));
        cell.run(700ms);
        cell.pauseDaemon(old, 6s);
        const auto gap = cell.runSampling(6s, 5ms);
        const auto owners = ownersOf(cell.record());
        cell.run(6s);
        THEN("no shard moves again or has two owners")
        {
            printDuration("crash while the coordinator is paused", gap);
            CHECK(gap < recoveryTimeLimit);
            CHECK(ownersOf(cell.record()) == owners);
            CHECK(cell.unserved().empty());
            CHECK(cell.violations.empty());
        }
    }
    GIVEN("a coordinator that reaches the store, but neither daemons nor upstreams")
    {
        VirtualCell cell(todaysCell());
        const auto start = cell.runUntilServed(20s);
        REQUIRE(start.has_value());
        cell.run(3s);
        const auto old = cell.coordinator();
        REQUIRE(old >= 0);
        cell.setIsolation(old, Isolation::FromAll);
        cell.crashUpstream(firstOwner(cell));
        const auto gap = cell.runSampling(10s, 5ms);
        THEN("another coordinator takes over in time")
        {
            printDuration("crash while the coordinator is cut off", gap);
            CHECK(gap < recoveryTimeLimit);
            CHECK(cell.record().coordinator != VirtualCell::daemonId(old));
            CHECK(cell.violations.empty());
        }
    }
}

SCENARIO("Coordinator: given lost, duplicated and reordered messages, shards are served in time",
         "[Coordinator][Grantor][TableKeeper]")
{
    GIVEN("5 % of messages lost, 5 % duplicated, and a jitter of up to 20 ms")
    {
        auto worst = Duration{0};
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            auto options = smallCell(seed);
            options.dropProbability = 0.05;
            options.duplicateProbability = 0.05;
            options.maxJitter = 20ms;
            VirtualCell cell(options);
            const auto start = cell.runUntilServed(20s);
            REQUIRE(start.has_value());
            cell.run(3s);
            const auto shard = cell.record().shards.back();
            cell.extraPlan->moves.push_back({shard.id, otherUpstream(cell.record(), shard)});
            const auto victim = firstOwner(cell);
            cell.freezeUpstream(victim, 4s);
            cell.killDaemon(grantorOf(cell, (victim + 1) % 9));
            worst = std::max(worst, cell.runSampling(10s, 10ms));
            CHECK(cell.violations.empty());
        }
        THEN("shards are served in time and never have two owners")
        {
            printDuration("freeze, grantor loss and move on a bad network, worst", worst);
            CHECK(worst < recoveryTimeLimit);
        }
    }
}
