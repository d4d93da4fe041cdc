#include "entry/tests/requestflowfixture.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

SCENARIO("RequestFlow sends a permitted request and returns the permit", "[entry]")
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

SCENARIO("RequestFlow retries only requests that may run again", "[entry]")
{
    GIVEN("a request that isn't repeatable")
    {
        RequestFlowFixture fixture;
        fixture.begin(false);
        fixture.grant();
        WHEN("no answer comes")
        {
            fixture.end(AttemptEnd::NoAnswer);
            THEN("it isn't retried, and the refusal doesn't claim that it hasn't run")
            {
                CHECK(fixture.count<FlowSend>() == 1);
                CHECK(fixture.refusal().status == 502);
                CHECK_FALSE(fixture.refusal().retryAfter.has_value());
            }
        }
        WHEN("the upstream reports that it hasn't run the request")
        {
            fixture.end(AttemptEnd::NotRun);
            THEN("a permit for a retry that avoids this upstream is requested")
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
            THEN("the next attempt doesn't count as a retry")
            {
                CHECK_FALSE(fixture.lastRequest()->isRetry);
            }
        }
        WHEN("the grantor refuses the retry")
        {
            fixture.end(AttemptEnd::NotRun);
            PermitVerdict verdict;
            verdict.kind = PermitVerdict::Kind::Refused;
            verdict.reason = Reason::RetryBudgetEmpty;
            verdict.retryAfter = milliseconds{90};
            fixture.answer(verdict);
            THEN("the caller gets 503 with the grantor's retry delay")
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
        THEN("it is retried up to the route's limit of attempts")
        {
            CHECK(fixture.count<FlowSend>() == 2);
            fixture.end(AttemptEnd::NoAnswer);
            CHECK(fixture.count<FlowSend>() == 2);
            CHECK(fixture.refusal().status == 502);
        }
    }
    GIVEN("a repeatable request that an upstream answered with a server error")
    {
        RequestFlowFixture fixture;
        fixture.begin(true);
        fixture.grant();
        fixture.end(AttemptEnd::Failed);
        PermitVerdict verdict;
        verdict.kind = PermitVerdict::Kind::Refused;
        fixture.answer(verdict);
        THEN("the upstream's error is delivered when the retry is refused")
        {
            CHECK(fixture.count<FlowDeliver>() == 1);
            CHECK(fixture.count<FlowRefuse>() == 0);
        }
    }
}

SCENARIO("RequestFlow ends requests at their deadline", "[entry]")
{
    GIVEN("an upstream that doesn't answer")
    {
        RequestFlowFixture fixture;
        fixture.begin(false);
        fixture.grant();
        fixture.advance(milliseconds{1200});
        THEN("the attempt is aborted after the route's timeout and the caller gets 504")
        {
            CHECK(fixture.count<FlowAbort>() == 1);
            CHECK(fixture.refusal().status == 504);
            CHECK(fixture.flow.openCount() == 0);
        }
    }
    GIVEN("a grantor that keeps the request queued")
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
        THEN("it is refused with 503, and its permit request is cancelled")
        {
            CHECK(fixture.refusal().status == 503);
            CHECK(fixture.countSent<PermitCancel>() == 1);
        }
    }
}

// Guards against requests that are cut off without an answer, because their upstream leaves them
// unanswered until the daemon ends.
SCENARIO("RequestFlow answers requests that are still at an upstream when the daemon stops",
         "[entry]")
{
    const auto isIdempotent = GENERATE(true, false);
    RequestFlowFixture fixture;
    fixture.begin(isIdempotent);
    fixture.grant();
    fixture.flow.endSent(fixture.now);
    fixture.processPending();
    CHECK(fixture.refusal().status == 502);
    CHECK_FALSE(fixture.refusal().retryAfter.has_value());
    CHECK(fixture.count<FlowAbort>() == 1);
    CHECK(fixture.countSent<PermitReport>() == 1);
    CHECK(fixture.flow.openCount() == 0);
}

SCENARIO("RequestFlow refuses requests that wait when the daemon is about to stop", "[entry]")
{
    // Guards against requests that are cut off without an answer: they waited for a permit, in an
    // outage of the store, when the daemon ended.
    GIVEN("a request without a permit")
    {
        const auto hasGrantor = GENERATE(true, false);
        RequestFlowFixture fixture(hasGrantor);
        fixture.begin(false);
        fixture.flow.refuseWaiting(fixture.now);
        fixture.processPending();
        THEN("it is refused at once as one that hasn't run, and leaves the grantor's queue")
        {
            CHECK(fixture.refusal().status == 503);
            CHECK(fixture.refusal().reason == Reason::ShuttingDown);
            CHECK(fixture.refusal().retryAfter.has_value());
            CHECK(fixture.countSent<PermitCancel>() == (hasGrantor ? 1 : 0));
            CHECK(fixture.flow.openCount() == 0);
        }
    }
    GIVEN("a request at its upstream")
    {
        RequestFlowFixture fixture;
        fixture.begin(false);
        fixture.grant();
        fixture.flow.refuseWaiting(fixture.now);
        fixture.end(AttemptEnd::Answered);
        THEN("its answer is delivered")
        {
            CHECK(fixture.count<FlowRefuse>() == 0);
            CHECK(fixture.count<FlowDeliver>() == 1);
        }
    }
}

SCENARIO("RequestFlow cancels the request of a caller that has disconnected", "[entry]")
{
    GIVEN("a caller that disconnects while its permit is pending")
    {
        RequestFlowFixture fixture;
        fixture.begin(true);
        fixture.flow.onCallerGone(ExchangeId{1}, fixture.now);
        fixture.processPending();
        THEN("the permit request is cancelled at the grantor")
        {
            CHECK(fixture.countSent<PermitCancel>() == 1);
            CHECK(fixture.flow.openCount() == 0);
        }
        THEN("a permit that arrives later is returned")
        {
            fixture.grant();
            CHECK(fixture.count<FlowSend>() == 0);
            CHECK(fixture.countSent<PermitReport>() == 1);
        }
    }
    GIVEN("a caller that disconnects during an attempt")
    {
        for (const auto isRepeatable : {true, false}) {
            RequestFlowFixture fixture;
            fixture.begin(isRepeatable);
            fixture.grant();
            fixture.flow.onCallerGone(ExchangeId{1}, fixture.now);
            fixture.processPending();
            THEN("a repeatable attempt is aborted, another runs to its end; repeatable: "
                 + std::to_string(static_cast<int>(isRepeatable)))
            {
                CHECK(fixture.count<FlowAbort>() == (isRepeatable ? 1 : 0));
                CHECK(fixture.count<FlowRefuse>() == 0);
                CHECK(fixture.countSent<PermitReport>() == (isRepeatable ? 1 : 0));
            }
        }
    }
}

SCENARIO("DirectChoice replaces ranges whose owner has changed", "[entry]")
{
    UpstreamStatements statements{UpstreamStatementSettings{}};
    DirectChoice direct(1, statements);
    direct.setTrusted(true);
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
    direct.onGranted(service, owned(0, 100, "a"));
    direct.onGranted(service, owned(50, 60, "b"));
    request.key = KeyPosition{55};
    CHECK(direct.choose(request, now)->upstream.value == "b");
    request.key = KeyPosition{10};
    CHECK_FALSE(direct.choose(request, now).has_value());
}

// Guards against requests without a permit to an upstream that may have left in an outage of the
// store.
SCENARIO("DirectChoice: given an upstream that the store doesn't show, it is chosen only where "
         "there is no other",
         "[entry][leaves]")
{
    UpstreamStatements statements{UpstreamStatementSettings{}};
    DirectChoice direct(1, statements);
    direct.setTrusted(true);
    UpstreamEntry missing;
    missing.id = UpstreamId{"a"};
    missing.service = service;
    missing.isMissing = true;
    UpstreamEntry shown;
    shown.id = UpstreamId{"b"};
    shown.service = service;
    const Instant now{std::chrono::seconds{1}};
    PermitRequest request;
    request.service = service;
    GIVEN("another upstream, though it is busier")
    {
        direct.setUpstreams({missing, shown}, now);
        for (auto count = 0; count < 20; ++count) {
            CHECK(direct.choose(request, now)->upstream == shown.id);
            direct.onSent(shown.id, now);
        }
    }
    GIVEN("no other upstream")
    {
        direct.setUpstreams({missing}, now);
        CHECK(direct.choose(request, now)->upstream == missing.id);
    }
}
