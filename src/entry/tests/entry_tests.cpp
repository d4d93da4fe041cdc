#include "entry/tests/flowtrial.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

SCENARIO("RequestFlow sends a request with a permit and returns it", "[entry]")
{
    FlowTrial trial;
    trial.begin(false);
    trial.grant();
    REQUIRE(trial.count<FlowSend>() == 1);
    trial.end(AttemptEnd::Answered);
    CHECK(trial.count<FlowDeliver>() == 1);
    CHECK(trial.countSent<PermitReport>() == 1);
    CHECK(trial.flow.openCount() == 0);
}

SCENARIO("RequestFlow repeats only what may be repeated", "[entry]")
{
    GIVEN("a request that may run once")
    {
        FlowTrial trial;
        trial.begin(false);
        trial.grant();
        WHEN("no answer comes")
        {
            trial.end(AttemptEnd::NoAnswer);
            THEN("it isn't sent again, and the caller isn't told that it hasn't run")
            {
                CHECK(trial.count<FlowSend>() == 1);
                CHECK(trial.refusal().status == 502);
                CHECK_FALSE(trial.refusal().retryAfter.has_value());
            }
        }
        WHEN("the upstream says that it hasn't run it")
        {
            trial.end(AttemptEnd::NotRun);
            THEN("another permit is asked for, which draws on the retry budget")
            {
                CHECK(trial.lastRequest()->isRetry);
                CHECK(trial.lastRequest()->avoid == std::vector{UpstreamId{"u"}});
                trial.grant("v");
                CHECK(trial.count<FlowSend>() == 2);
            }
        }
        WHEN("no connection could be made")
        {
            trial.end(AttemptEnd::NotSent);
            THEN("a further attempt isn't a repeat")
            {
                CHECK_FALSE(trial.lastRequest()->isRetry);
            }
        }
        WHEN("the further attempt is refused")
        {
            trial.end(AttemptEnd::NotRun);
            PermitVerdict verdict;
            verdict.kind = PermitVerdict::Kind::Refused;
            verdict.reason = Reason::RetryBudgetEmpty;
            verdict.retryAfter = milliseconds{90};
            trial.answer(verdict);
            THEN("the caller is told that it hasn't run, and when to come back")
            {
                CHECK(trial.refusal().status == 503);
                CHECK(trial.refusal().retryAfter == Duration{milliseconds{90}});
            }
        }
    }
    GIVEN("a repeatable request whose answer is lost")
    {
        FlowTrial trial;
        trial.begin(true);
        trial.grant();
        trial.end(AttemptEnd::NoAnswer);
        trial.grant("v");
        THEN("it is sent again, but not more often than its route allows")
        {
            CHECK(trial.count<FlowSend>() == 2);
            trial.end(AttemptEnd::NoAnswer);
            CHECK(trial.count<FlowSend>() == 2);
            CHECK(trial.refusal().status == 502);
        }
    }
    GIVEN("a repeatable request that an upstream has failed")
    {
        FlowTrial trial;
        trial.begin(true);
        trial.grant();
        trial.end(AttemptEnd::Failed);
        PermitVerdict verdict;
        verdict.kind = PermitVerdict::Kind::Refused;
        trial.answer(verdict);
        THEN("the upstream's own failure is delivered where no further attempt is allowed")
        {
            CHECK(trial.count<FlowDeliver>() == 1);
            CHECK(trial.count<FlowRefuse>() == 0);
        }
    }
}

SCENARIO("RequestFlow ends requests in time", "[entry]")
{
    GIVEN("an upstream that doesn't answer")
    {
        FlowTrial trial;
        trial.begin(false);
        trial.grant();
        trial.pass(milliseconds{1200});
        THEN("the attempt is broken off at the route's timeout and the caller is answered")
        {
            CHECK(trial.count<FlowAbort>() == 1);
            CHECK(trial.refusal().status == 504);
            CHECK(trial.flow.openCount() == 0);
        }
    }
    GIVEN("a grantor that keeps it waiting")
    {
        FlowTrial trial;
        trial.begin(false);
        trial.answer(PermitVerdict{});
        for (auto round = 0; round < 8; ++round) {
            trial.pass(milliseconds{110});
            if (trial.flow.openCount() > 0) {
                trial.answer(PermitVerdict{});
            }
        }
        THEN("it is refused as not run, and the grantor is told")
        {
            CHECK(trial.refusal().status == 503);
            CHECK(trial.countSent<PermitCancel>() == 1);
        }
    }
}

SCENARIO("RequestFlow cancels what its caller has left", "[entry]")
{
    GIVEN("a caller who leaves while the request waits")
    {
        FlowTrial trial;
        trial.begin(true);
        trial.flow.onCallerGone(ExchangeId{1}, trial.now);
        trial.settle();
        THEN("the grantor forgets it")
        {
            CHECK(trial.countSent<PermitCancel>() == 1);
            CHECK(trial.flow.openCount() == 0);
        }
        THEN("a permit that comes later goes back")
        {
            trial.grant();
            CHECK(trial.count<FlowSend>() == 0);
            CHECK(trial.countSent<PermitReport>() == 1);
        }
    }
    GIVEN("a caller who leaves while an upstream works")
    {
        for (const auto isRepeatable : {true, false}) {
            FlowTrial trial;
            trial.begin(isRepeatable);
            trial.grant();
            trial.flow.onCallerGone(ExchangeId{1}, trial.now);
            trial.settle();
            THEN("repeatable work is broken off, other work is left to end: "
                 + std::to_string(static_cast<int>(isRepeatable)))
            {
                CHECK(trial.count<FlowAbort>() == (isRepeatable ? 1 : 0));
                CHECK(trial.count<FlowRefuse>() == 0);
                CHECK(trial.countSent<PermitReport>() == (isRepeatable ? 1 : 0));
            }
        }
    }
}

SCENARIO("DirectChoice replaces spans that have moved", "[entry]")
{
    DirectChoice direct(1);
    const auto owned = [](KeyPosition first, KeyPosition last, const std::string &upstream) {
        PermitVerdict verdict;
        verdict.kind = PermitVerdict::Kind::Granted;
        verdict.upstream = UpstreamId{upstream};
        verdict.ownedRange = KeyRange{first, last};
        return verdict;
    };
    const Instant now{std::chrono::seconds{1}};
    PermitRequest request;
    request.service = service;
    direct.learn(service, owned(0, 100, "a"));
    direct.learn(service, owned(50, 60, "b"));
    request.key = KeyPosition{55};
    CHECK(direct.choose(request, now)->upstream.value == "b");
    request.key = KeyPosition{10};
    CHECK_FALSE(direct.choose(request, now).has_value());
}
