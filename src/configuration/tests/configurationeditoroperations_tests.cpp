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

SCENARIO("ConfigurationEditor: given several versions, then it lists, compares and rolls back",
         "[editor]")
{
    GIVEN("a section with three accepted versions and one that was never accepted")
    {
        auto cell = ConfigurationCell(2);
        writeExampleDocument(cell);
        cell.edit(0, setRequest(fitment, fitmentText("slots = 5\n"), 1, gasketsToken));
        const auto left =
            cell.start(0, setRequest(fitment, fitmentText("slots = 6\n"), 2, gasketsToken));
        const auto right =
            cell.start(1, setRequest(fitment, fitmentText("slots = 7\n"), 2, gasketsToken));
        cell.run(1s);
        const auto first = cell.result(0, left)->status == EditStatus::Done;
        const auto accepted = first ? *cell.result(0, left) : *cell.result(1, right);
        WHEN("the history is read")
        {
            const auto history = cell.edit(1, readRequest(EditOperation::History, fitment)).history;
            THEN("it has only the accepted versions with their teams, latest first")
            {
                REQUIRE(history.size() == 3);
                CHECK(history[0].version == accepted.version);
                CHECK(history[1].version == 2);
                CHECK(history[2].version == 1);
                CHECK(history[1].team.value == "gaskets");
            }
        }
        WHEN("the section is rolled back to its first version")
        {
            auto request = readRequest(EditOperation::Rollback, fitment);
            request.toVersion = 1;
            const auto ended = cell.edit(1, request);
            cell.run(1s);
            THEN("a new version with the old text is in force")
            {
                CHECK(toString(ended.status) == "done");
                CHECK(ended.version > accepted.version);
                CHECK(slotsInForce(cell, 0, "fitment") == 3);
                auto get = readRequest(EditOperation::Get, fitment);
                CHECK(cell.edit(0, get).text == fitmentText(""));
            }
        }
        WHEN("a version that was never accepted is requested")
        {
            auto request = readRequest(EditOperation::Rollback, fitment);
            request.toVersion = accepted.version == 3 ? 4 : 3;
            THEN("it is not found")
            {
                CHECK(toString(cell.edit(1, request).status) == "not_found");
            }
        }
        WHEN("two versions are compared")
        {
            auto request = readRequest(EditOperation::Diff, fitment);
            request.fromVersion = 1;
            request.toVersion = 2;
            THEN("the difference is in unified format")
            {
                CHECK(cell.edit(1, request).diff
                      == "--- service fitment version 1\n+++ service fitment version 2\n"
                         "@@ -1,2 +1,3 @@\n [service fitment]\n owner = gaskets\n+slots = 5\n");
            }
        }
        WHEN("a change is checked")
        {
            auto request =
                setRequest(fitment, fitmentText("slots = 9\n"), accepted.version, gasketsToken);
            request.operation = EditOperation::Check;
            const auto before = manifestOf(cell);
            const auto ended = cell.edit(1, request);
            THEN("the difference is shown and nothing changes")
            {
                CHECK(toString(ended.status) == "done");
                CHECK(ended.diff.find("+slots = 9") != std::string::npos);
                CHECK(manifestOf(cell) == before);
            }
        }
    }
}

SCENARIO("ConfigurationEditor: given teams, then it enforces their rights and logs no secrets",
         "[editor]")
{
    GIVEN("a cell with a document")
    {
        auto cell = ConfigurationCell(1);
        writeExampleDocument(cell);
        const auto before = manifestOf(cell);
        const auto forbidden = std::vector<std::pair<std::string, EditRequest>>{
            {"an unknown token", setRequest(fitment, fitmentText("slots = 5\n"), 1, "wrong")},
            {"no token", setRequest(fitment, fitmentText("slots = 5\n"), 1, "")},
            {"the bootstrap token although there is an administrator",
             setRequest(fitment, fitmentText("slots = 5\n"), 1, bootstrapToken)},
            {"another team's section",
             setRequest(fitment, fitmentText("slots = 5\n"), 1, playbillToken)},
            {"removal of another team's section", setRequest(fitment, "", 1, playbillToken)},
            {"a new section owned by another team",
             setRequest("service x", "[service x]\nowner = gaskets\n", 0, playbillToken)},
            {"a new team", setRequest("team x", teamText("x", "x-token"), 0, playbillToken)},
            {"to make itself administrator",
             setRequest("team playbill",
                        teamText("playbill", playbillToken, "administrator = yes\n"), 1,
                        playbillToken)},
            {"another team's token hashes",
             readRequest(EditOperation::Get, "team gaskets", playbillToken)},
            {"the history of a team section",
             readRequest(EditOperation::History, "team crew", playbillToken)},
        };
        for (const auto &[name, request] : forbidden) {
            WHEN("a team tries " + name)
            {
                const auto ended = cell.edit(0, request);
                CHECK(toString(ended.status) == "denied");
                CHECK(ended.text.empty());
                CHECK(ended.diff.empty());
                CHECK_FALSE(ended.remedy.empty());
                CHECK(manifestOf(cell) == before);
            }
        }
        WHEN("the whole document is read by a team")
        {
            const auto ended = cell.edit(0, readRequest(EditOperation::Get, "", playbillToken));
            THEN("the hashes of other teams are hidden, and all sections are listed")
            {
                CHECK(ended.sections.size() == 5);
                CHECK(ended.text.find("[service fitment]") != std::string::npos);
                CHECK(ended.text.find("[team crew]\n# hidden") != std::string::npos);
            }
        }
        WHEN("edits have been made")
        {
            THEN("the log has team and section of each edit, but no tokens or hashes")
            {
                auto all = std::string{};
                for (const auto &line : cell.logLines) {
                    all += line + "\n";
                }
                CHECK(all.find("event=configuration_edit operation=set section=\"service fitment\" "
                               "status=done team=gaskets version=1")
                      != std::string::npos);
                CHECK(all.find("token-for-tests") == std::string::npos);
                CHECK(all.find('$') == std::string::npos);
            }
        }
        WHEN("a service's shard count is changed")
        {
            const auto ended = cell.edit(
                0, setRequest(fitment, fitmentText("shard_count = 128\n"), 1, gasketsToken));
            THEN("it is refused, since keys would move to other shards")
            {
                CHECK(toString(ended.status) == "refused");
                CHECK(ended.error.key == "shard_count");
            }
        }
    }
}
