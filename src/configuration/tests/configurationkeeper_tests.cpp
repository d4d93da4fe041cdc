#include "configuration/tests/configurationcell.h"

#include "configuration/configurationtree.h"
#include "configuration/manifestcodec.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t currentCellSize = 27;
/// How long a change may take to be in force at all daemons of a cell of the current size.
constexpr auto inForceLimit = 2s;

auto fitmentWith(int slots, std::uint64_t expected) -> EditRequest
{
    return setRequest("service fitment",
                      "[service fitment]\nowner = gaskets\nslots = " + std::to_string(slots) + "\n",
                      expected, gasketsToken);
}

auto generationOf(const ConfigurationCell &cell) -> std::uint64_t
{
    return decodeManifest(cell.store.peek(manifestKey)->value)->generation;
}

auto writeAndAwaitExample(ConfigurationCell &cell) -> void
{
    writeExampleDocument(cell);
    const auto ended = [&cell] { return cell.allHaveReached(generationOf(cell)); };
    REQUIRE(cell.runUntil(inForceLimit, ended));
}

auto slotsOf(ConfigurationCell &cell, std::size_t daemon) -> int
{
    const auto &policies = cell.keeper(daemon).document().policies();
    return policies.empty() ? 0 : policies.front().slots;
}

} // namespace

SCENARIO("ConfigurationKeeper: given a change, then it is in force at every daemon", "[keeper]")
{
    GIVEN("a cell of the current size")
    {
        auto cell = ConfigurationCell(currentCellSize);
        writeAndAwaitExample(cell);
        WHEN("a section is changed through one daemon")
        {
            const auto ended = cell.edit(20, fitmentWith(5, 1));
            const auto inForce = [&] { return cell.allHaveReached(ended.generation); };
            THEN("it is in force in time, and each daemon returns the policies once")
            {
                CHECK(cell.runUntil(inForceLimit, inForce));
                for (std::size_t daemon = 0; daemon < cell.size(); ++daemon) {
                    CHECK(slotsOf(cell, daemon) == 5);
                    CHECK(cell.keeper(daemon).takePolicies());
                    CHECK_FALSE(cell.keeper(daemon).takePolicies());
                }
                cell.run(2s);
                CHECK(cell.keeper(3).laggingDaemons(ended.generation).empty());
                CHECK(cell.keeper(3).laggingDaemons(ended.generation + 1).size()
                      == currentCellSize);
            }
        }
        WHEN("ten minutes pass without a change")
        {
            cell.run(1s);
            cell.store.resetCounts();
            cell.stepDuration = 10ms;
            cell.run(600s);
            THEN("two readers watch the store and the other daemons poll it at long intervals")
            {
                const auto watchLimit = 2 * 600 / 20 + 2;
                const auto pollLimit = 25 * 600 / 30 + 25;
                CHECK(cell.store.counts().reads() <= watchLimit + pollLimit);
                CHECK(cell.store.counts().writes() == 0);
            }
        }
        WHEN("messages are lost, duplicated and reordered, and the store's watches are late and "
             "doubled")
        {
            cell.peerFaults = {40, 30, Duration{200ms}};
            auto faults = StoreFaults{};
            faults.watchDelay = 300ms;
            faults.doubleWatchEvents = 50;
            cell.store.setFaults(cell.now, faults);
            for (auto change = 0; change < 10; ++change) {
                CHECK(toString(cell.edit(5, fitmentWith(10 + change, 1 + change)).status)
                      == "done");
                cell.run(50ms);
            }
            const auto inForce = [&] { return cell.allHaveReached(generationOf(cell)); };
            THEN("all daemons reach the last change, and no generation ever decreases")
            {
                CHECK(cell.runUntil(16s, inForce));
                CHECK(slotsOf(cell, 13) == 19);
                CHECK(cell.generationDecreases() == 0);
            }
        }
        WHEN("a change is written but not accepted")
        {
            cell.failWrite(1, WriteFault::LostWrite);
            const auto before = generationOf(cell);
            cell.start(7, fitmentWith(9, 1));
            cell.run(4ms);
            cell.pause(7);
            cell.run(3s);
            THEN("it is in force nowhere")
            {
                CHECK(cell.store.peek("config/section/service/fitment/2"));
                CHECK(generationOf(cell) == before);
                CHECK(slotsOf(cell, 0) == 3);
            }
        }
    }
}

SCENARIO("ConfigurationKeeper: given outdated documents, then its generation never decreases",
         "[keeper]")
{
    GIVEN("a cell with a daemon that is paused while sections change")
    {
        auto cell = ConfigurationCell(9);
        writeAndAwaitExample(cell);
        for (const auto paused : {std::size_t{0}, std::size_t{5}}) {
            WHEN("daemon " + std::to_string(paused) + " resumes with an old document")
            {
                cell.pause(paused);
                const auto ended = cell.edit(8, fitmentWith(5, 1));
                cell.run(30s);
                const auto old = cell.keeper(paused).generation();
                CHECK(old < ended.generation);
                cell.resume(paused);
                const auto inForce = [&] { return cell.allHaveReached(ended.generation); };
                THEN("it gets the current one in time, and no daemon installs its old one")
                {
                    CHECK(cell.runUntil(inForceLimit, inForce));
                    CHECK(cell.generationDecreases() == 0);
                }
            }
        }
        WHEN("a daemon restarts during an outage of the store")
        {
            const auto ended = cell.edit(8, fitmentWith(5, 1));
            cell.run(2s);
            auto down = StoreFaults{};
            down.down = true;
            cell.store.setFaults(cell.now, down);
            for (const auto restarted : {std::size_t{0}, std::size_t{5}}) {
                cell.restart(restarted);
            }
            const auto inForce = [&] { return cell.allHaveReached(ended.generation); };
            THEN("it gets the accepted document from other daemons")
            {
                CHECK(cell.runUntil(inForceLimit, inForce));
                CHECK(slotsOf(cell, 0) == 5);
            }
        }
        WHEN("a daemon restarts and the first to answer it has an old document")
        {
            cell.disconnectFromStore(1);
            cell.peerFaults.lossPercent = 100;
            cell.edit(8, fitmentWith(5, 1));
            cell.run(500ms);
            cell.peerFaults.lossPercent = 0;
            cell.heartbeatInterval = 250ms;
            cell.restart(5);
            const auto initialized = [&] { return cell.keeper(5).isInitialized(); };
            CHECK_FALSE(cell.keeper(5).takePolicies());
            THEN("it returns no policies before it has the current ones")
            {
                REQUIRE(cell.runUntil(5s, initialized));
                CHECK(slotsOf(cell, 5) == 5);
                REQUIRE(cell.keeper(5).takePolicies());
            }
        }
        WHEN("the store has lost its data")
        {
            cell.edit(8, fitmentWith(5, 1));
            cell.run(2s);
            const auto before = cell.keeper(4).generation();
            cell.store = PlatformStore();
            cell.run(30s);
            THEN("the daemons keep their document, and no edit starts from an empty one")
            {
                CHECK(cell.allHaveReached(before));
                CHECK(cell.generationDecreases() == 0);
                const auto ended = cell.edit(3, fitmentWith(6, 2));
                CHECK(toString(ended.status) == "unavailable");
                CHECK(cell.keeper(4).generation() == before);
            }
        }
    }
    GIVEN("a section whose text was overwritten in the store by another program")
    {
        auto cell = ConfigurationCell(1);
        writeAndAwaitExample(cell);
        auto record = SectionRecord{};
        record.version = 1;
        record.text = "[service fitment]\nowner = gaskets\nslots = 9\n";
        cell.store.receive(cell.now, CallId{~std::uint64_t{0}},
                           StoreCompareAndSwap{sectionKey({"service fitment"}, 1),
                                               encodeSectionRecord(record), StoreVersion{1}});
        REQUIRE(cell.store.peek(sectionKey({"service fitment"}, 1))->version == StoreVersion{2});
        WHEN("the daemon restarts and an operator edits")
        {
            cell.restart(0);
            cell.run(5s);
            const auto ended = cell.edit(0, fitmentWith(5, 1));
            THEN("the text that was never accepted is neither in force nor the base of an edit")
            {
                CHECK(cell.keeper(0).generation() == 0);
                CHECK_FALSE(cell.keeper(0).isInitialized());
                CHECK(toString(ended.status) == "unavailable");
            }
        }
    }
    GIVEN("a daemon whose peer sends updates that can't be applied")
    {
        auto cell = ConfigurationCell(1);
        writeAndAwaitExample(cell);
        auto outbox = Outbox();
        auto &keeper = cell.keeper(0);
        const auto before = keeper.generation();
        const auto peer = DaemonId{"d00009"};
        WHEN("an older, a duplicate, a partial and an invalid update arrive")
        {
            const auto text = std::string("[service x]\nowner = nobody\n");
            keeper.onMessage(cell.now, peer, ConfigurationUpdate{before - 1, true, {}, 0}, outbox);
            keeper.onMessage(cell.now, peer, ConfigurationUpdate{before, true, {}, 0}, outbox);
            CHECK(outbox.peerSends.empty());
            keeper.onMessage(cell.now, peer, ConfigurationUpdate{before + 2, false, {}, 77},
                             outbox);
            THEN("only the partial one makes it send a request, and none is put in force")
            {
                REQUIRE(outbox.peerSends.size() == 1);
                CHECK(std::holds_alternative<ConfigurationRequest>(outbox.peerSends[0].message));
                keeper.onMessage(
                    cell.now, peer,
                    ConfigurationUpdate{before + 3, true, {{"service x", {1}, text}}, 0}, outbox);
                CHECK(keeper.generation() == before);
                CHECK(keeper.document().policies().size() == 2);
                CHECK(outbox.logLines.back().find("configuration_not_readable")
                      != std::string::npos);
            }
        }
    }
}

SCENARIO(
    "ConfigurationKeeper: given the loss of a reader or an inner daemon of the tree, then changes "
    "still reach the others",
    "[keeper]")
{
    GIVEN("a cell of the current size")
    {
        auto cell = ConfigurationCell(currentCellSize);
        writeAndAwaitExample(cell);
        for (const auto lost : {std::size_t{0}, std::size_t{1}, std::size_t{2}}) {
            WHEN("daemon " + std::to_string(lost) + " hangs, undetected by the membership")
            {
                cell.pause(lost);
                const auto ended = cell.edit(20, fitmentWith(5, 1));
                const auto others = [&] {
                    for (std::size_t daemon = 0; daemon < cell.size(); ++daemon) {
                        if (daemon != lost && cell.keeper(daemon).generation() < ended.generation) {
                            return false;
                        }
                    }
                    return true;
                };
                THEN("the others still have the change in time")
                {
                    CHECK(cell.runUntil(inForceLimit, others));
                }
            }
        }
        WHEN("both readers can't reach the store")
        {
            cell.disconnectFromStore(0);
            cell.disconnectFromStore(1);
            cell.run(21s);
            const auto ended = cell.edit(20, fitmentWith(5, 1));
            const auto inForce = [&] { return cell.allHaveReached(ended.generation); };
            THEN("the change is in force within the limit for full size, since the other daemons "
                 "poll")
            {
                CHECK(cell.runUntil(16s, inForce));
            }
        }
    }
}

SCENARIO("Configuration tree: given a membership view, then readers and the tree follow it",
         "[configurationtree]")
{
    GIVEN("a view of six daemons in two failure domains")
    {
        auto view = MembershipView{};
        for (const auto *name : {"a", "b", "c", "d", "e", "f"}) {
            const auto domain = std::string(name) < "d" ? "north" : "south";
            view.members.push_back({DaemonId{name}, {1}, {domain}, {name}, MemberState::Alive});
        }
        THEN("readers are in different domains, and each daemon but the root has one parent")
        {
            CHECK(configurationReaders(view, 2) == std::vector<DaemonId>{{"a"}, {"d"}});
            CHECK(configurationReaders(view, 3).size() == 3);
            const auto order = configurationTreeOrder(view, 2);
            auto children = std::size_t{0};
            for (const auto &member : view.members) {
                children += configurationTreeChildren(order, member.id, 2).size();
            }
            CHECK(children == 5);
        }
        WHEN("a reader is suspected")
        {
            view.members[0].state = MemberState::Suspect;
            THEN("another daemon becomes reader, and the suspected one is last in the tree")
            {
                CHECK(configurationReaders(view, 2) == std::vector<DaemonId>{{"b"}, {"d"}});
                CHECK(configurationTreeOrder(view, 2).back() == DaemonId{"a"});
            }
        }
    }
}
