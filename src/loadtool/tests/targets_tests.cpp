#include "loadtool/loadrunner.h"
#include "loadtool/runcollector.h"
#include "loadtool/runjson.h"
#include "stubs/httpserver/httpserver.h"
#include "stubs/upstream/runlogfile.h"
#include "stubs/upstream/upstreamserver.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <unistd.h>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

/// Answers like a daemon, or breaks connections off, and records the requests.
class FakeDaemon
{
public:
    explicit FakeDaemon(event_base *base)
        : server(
            base, 1000, [this](HttpCall call) { this->handle(std::move(call)); }, [](CallId) {})
        , address(toAddress(*server.listen({"127.0.0.1", 0})))
    {
    }

    auto handle(HttpCall call) -> void
    {
        this->paths.push_back(call.path);
        const auto *const resend = call.header("X-Resend");
        this->resends += resend != nullptr && std::string(resend) == "true" ? 1 : 0;
        if (this->breaksOff) {
            this->server.closeWithoutAnswer(call.id);
            return;
        }
        const auto *const id = call.header("X-Request-Id");
        this->server.answer(call.id, {HttpOutcome::Answered,
                                      200,
                                      {{"X-End", "answer"}},
                                      std::string(id != nullptr ? id : "r1") + "\n"});
    }

    HttpServer server;
    Address address;
    std::vector<std::string> paths;
    int resends = 0;
    bool breaksOff = false;
};

auto bookingMix() -> RequestMix
{
    LoadSettings settings;
    settings.rate = 1000;
    settings.duration = 100ms;
    settings.idempotentShare = 0;
    return {settings, 0};
}

} // namespace

SCENARIO("DaemonTarget sends to each daemon in turn", "[daemontarget]")
{
    const TestLoop loop;
    FakeDaemon first(loop.base());
    FakeDaemon second(loop.base());
    LoadSettings settings;
    settings.service = {"fitment"};
    DaemonTarget target(loop.base(), settings, {first.address, second.address}, 4);
    auto finished = false;
    LoadRunner<DaemonTarget> runner(loop.base(), bookingMix(), target, 3,
                                    [&finished] { finished = true; });
    GIVEN("two daemons that answer")
    {
        runner.start();
        REQUIRE(loop.runUntil([&finished] { return finished; }));
        CHECK(runner.tally().count(CallEndKind::Answer) == 99);
        CHECK(first.paths.size() == 50);
        CHECK(second.paths.size() == 49);
        CHECK(first.paths.front().starts_with("/v1/services/fitment/keys/key-"));
        CHECK(first.resends + second.resends == 0);
    }
    GIVEN("a daemon that breaks connections off")
    {
        first.breaksOff = true;
        runner.start();
        REQUIRE(loop.runUntil([&finished] { return finished; }));
        const auto &tally = runner.tally();
        CHECK(tally.count(CallEndKind::Answer) + tally.count(CallEndKind::NoAnswer) == 99);
        CHECK(tally.count(CallEndKind::Answer) == second.paths.size());
        CHECK(first.resends + second.resends == static_cast<int>(tally.resends()));
        CHECK(tally.resends() >= first.paths.size() - tally.count(CallEndKind::NoAnswer));
    }
    GIVEN("a request whose outcome is queried")
    {
        std::optional<CallEnd> end;
        target.queryOutcome({0s, {"r1"}, {"c"}, {"a/b"}, "book", false},
                            [&end](CallEnd got) { end = std::move(got); });
        REQUIRE(loop.runUntil([&end] { return end.has_value(); }));
        CHECK(end->kind == CallEndKind::Answer);
        CHECK(first.paths.front() == "/v1/outcomes/r1");
    }
}

SCENARIO("DirectTarget runs a load against upstream stand-ins", "[directtarget]")
{
    const TestLoop loop;
    UpstreamModelSettings model;
    model.slots = 1000;
    UpstreamServer first(loop.base(), model, {1}, [] {});
    UpstreamServer second(loop.base(), model, {2}, [] {});
    const std::vector<Address> addresses{toAddress(*first.listen({"127.0.0.1", 0})),
                                         toAddress(*second.listen({"127.0.0.1", 0}))};
    DirectTarget target(loop.base(), {}, addresses, 16);
    auto finished = false;
    LoadRunner<DirectTarget> runner(loop.base(), bookingMix(), target, 0,
                                    [&finished] { finished = true; });
    RunAudit audit;
    RunCollector collector(loop.base(), addresses, audit);
    const auto collect = [&] {
        auto collected = false;
        collector.collect([&collected] { collected = true; });
        REQUIRE(loop.runUntil([&collected] { return collected; }));
    };
    runner.start();
    REQUIRE(loop.runUntil([&finished] { return finished; }));
    for (const auto &[reason, count] : runner.tally().reasons()) {
        UNSCOPED_INFO(reason << " " << count);
    }
    CHECK(runner.tally().count(CallEndKind::Answer) == 99);
    collect();
    CHECK(audit.result(runner.tally().ends()) == AuditResult{99, 0, 0, 0, 0, 0, 0, 0});
    GIVEN("an upstream that holds a higher fence")
    {
        first.model.receive(monotonicNow(), {99},
                            GrantBatch{{"d"}, {2}, {1}, {{{{}, 0}, {2, 1}, {}, {}, 1s}}});
        std::optional<bool> prepared;
        DirectTarget late(loop.base(), {}, addresses, 16);
        late.prepare([&prepared](bool all) { prepared = all; });
        REQUIRE(loop.runUntil([&prepared] { return prepared.has_value(); }));
        CHECK_FALSE(*prepared);
    }
    GIVEN("an upstream that is restarted, and loses its records, after they were collected")
    {
        first.model.restart(monotonicNow(), {3});
        collect();
        THEN("runs that were collected before are kept")
        {
            CHECK(audit.result(runner.tally().ends()).runs == 99);
            CHECK(collector.unreachableCount() == 0);
            CHECK(collector.hasSeenRestart());
        }
    }
}

SCENARIO("Run logs can be audited without the stand-in that wrote them", "[runlogfile]")
{
    const auto directory = std::filesystem::temp_directory_path()
                           / ("gooseberrywall-runs-" + std::to_string(getpid()));
    std::filesystem::create_directory(directory);
    {
        RunLogFile file(directory / "u1.runs", {"127.0.0.1:1"});
        RunRecord booking;
        booking.id = {"a booking"};
        booking.key = {"slot/1"};
        booking.shard = {{"slot-book"}, 2};
        booking.idempotent = false;
        file.write({1}, booking);
        file.write({2}, booking);
        booking.end = Instant{1s};
        booking.effect = true;
        file.write({2}, booking);
        CHECK(file.hasWrittenAll());
    }
    std::ofstream(directory / "u2.runs") << "{\"upstream\":\"cut";
    RunAudit audit;
    CHECK(readRunLogs(directory, audit) == 1);
    const auto result = audit.result({{{"a booking"}, CallEndKind::Answer}});
    CHECK(result == AuditResult{2, 0, 1, 0, 0, 0, 0, 0});
    std::filesystem::remove_all(directory);
}
