#include "configuration/tests/configurationcell.h"

#include "configuration/manifestcodec.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

const auto *const fitment = "service fitment";

auto fitmentText(const std::string &more) -> std::string
{
    return "[service fitment]\nowner = gaskets\n" + more;
}

auto slotsInForce(ConfigurationCell &cell, std::size_t daemon, const std::string &service) -> int
{
    for (const auto &policy : cell.keeper(daemon).document().policies()) {
        if (policy.service.value == service) {
            return policy.slots;
        }
    }
    return 0;
}

} // namespace

SCENARIO("ConfigurationEditor: given concurrent edits of different sections, then it accepts all",
         "[editor]")
{
    GIVEN("a document of two teams and a daemon for each of them")
    {
        auto cell = ConfigurationCell(2);
        writeExampleDocument(cell);
        const auto before = manifestOf(cell).generation;
        WHEN("both teams change their sections at the same time")
        {
            const auto left =
                cell.start(0, setRequest(fitment, fitmentText("slots = 5\n"), 1, gasketsToken));
            const auto right =
                cell.start(1, setRequest("service rate-look",
                                         "[service rate-look]\nowner = playbill\nslots = 7\n", 1,
                                         playbillToken));
            cell.run(1s);
            THEN("both are accepted in separate generations and are in force")
            {
                REQUIRE(cell.result(0, left));
                REQUIRE(cell.result(1, right));
                CHECK(toString(cell.result(0, left)->status) == "done");
                CHECK(toString(cell.result(1, right)->status) == "done");
                CHECK(manifestOf(cell).generation == before + 2);
                CHECK(slotsInForce(cell, 1, "fitment") == 5);
                CHECK(slotsInForce(cell, 0, "rate-look") == 7);
            }
        }
        WHEN("ten edits of ten sections are made concurrently through one daemon")
        {
            auto ids = std::vector<EditId>{};
            for (auto number = 0; number < 10; ++number) {
                const auto name = "service extra-" + std::to_string(number);
                ids.push_back(cell.start(
                    0, setRequest(name, "[" + name + "]\nowner = gaskets\n", 0, gasketsToken)));
            }
            cell.run(9s);
            THEN("all are accepted")
            {
                for (const auto id : ids) {
                    REQUIRE(cell.result(0, id));
                    CHECK(toString(cell.result(0, id)->status) == "done");
                }
                CHECK(manifestOf(cell).generation == before + 10);
            }
        }
    }
}

SCENARIO("ConfigurationEditor: given concurrent edits of one section, then one ends in conflict",
         "[editor]")
{
    GIVEN("two daemons")
    {
        auto cell = ConfigurationCell(2);
        writeExampleDocument(cell);
        WHEN("two operators change the same version of a section concurrently")
        {
            const auto left =
                cell.start(0, setRequest(fitment, fitmentText("slots = 5\n"), 1, gasketsToken));
            const auto right =
                cell.start(1, setRequest(fitment, fitmentText("slots = 7\n"), 1, adminToken));
            cell.run(1s);
            THEN("one is accepted, and the other gets the difference and a remedy")
            {
                REQUIRE(cell.result(0, left));
                REQUIRE(cell.result(1, right));
                auto winner = *cell.result(0, left);
                auto loser = *cell.result(1, right);
                if (winner.status != EditStatus::Done) {
                    std::swap(winner, loser);
                }
                CHECK(toString(winner.status) == "done");
                CHECK(toString(loser.status) == "conflict");
                CHECK(loser.version == winner.version);
                CHECK(loser.diff.find("+slots = ") != std::string::npos);
                CHECK(loser.remedy.find("version " + std::to_string(winner.version))
                      != std::string::npos);
            }
        }
    }
}

SCENARIO("ConfigurationEditor: given edits that are invalid together, then it never accepts both",
         "[editor]")
{
    GIVEN("two changes, each valid by itself: callers of a service, and removal of the service")
    {
        auto cell = ConfigurationCell(2);
        writeExampleDocument(cell);
        const auto callers = setRequest("callers shops",
                                        "[callers shops]\nteam = playbill\nmembers = shop\n"
                                        "services = fitment\n",
                                        0, playbillToken);
        const auto removal = setRequest(fitment, "", 1, gasketsToken);
        WHEN("they are made concurrently")
        {
            const auto left = cell.start(0, callers);
            const auto right = cell.start(1, removal);
            cell.run(1s);
            THEN("exactly one is accepted, and the other is refused because of the first")
            {
                REQUIRE(cell.result(0, left));
                REQUIRE(cell.result(1, right));
                const auto accepted = (cell.result(0, left)->status == EditStatus::Done ? 1 : 0)
                                      + (cell.result(1, right)->status == EditStatus::Done ? 1 : 0);
                const auto refused =
                    (cell.result(0, left)->status == EditStatus::Refused ? 1 : 0)
                    + (cell.result(1, right)->status == EditStatus::Refused ? 1 : 0);
                CHECK(accepted == 1);
                CHECK(refused == 1);
                CHECK(cell.keeper(0).generation() == manifestOf(cell).generation);
            }
        }
        WHEN("an invalid section is sent")
        {
            const auto before = manifestOf(cell);
            const auto ended = cell.edit(
                0, setRequest(fitment, fitmentText("slots = 5\nslotss = 1\n"), 1, gasketsToken));
            THEN("it is refused as a whole with line, key and remedy, and nothing is written")
            {
                CHECK(toString(ended.status) == "refused");
                CHECK(ended.error.key == "slotss");
                CHECK(ended.error.line == 4);
                CHECK_FALSE(ended.remedy.empty());
                CHECK(manifestOf(cell) == before);
                CHECK_FALSE(cell.store.peek(sectionKey(SectionName{fitment}, 2)));
            }
        }
    }
}

SCENARIO("ConfigurationEditor: given ambiguous answers, then it recognises its own writes",
         "[editor]")
{
    const auto faults = std::vector<std::pair<std::string, WriteFault>>{
        {"took effect", WriteFault::LostAnswer},
        {"did not arrive", WriteFault::LostWrite},
        {"takes effect later", WriteFault::LateWrite}};
    for (const auto &[name, fault] : faults) {
        for (auto write = 0; write < 2; ++write) {
            GIVEN("write " + std::to_string(write) + " of an edit, whose answer is lost and which "
                  + name)
            {
                auto cell = ConfigurationCell(2);
                writeExampleDocument(cell);
                const auto before = manifestOf(cell).generation;
                cell.failWrite(write, fault);
                const auto ended =
                    cell.edit(0, setRequest(fitment, fitmentText("slots = 5\n"), 1, gasketsToken));
                cell.run(1s);
                CHECK(toString(ended.status) == "done");
                CHECK(manifestOf(cell).generation == before + 1);
                CHECK(manifestOf(cell).find(SectionName{fitment})->version == ended.version);
                CHECK_FALSE(cell.store.peek(sectionKey(SectionName{fitment}, ended.version + 1)));
                CHECK(ended.version == 2);
                CHECK(slotsInForce(cell, 1, "fitment") == 5);
            }
        }
        GIVEN("a swap that " + name + " while another team's edit overtakes it")
        {
            auto cell = ConfigurationCell(2);
            writeExampleDocument(cell);
            const auto before = manifestOf(cell).generation;
            cell.failWrite(2, fault);
            const auto left =
                cell.start(0, setRequest(fitment, fitmentText("slots = 5\n"), 1, gasketsToken));
            const auto right =
                cell.start(1, setRequest("service rate-look",
                                         "[service rate-look]\nowner = playbill\nslots = 7\n", 1,
                                         playbillToken));
            cell.run(2s);
            REQUIRE(cell.result(0, left));
            REQUIRE(cell.result(1, right));
            CHECK(toString(cell.result(0, left)->status) == "done");
            CHECK(toString(cell.result(1, right)->status) == "done");
            CHECK(manifestOf(cell).generation == before + 2);
        }
        GIVEN("a swap that " + name + " and a later edit of the same section on top of it")
        {
            auto cell = ConfigurationCell(2);
            writeExampleDocument(cell);
            cell.failWrite(1, fault);
            const auto left =
                cell.start(0, setRequest(fitment, fitmentText("slots = 5\n"), 1, gasketsToken));
            cell.run(4ms);
            cell.pause(0);
            cell.run(100ms);
            const auto present = manifestOf(cell).find(SectionName{fitment})->version;
            const auto second =
                cell.edit(1, setRequest(fitment, fitmentText("slots = 7\n"), present, adminToken));
            REQUIRE(toString(second.status) == "done");
            cell.resume(0);
            cell.run(2s);
            REQUIRE(cell.result(0, left));
            const auto tookEffect = fault != WriteFault::LostWrite;
            CHECK(toString(cell.result(0, left)->status) == (tookEffect ? "done" : "conflict"));
            CHECK(slotsInForce(cell, 0, "fitment") == 7);
        }
    }
}

SCENARIO("ConfigurationEditor: given a store that fails, then the result states what is known",
         "[editor]")
{
    GIVEN("a cell with a document")
    {
        auto cell = ConfigurationCell(2);
        writeExampleDocument(cell);
        const auto before = manifestOf(cell);
        auto down = StoreFaults{};
        down.down = true;
        WHEN("the store goes down during an edit and recovers before the edit's timeout")
        {
            cell.failWrite(1, WriteFault::LostWrite);
            const auto id =
                cell.start(0, setRequest(fitment, fitmentText("slots = 5\n"), 1, gasketsToken));
            cell.run(4ms);
            cell.store.setFaults(cell.now, down);
            cell.run(4s);
            CHECK_FALSE(cell.result(0, id));
            cell.store.setFaults(cell.now, {});
            cell.run(3s);
            THEN("the edit is accepted exactly once")
            {
                REQUIRE(cell.result(0, id));
                CHECK(toString(cell.result(0, id)->status) == "done");
                CHECK(manifestOf(cell).generation == before.generation + 1);
            }
        }
        WHEN("the store goes down before the swap and stays down")
        {
            cell.store.setFaults(cell.now, down);
            const auto ended =
                cell.edit(0, setRequest(fitment, fitmentText("slots = 5\n"), 1, gasketsToken));
            THEN("the edit ends as unavailable, and nothing has changed")
            {
                CHECK(toString(ended.status) == "unavailable");
                CHECK(manifestOf(cell) == before);
            }
        }
        WHEN("the store stays down after a swap whose answer was lost")
        {
            cell.failWrite(1, WriteFault::LostAnswer);
            const auto id =
                cell.start(0, setRequest(fitment, fitmentText("slots = 5\n"), 1, gasketsToken));
            cell.run(2ms);
            cell.store.setFaults(cell.now, down);
            cell.run(11s);
            THEN("the edit ends as outcome_unknown")
            {
                REQUIRE(cell.result(0, id));
                CHECK(toString(cell.result(0, id)->status) == "outcome_unknown");
            }
        }
    }
}

SCENARIO("ConfigurationEditor: given a section that is added and removed concurrently, then its "
         "history stays complete",
         "[editor]")
{
    GIVEN("a new section whose swap is lost while another daemon adds and removes it")
    {
        auto cell = ConfigurationCell(2);
        writeExampleDocument(cell);
        const auto name = std::string("service extra");
        const auto text = "[service extra]\nowner = gaskets\n";
        cell.failWrite(1, WriteFault::LostWrite);
        const auto id = cell.start(0, setRequest(name, text, 0, gasketsToken));
        cell.run(4ms);
        cell.pause(0);
        const auto added = cell.edit(1, setRequest(name, text, 0, gasketsToken));
        const auto removed = cell.edit(1, setRequest(name, "", added.version, gasketsToken));
        REQUIRE(toString(removed.status) == "done");
        WHEN("the first daemon resumes")
        {
            cell.resume(0);
            cell.run(1s);
            THEN("its version is accepted after the other two versions")
            {
                REQUIRE(cell.result(0, id));
                CHECK(toString(cell.result(0, id)->status) == "done");
                const auto history =
                    cell.edit(1, readRequest(EditOperation::History, name)).history;
                REQUIRE(history.size() == 3);
                CHECK(history[0].version > history[1].version);
                CHECK(history[1].version == removed.version);
                CHECK(history[2].version == added.version);
            }
        }
    }
}
