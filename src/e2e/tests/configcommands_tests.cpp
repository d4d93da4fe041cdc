#include "testcell.h"

#include "configuration/teamtoken.h"
#include "ctl/configcommands.h"
#include "ctl/ordercommands.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace gooseberrywall;

namespace {

const auto *const teamToken = "keepers-token-for-tests";

/// Standard output and exit code of one command.
struct CommandResult
{
    ExitCode code = ExitCode::Ok;
    std::string output;
};

auto runConfig(const Address &address, std::vector<std::string> words,
               const std::string &token = teamToken) -> CommandResult
{
    auto settings = AdminClientSettings{address, token};
    const auto context = CommandContext{AdminClient(settings), false, std::move(words)};
    auto captured = std::stringstream();
    auto *const originalBuffer = std::cout.rdbuf(captured.rdbuf());
    const auto code = ConfigCommand().run(context);
    std::cout.rdbuf(originalBuffer);
    return {code, captured.str()};
}

/// A file in the working directory of the test; the destructor removes it.
class SectionFile
{
public:
    explicit SectionFile(const std::string &text)
        : name("configcommands_tests.ini")
    {
        std::ofstream(this->name) << text;
    }
    ~SectionFile() { std::remove(this->name.c_str()); }
    SectionFile(const SectionFile &) = delete;
    auto operator=(const SectionFile &) -> SectionFile & = delete;

    const std::string name;
};

/// Adds a team of administrators, using the operator's token.
auto addTeam(const TestCell &cell) -> void
{
    const auto answer =
        cell.admin(0, HttpMethod::Post, "/v1/config/sections/team%20keepers?expected=0",
                   "[team keepers]\nadministrator = yes\ntokens = "
                       + hashToken(teamToken, "s4ltf0rtests") + "\n");
    REQUIRE(answer.status == 200);
}

} // namespace

SCENARIO("ConfigCommand: given a cell, each subcommand ends with the exit code of its result",
         "[e2e]")
{
    GIVEN("a cell of three daemons")
    {
        const TestCell cell(3, 1);
        addTeam(cell);
        const auto first = cell.daemonSettings(0).adminListen;
        const auto other = cell.daemonSettings(2).adminListen;
        WHEN("a section is read into a file, changed and sent twice")
        {
            const auto read = runConfig(first, {"get", "service", "fitment"});
            REQUIRE(read.code == ExitCode::Ok);
            CHECK(read.output.rfind("# version 1\n[service fitment]\n", 0) == 0);
            const auto file = SectionFile(read.output + "queue_limit = 77\n");
            const auto checked = runConfig(first, {"check", file.name});
            const auto sent = runConfig(first, {"set", file.name});
            const auto again = runConfig(other, {"set", file.name});
            THEN("the first is accepted and takes effect, and the second conflicts with the new "
                 "version")
            {
                CHECK(checked.code == ExitCode::Ok);
                CHECK(checked.output.find("+queue_limit = 77") != std::string::npos);
                CHECK(sent.code == ExitCode::Ok);
                CHECK(sent.output.find("accepted as version 2, generation 4") != std::string::npos);
                CHECK(runConfig(other, {"wait", "4"}).code == ExitCode::Ok);
                CHECK(again.code == ExitCode::Conflict);
            }
        }
        WHEN("keys are edited, compared and rolled back through another daemon")
        {
            CHECK(runConfig(other, {"edit", "service", "fitment", "queue_limit=78"}).code
                  == ExitCode::Ok);
            const auto diff = runConfig(first, {"diff", "service", "fitment"});
            CHECK(diff.output.find("+queue_limit = 78") != std::string::npos);
            CHECK(runConfig(first, {"rollback", "service", "fitment", "1"}).code == ExitCode::Ok);
            const auto history = runConfig(other, {"history", "service", "fitment"});
            THEN("the history lists all three versions and the first text is in force again")
            {
                CHECK(std::count(history.output.begin(), history.output.end(), '\n') == 3);
                CHECK(history.output.find("by keepers") != std::string::npos);
                const auto read = runConfig(other, {"get", "service", "fitment"});
                CHECK(read.output.find("queue_limit = 78") == std::string::npos);
            }
        }
        WHEN("an upstream is drained with a team's token")
        {
            const auto drain = [&first](const std::string &token) {
                const AdminClient client({first, token});
                return DrainCommand(false).run({client, false, {"fitment-1"}});
            };
            THEN("an administrator's token is accepted and an invalid or empty one is refused")
            {
                // The daemon accepts the token once the document that contains it is in force.
                REQUIRE(runConfig(first, {"wait", "3"}).code == ExitCode::Ok);
                CHECK(drain("nobody") == ExitCode::Refused);
                CHECK(drain("") == ExitCode::Refused);
                CHECK(drain(teamToken) == ExitCode::Ok);
            }
        }
        WHEN("a command fails")
        {
            THEN("its exit code tells the kind of failure")
            {
                CHECK(runConfig(first, {"edit", "service", "fitment", "slots=many"}).code
                      == ExitCode::Refused);
                CHECK(runConfig(first, {"get"}, "nobody").code == ExitCode::Refused);
                CHECK(runConfig(first, {"get", "service", "none"}).code == ExitCode::Refused);
                CHECK(runConfig(first, {"wait", "99", "200"}).code == ExitCode::TimedOut);
                CHECK(runConfig({"127.0.0.1:1"}, {"get"}).code == ExitCode::Unreachable);
                CHECK(runConfig(first, {"set", "no-such-file"}).code == ExitCode::Usage);
                CHECK(runConfig(first, {"rollback", "service", "fitment"}).code == ExitCode::Usage);
                CHECK(runConfig(first, {"nonsense"}).code == ExitCode::Usage);
            }
        }
    }
}
