#include "loadtool/callerwire.h"
#include "loadtool/loadrunner.h"
#include "loadtool/requestmix.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

/// Ends the first calls of a request as scripted, and answers the others at once or when told to.
class ScriptedTarget
{
public:
    auto prepare(const std::function<void(bool)> &prepared) -> void { prepared(true); }

    auto send(const PlannedRequest &request, int sent, CallDone done) -> void
    {
        this->sent[request.id.value] += 1;
        if (static_cast<std::size_t>(sent) < this->failures.size()) {
            done(this->failures[static_cast<std::size_t>(sent)]);
            return;
        }
        this->waiting.push_back(std::move(done));
        if (!this->stalled) {
            this->answerAll();
        }
    }

    auto queryOutcome(const PlannedRequest &request, const CallDone &done) -> void
    {
        this->asked.push_back(request.id);
        done({CallEndKind::Answer, ""});
    }

    auto answerAll() -> void
    {
        for (const auto &done : std::exchange(this->waiting, {})) {
            done({CallEndKind::Answer, ""});
        }
    }

    bool stalled = false;
    std::vector<CallEnd> failures;
    std::map<std::string, int> sent;
    std::vector<RequestId> asked;
    std::vector<CallDone> waiting;
};

auto settingsOf(double idempotentShare) -> LoadSettings
{
    LoadSettings settings;
    settings.rate = 1000;
    settings.duration = 100ms;
    settings.idempotentShare = idempotentShare;
    return settings;
}

} // namespace

SCENARIO("LoadRunner counts latency from the planned time", "[loadrunner]")
{
    const TestLoop loop;
    ScriptedTarget target;
    target.stalled = true;
    auto finished = false;
    LoadRunner<ScriptedTarget> runner(loop.base(), RequestMix(settingsOf(1), 0), target, 0,
                                      [&finished] { finished = true; });
    runner.start();
    GIVEN("a server that stalls during the whole run")
    {
        REQUIRE(loop.runUntil([&target] { return target.waiting.size() == 99; }));
        loop.runFor(100ms);
        target.answerAll();
        THEN("requests are sent meanwhile, and the latency of each counts from its planned time")
        {
            CHECK(finished);
            const auto latencies = runner.tally().latencies();
            CHECK(latencies.longest >= 190ms);
            CHECK(latencies.p50 >= 140ms);
        }
    }
}

SCENARIO("LoadRunner resends unsent requests and lost non-idempotent requests", "[loadrunner]")
{
    const TestLoop loop;
    ScriptedTarget target;
    auto finished = false;
    const auto share = GENERATE(0.0, 1.0);
    LoadRunner<ScriptedTarget> runner(loop.base(), RequestMix(settingsOf(share), 0), target, 2,
                                      [&finished] { finished = true; });
    GIVEN("connections that break once per request")
    {
        target.failures = {{CallEndKind::NoAnswer, ""}};
        runner.start();
        REQUIRE(loop.runUntil([&finished] { return finished; }));
        const auto isSentAgain = share == 0.0;
        CHECK(runner.tally().resends() == (isSentAgain ? 99 : 0));
        CHECK(runner.tally().count(CallEndKind::Answer) == (isSentAgain ? 99 : 0));
        CHECK(target.sent.size() == 99);
    }
    GIVEN("servers that always refuse connections")
    {
        target.failures.assign(10, {CallEndKind::NotSent, ""});
        runner.start();
        REQUIRE(loop.runUntil([&finished] { return finished; }));
        CHECK(runner.tally().count(CallEndKind::NotSent) == 99);
        CHECK(runner.tally().resends() == 198);
    }
    GIVEN("connections that always break")
    {
        target.failures.assign(10, {CallEndKind::NoAnswer, ""});
        runner.start();
        REQUIRE(loop.runUntil([&finished] { return finished; }));
        const std::size_t unresolved = share == 0.0 ? 99 : 0;
        REQUIRE(runner.tally().unresolved().size() == unresolved);
        WHEN("outcomes are queried")
        {
            auto asked = false;
            runner.queryOutcomes([&asked] { asked = true; });
            CHECK(asked);
            CHECK(target.asked.size() == unresolved);
            CHECK(runner.tally().outcomeQueries(CallEndKind::Answer) == unresolved);
            for (const auto &id : target.asked) {
                CHECK(runner.tally().ends().at(id) == CallEndKind::Answer);
            }
        }
    }
    GIVEN("servers that refuse requests")
    {
        target.failures = {{CallEndKind::Refused, "queue_full"}};
        runner.start();
        REQUIRE(loop.runUntil([&finished] { return finished; }));
        CHECK(runner.tally().resends() == 0);
    }
}

SCENARIO("RequestMix plans requests by its settings", "[requestmix]")
{
    LoadSettings settings;
    settings.rate = 3000;
    settings.duration = 10s;
    settings.surge = {2s, 1s, 3.0};
    settings.operations = {{"short", 3}, {"long", 1}};
    settings.idempotentShare = 0.25;
    settings.poisson = GENERATE(false, true);
    RequestMix mix(settings, 1'700'000'000'000);
    RequestMix same(settings, 1'700'000'000'000);
    std::map<std::string, int> ids;
    std::map<std::string, int> operations;
    auto inSurge = 0;
    auto idempotent = 0;
    while (const auto request = mix.next()) {
        CHECK(request == same.next());
        ids[request->id.value] += 1;
        operations[request->operation] += 1;
        inSurge += request->at >= 2s && request->at < 3s ? 1 : 0;
        idempotent += request->idempotent ? 1 : 0;
    }
    // 36,000 are expected; the bounds are more than five standard deviations away.
    const auto total = static_cast<double>(ids.size());
    CHECK(std::abs(total - 36'000) < 1000);
    CHECK(std::abs(inSurge - 9000) < 500);
    CHECK(std::abs(operations["long"] / total - 0.25) < 0.012);
    CHECK(std::abs(idempotent / total - 0.25) < 0.012);
    CHECK(ids.begin()->first.size() == 36);
    CHECK(ids.begin()->first.substr(0, 13) == "018bcfe5-6800");
    CHECK(ids.begin()->first.at(14) == '7');
}

SCENARIO("ZipfKeys chooses keys by their Zipf weights", "[zipfkeys]")
{
    const ZipfKeys keys(4, 1.0);
    // The weights are 1, 1/2, 1/3 and 1/4 of 25/12.
    CHECK(keys.keyAt(0.0) == 0);
    CHECK(keys.keyAt(0.479) == 0);
    CHECK(keys.keyAt(0.481) == 1);
    CHECK(keys.keyAt(0.719) == 1);
    CHECK(keys.keyAt(0.721) == 2);
    CHECK(keys.keyAt(0.881) == 3);
    CHECK(keys.keyAt(0.9999999) == 3);
    CHECK(ZipfKeys(4, 0.0).keyAt(0.74) == 2);
}

SCENARIO("callerwire encodes requests and decodes the daemon's answers", "[callerwire]")
{
    const PlannedRequest request{0s, {"r1"}, {"c"}, {"a key/1"}, "book", false};
    const auto call = callerwire::encode({}, request, true);
    CHECK(call.target == "/v1/services//keys/a%20key%2F1");
    CHECK(call.headers.back() == HttpHeader{"X-Resend", "true"});
    const auto endOf = [&request](const char *end, const char *reason, const char *body) {
        return callerwire::decode(
            request, {HttpOutcome::Answered, 200, {{"X-End", end}, {"X-Reason", reason}}, body});
    };
    CHECK(endOf("answer", "", "r1\nbody").kind == CallEndKind::Answer);
    CHECK(endOf("answer", "", "r2\nbody").kind == CallEndKind::WrongAnswer);
    CHECK(endOf("refused", "no_owner", "") == CallEnd{CallEndKind::Refused, "no_owner"});
    CHECK(endOf("unknown", "answer_lost", "") == CallEnd{CallEndKind::Unknown, "answer_lost"});
    CHECK(endOf("", "", "r1\n").kind == CallEndKind::WrongAnswer);
    CHECK(callerwire::decode(request, {}).kind == CallEndKind::NotSent);
    CHECK(callerwire::decode(request, {HttpOutcome::NoAnswer, 0, {}, ""}).kind
          == CallEndKind::NoAnswer);
}
