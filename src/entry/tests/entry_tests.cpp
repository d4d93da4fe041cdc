#include "entry/tests/requestflowfixture.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

SCENARIO("RequestFlow sends a request with a permit and returns it", "[entry]")
{
    RequestFlowFixture fixture;
    fixture.begin(false);
    fixture.grant();
    REQUIRE(fixture.count<FlowSend>() == 1);
    fixture.end(AttemptEnd::Answered);
    CHECK(fixture.count<FlowDeliver>() == 1);
    CHECK(fixture.countSent<PermitReport>() == 1);
    CHECK(fixture.flow.openCount() == 0);
}

SCENARIO("RequestFlow repeats only what may be repeated", "[entry]")
{
    GIVEN("a request that may run once")
    {
        RequestFlowFixture fixture;
        fixture.begin(false);
        fixture.grant();
        WHEN("no answer comes")
        {
            fixture.end(AttemptEnd::NoAnswer);
            THEN("it isn't sent again, and the caller isn't told that it hasn't run")
            {
                CHECK(fixture.count<FlowSend>() == 1);
                CHECK(fixture.refusal().status == 502);
                CHECK_FALSE(fixture.refusal().retryAfter.has_value());
            }
        }
        WHEN("the upstream says that it hasn't run it")
        {
            fixture.end(AttemptEnd::NotRun);
            THEN("another permit is asked for, which draws on the retry budget")
            {
                CHECK(fixture.lastRequest()->isRetry);
                CHECK(fixture.lastRequest()->avoid == std::vector{UpstreamId{"u"}});
                fixture.grant("v");
                CHECK(fixture.count<FlowSend>() == 2);
            }
        }
        WHEN("no connection could be made")
        {
            fixture.end(AttemptEnd::NotSent);
            THEN("a further attempt isn't a repeat")
            {
                CHECK_FALSE(fixture.lastRequest()->isRetry);
            }
        }
        WHEN("the further attempt is refused")
        {
            fixture.end(AttemptEnd::NotRun);
            PermitVerdict verdict;
            verdict.kind = PermitVerdict::Kind::Refused;
            verdict.reason = Reason::RetryBudgetEmpty;
            verdict.retryAfter = milliseconds{90};
            fixture.answer(verdict);
            THEN("the caller is told that it hasn't run, and when to come back")
            {
                CHECK(fixture.refusal().status == 503);
                CHECK(fixture.refusal().retryAfter == Duration{milliseconds{90}});
            }
        }
    }
    GIVEN("a repeatable request whose answer is lost")
    {
        RequestFlowFixture fixture;
        fixture.begin(true);
        fixture.grant();
        fixture.end(AttemptEnd::NoAnswer);
        fixture.grant("v");
        THEN("it is sent again, but not more often than its route allows")
        {
            CHECK(fixture.count<FlowSend>() == 2);
            fixture.end(AttemptEnd::NoAnswer);
            CHECK(fixture.count<FlowSend>() == 2);
            CHECK(fixture.refusal().status == 502);
        }
    }
    GIVEN("a repeatable request that an upstream has failed")
    {
        RequestFlowFixture fixture;
        fixture.begin(true);
        fixture.grant();
        fixture.end(AttemptEnd::Failed);
        PermitVerdict verdict;
        verdict.kind = PermitVerdict::Kind::Refused;
        fixture.answer(verdict);
        THEN("the upstream's own failure is delivered where no further attempt is allowed")
        {
            CHECK(fixture.count<FlowDeliver>() == 1);
            CHECK(fixture.count<FlowRefuse>() == 0);
        }
    }
}

SCENARIO("RequestFlow ends requests in time", "[entry]")
{
    GIVEN("an upstream that doesn't answer")
    {
        RequestFlowFixture fixture;
        fixture.begin(false);
        fixture.grant();
        fixture.advance(milliseconds{1200});
        THEN("the attempt is broken off at the route's timeout and the caller is answered")
        {
            CHECK(fixture.count<FlowAbort>() == 1);
            CHECK(fixture.refusal().status == 504);
            CHECK(fixture.flow.openCount() == 0);
        }
    }
    GIVEN("a grantor that keeps it waiting")
    {
        RequestFlowFixture fixture;
        fixture.begin(false);
        fixture.answer(PermitVerdict{});
        for (auto round = 0; round < 8; ++round) {
            fixture.advance(milliseconds{110});
            if (fixture.flow.openCount() > 0) {
                fixture.answer(PermitVerdict{});
            }
        }
        THEN("it is refused as not run, and the grantor is told")
        {
            CHECK(fixture.refusal().status == 503);
            CHECK(fixture.countSent<PermitCancel>() == 1);
        }
    }
}

SCENARIO("RequestFlow cancels what its caller has left", "[entry]")
{
    GIVEN("a caller who leaves while the request waits")
    {
        RequestFlowFixture fixture;
        fixture.begin(true);
        fixture.flow.onCallerGone(ExchangeId{1}, fixture.now);
        fixture.processPending();
        THEN("the grantor forgets it")
        {
            CHECK(fixture.countSent<PermitCancel>() == 1);
            CHECK(fixture.flow.openCount() == 0);
        }
        THEN("a permit that comes later goes back")
        {
            fixture.grant();
            CHECK(fixture.count<FlowSend>() == 0);
            CHECK(fixture.countSent<PermitReport>() == 1);
        }
    }
    GIVEN("a caller who leaves while an upstream works")
    {
        for (const auto isRepeatable : {true, false}) {
            RequestFlowFixture fixture;
            fixture.begin(isRepeatable);
            fixture.grant();
            fixture.flow.onCallerGone(ExchangeId{1}, fixture.now);
            fixture.processPending();
            THEN("repeatable work is broken off, other work is left to end: "
                 + std::to_string(static_cast<int>(isRepeatable)))
            {
                CHECK(fixture.count<FlowAbort>() == (isRepeatable ? 1 : 0));
                CHECK(fixture.count<FlowRefuse>() == 0);
                CHECK(fixture.countSent<PermitReport>() == (isRepeatable ? 1 : 0));
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
        verdict.owned = KeySpan{first, last};
        return verdict;
    };
    const Instant now{std::chrono::seconds{1}};
    PermitRequest request;
    request.service = service;
    direct.onGranted(service, owned(0, 100, "a"));
    direct.onGranted(service, owned(50, 60, "b"));
    request.key = KeyPosition{55};
    CHECK(direct.choose(request, now)->upstream.value == "b");
    request.key = KeyPosition{10};
    CHECK_FALSE(direct.choose(request, now).has_value());
}
