#include "admin/adminhandler.h"

#include "configuration/documentschema.h"
#include "configuration/tests/configurationcell.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace gooseberrywall;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const auto *const fitmentPath = "/v1/config/sections/service%20fitment";

/// Adapts one daemon of a ConfigurationCell to the handler.
class CellCore
{
public:
    explicit CellCore(ConfigurationCell &cell)
        : cell(cell)
    {
    }

    auto startEdit(Instant, EditRequest request) -> EditId
    {
        this->startedEdits.push_back(this->cell.start(0, std::move(request)));
        return this->startedEdits.back();
    }

    auto takeEditResults() -> std::vector<EditResult>
    {
        auto finished = std::vector<EditResult>{};
        std::erase_if(this->startedEdits, [&](EditId id) {
            auto result = this->cell.result(0, id);
            if (result) {
                finished.push_back(*result);
            }
            return result.has_value();
        });
        return finished;
    }

    [[nodiscard]] auto configuration() const -> const ConfigurationKeeper &
    {
        return this->cell.keeper(0);
    }

private:
    ConfigurationCell &cell;
    std::vector<EditId> startedEdits;
};

class AdminFixture
{
public:
    AdminFixture()
        : cell(5)
        , core(cell)
        , handler(core)
    {
        writeExampleDocument(this->cell);
        this->cell.run(1s);
    }

    auto call(const std::string &method, const std::string &path, const std::string &query = {},
              const std::string &body = {}, const std::string &token = gasketsToken) -> AdminReply
    {
        this->send(method, path, query, body, token);
        return this->waitForReply();
    }

    auto send(const std::string &method, const std::string &path, const std::string &query,
              const std::string &body = {}, const std::string &token = gasketsToken) -> bool
    {
        this->exchange = this->exchange.next();
        return this->handler.accept(this->cell.now,
                                    {this->exchange, method, path, query, token, body, 1234});
    }

    auto waitForReply() -> AdminReply
    {
        auto replies = std::vector<AdminReply>{};
        const auto arrived = [&] {
            if (replies.empty()) {
                replies = this->handler.takeReplies(this->cell.now);
            }
            return !replies.empty();
        };
        REQUIRE(this->cell.runUntil(70s, arrived));
        REQUIRE(replies.size() == 1);
        CHECK(replies.front().exchange == this->exchange);
        return replies.front();
    }

    ConfigurationCell cell;

private:
    CellCore core;
    AdminHandler<CellCore> handler;
    ExchangeId exchange;
};

auto bodyOf(const AdminReply &reply) -> json
{
    return json::parse(reply.body);
}

} // namespace

SCENARIO(
    "AdminHandler: given a document, when sections are read and edited, then it replies with the "
    "results",
    "[adminhandler]")
{
    GIVEN("a cell with a document")
    {
        auto admin = AdminFixture();
        WHEN("a section is read, changed, compared, listed and rolled back")
        {
            const auto read = bodyOf(admin.call("GET", fitmentPath));
            CHECK(read["version"] == 1);
            CHECK(read["owner"] == "gaskets");
            const auto text = read["text"].get<std::string>() + "slots = 5\n";
            const auto checked =
                admin.call("POST", std::string(fitmentPath) + "/check", "expected=1", text);
            CHECK(checked.status == 200);
            CHECK(bodyOf(checked)["diff"].get<std::string>().ends_with("+slots = 5\n"));
            const auto written = admin.call("POST", fitmentPath, "expected=1", text);
            CHECK(written.status == 200);
            CHECK(bodyOf(written)["version"] == 2);
            const auto diff = bodyOf(admin.call("GET", std::string(fitmentPath) + "/diff"));
            CHECK(diff["diff"].get<std::string>().ends_with("+slots = 5\n"));
            const auto history = bodyOf(admin.call("GET", std::string(fitmentPath) + "/history"));
            REQUIRE(history["history"].size() == 2);
            CHECK(history["history"][0]["team"] == "gaskets");
            CHECK(history["history"][0]["written_at_ms"] == 1234);
            CHECK(admin.call("POST", std::string(fitmentPath) + "/rollback", "to=1").status == 200);
            THEN("the current version has the first text, and old versions can be read")
            {
                CHECK(bodyOf(admin.call("GET", fitmentPath))["version"] == 3);
                CHECK(bodyOf(admin.call("GET", fitmentPath))["text"] == read["text"]);
                CHECK(bodyOf(admin.call("GET", fitmentPath, "version=2"))["text"] == text);
            }
        }
        WHEN("a section is removed")
        {
            const auto reply =
                admin.call("POST", std::string(fitmentPath) + "/remove", "expected=1");
            THEN("it is not found any more, and the document lists the other sections")
            {
                CHECK(reply.status == 200);
                CHECK(admin.call("GET", fitmentPath).status == 404);
                CHECK(bodyOf(admin.call("GET", "/v1/config"))["sections"].size() == 4);
            }
        }
        WHEN("a section is written with an outdated version")
        {
            admin.call("POST", fitmentPath, "expected=1",
                       "[service fitment]\nowner = gaskets\n"
                       "slots = 5\n");
            const auto reply = admin.call("POST", fitmentPath, "expected=1",
                                          "[service fitment]\nowner = gaskets\nslots = 6\n");
            THEN("the conflict reply shows the change and a remedy")
            {
                CHECK(reply.status == 409);
                CHECK(bodyOf(reply)["version"] == 2);
                CHECK(bodyOf(reply)["diff"].get<std::string>().ends_with("+slots = 5\n"));
                CHECK(bodyOf(reply)["remedy"].get<std::string>().find("version 2")
                      != std::string::npos);
            }
        }
        WHEN("an invalid section is written")
        {
            const auto reply = admin.call("POST", fitmentPath, "expected=1",
                                          "[service fitment]\nowner = gaskets\nslots = many\n");
            THEN("the reply has the kind, key and line of the error and a remedy")
            {
                CHECK(reply.status == 422);
                CHECK(bodyOf(reply)["fault"]["kind"] == "bad_value");
                CHECK(bodyOf(reply)["fault"]["key"] == "slots");
                CHECK(bodyOf(reply)["fault"]["line"] == 3);
                CHECK_FALSE(bodyOf(reply)["remedy"].get<std::string>().empty());
            }
        }
        WHEN("requests have the token of another team or an unknown one")
        {
            const auto other = admin.call("POST", fitmentPath, "expected=1",
                                          "[service fitment]\nowner = gaskets\n", playbillToken);
            const auto nobody = admin.call("GET", fitmentPath, "", "", "nobody");
            THEN("they are denied")
            {
                CHECK(other.status == 403);
                CHECK(nobody.status == 403);
                CHECK_FALSE(bodyOf(nobody).contains("sections"));
            }
        }
    }
}

SCENARIO(
    "AdminHandler: given a wait, when a daemon lags, then it replies once the generation is in "
    "force or the wait times out",
    "[adminhandler]")
{
    GIVEN("a cell with a paused daemon")
    {
        auto admin = AdminFixture();
        admin.cell.pause(3);
        const auto generation =
            bodyOf(admin.call("POST", fitmentPath, "expected=1",
                              "[service fitment]\nowner = gaskets\nslots = 5\n"))["generation"]
                .get<std::uint64_t>();
        WHEN("the wait times out")
        {
            const auto reply =
                admin.call("GET", "/v1/config/wait",
                           "generation=" + std::to_string(generation) + "&timeout_ms=3000");
            THEN("the reply names the lagging daemon")
            {
                CHECK(reply.status == 504);
                CHECK(bodyOf(reply)["lagging"] == json::array({"d00003"}));
            }
        }
        WHEN("the daemon resumes during the wait")
        {
            const auto started = admin.cell.now;
            admin.send("GET", "/v1/config/wait",
                       "generation=" + std::to_string(generation) + "&timeout_ms=30000");
            admin.cell.run(2s);
            admin.cell.resume(3);
            const auto reply = admin.waitForReply();
            THEN("the reply comes once the generation is in force there")
            {
                CHECK(reply.status == 200);
                CHECK(bodyOf(reply)["lagging"].empty());
                CHECK(admin.cell.now - started < 5s);
            }
        }
    }
}

SCENARIO("AdminHandler: given malformed requests, then it rejects them without an edit",
         "[adminhandler]")
{
    auto admin = AdminFixture();
    const auto writes = admin.cell.store.counts().writes();
    struct MalformedRequest
    {
        std::string method;
        std::string path;
        std::string query;
        std::string body;
        int status;
    };
    const auto path = std::string(fitmentPath);
    const auto malformedRequests = std::vector<MalformedRequest>{
        {"POST", path, "", "[service fitment]\n", 400},
        {"POST", path, "expected=x", "[service fitment]\n", 400},
        {"POST", path, "expected=1&force=1", "[service fitment]\n", 400},
        {"POST", path, "expected=1", "", 400},
        {"POST", path + "/rollback", "", "", 400},
        {"POST", "/v1/config/sections/", "expected=1", "x", 400},
        {"POST", "/v1/config/sections/a%2Fb", "expected=1", "x", 400},
        {"POST", "/v1/config/sections/a%2", "expected=1", "x", 400},
        {"GET", "/v1/config/sections/history", "", "", 400},
        {"PUT", path, "expected=1", "x", 405},
        {"GET", "/v1/config/wait", "", "", 400},
        {"GET", path, "version=1=2", "", 400},
    };
    for (const auto &request : malformedRequests) {
        INFO(request.method << " " << request.path << "?" << request.query);
        const auto reply = admin.call(request.method, request.path, request.query, request.body);
        CHECK(reply.status == request.status);
        CHECK_FALSE(bodyOf(reply)["remedy"].get<std::string>().empty());
    }
    CHECK(admin.cell.store.counts().writes() == writes);
    CHECK_FALSE(admin.send("GET", "/v1/status", ""));
    CHECK_FALSE(admin.send("POST", "/v1/config", ""));
}

SCENARIO("AdminHandler: given the path of the keys, then it describes all keys", "[adminhandler]")
{
    auto admin = AdminFixture();
    const auto sections = bodyOf(admin.call("GET", "/v1/config/keys"))["sections"];
    CHECK(sections.size() == documentSchema().size());
    CHECK(sections[1]["keys"].size() == documentSchema()[1].keys.size());
    CHECK(sections[1]["keys"][0]["default"].is_null());
    CHECK(sections[1]["keys"][1]["default"] == "64");
}
