#include "entry/tests/requestflowfixture.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

namespace {

const Address forwarder{"10.0.0.9:7000"};
const Address upstreamAddress{"10.1.0.1:80"};

/// Cuts the fixture's VM off from its upstreams.
auto loseLinks(RequestFlowFixture &fixture) -> void
{
    const Address lost{"10.1.0.99:80"};
    fixture.reach.onSent(lost, fixture.now);
    fixture.reach.onEnd(lost, AttemptEnd::NotSent, fixture.now, fixture.now);
    fixture.reach.onSent(upstreamAddress, fixture.now);
    fixture.reach.onEnd(upstreamAddress, AttemptEnd::NotSent, fixture.now, fixture.now);
    fixture.reach.advance(fixture.now);
    for (const auto &probe : fixture.reach.takeProbes()) {
        static_cast<void>(probe);
        fixture.reach.onProbeEnd(false, fixture.now);
    }
    REQUIRE(fixture.reach.isIsolated());
}

auto restoreLinks(RequestFlowFixture &fixture) -> void
{
    fixture.now += UpstreamReachSettings{}.probeInterval;
    fixture.reach.advance(fixture.now);
    fixture.reach.onProbeEnd(true, fixture.now);
    REQUIRE_FALSE(fixture.reach.isIsolated());
}

auto grantThrough(RequestFlowFixture &fixture, const Address &through) -> void
{
    PermitVerdict verdict;
    verdict.kind = PermitVerdict::Kind::Granted;
    verdict.upstream = UpstreamId{"u"};
    verdict.incarnation = Incarnation{5};
    verdict.address = upstreamAddress;
    verdict.forwarder = through;
    fixture.answer(verdict);
}

auto lastSend(const RequestFlowFixture &fixture) -> FlowSend
{
    REQUIRE_FALSE(fixture.commands.empty());
    const auto *send = std::get_if<FlowSend>(&fixture.commands.back());
    REQUIRE(send != nullptr);
    return *send;
}

} // namespace

// Callers of a VM that had lost its links were refused although other VMs reached the upstreams.
SCENARIO("RequestFlow: given a VM that reaches no upstream, its requests go through other daemons",
         "[entry][isolated]")
{
    RequestFlowFixture fixture;
    loseLinks(fixture);
    fixture.begin(false);
    REQUIRE(fixture.lastRequest()->isIsolated);
    WHEN("the grantor names a forwarder")
    {
        grantThrough(fixture, forwarder);
        THEN("the request is sent to it, and the report names it")
        {
            const auto send = lastSend(fixture);
            CHECK(send.forwarder == forwarder);
            CHECK(send.address == upstreamAddress);
            CHECK(send.incarnation == Incarnation{5});
            fixture.end(AttemptEnd::Answered);
            CHECK(fixture.lastReport()->forwarder == forwarder);
            CHECK(fixture.count<FlowDeliver>() == 1);
            CHECK(fixture.flow.forwardedCount() == 1);
        }
        THEN("a forwarder that hasn't sent it on is replaced, also where it may run only once")
        {
            fixture.end(AttemptEnd::NotSent);
            CHECK(fixture.lastReport()->end == AttemptEnd::NotSent);
            CHECK(fixture.lastReport()->forwarder == forwarder);
            CHECK(fixture.lastRequest()->avoid.empty());
            CHECK_FALSE(fixture.lastRequest()->isRetry);
            grantThrough(fixture, Address{"10.0.0.8:7000"});
            CHECK(lastSend(fixture).forwarder == Address{"10.0.0.8:7000"});
        }
        THEN("a request whose forwarder was lost has an unknown outcome, and isn't sent again")
        {
            fixture.end(AttemptEnd::NoAnswer);
            CHECK(fixture.count<FlowSend>() == 1);
            CHECK(fixture.refusal().status == 502);
        }
        THEN("forwarders that can't be reached don't keep the request for ever")
        {
            for (int tries = 0; tries < 10 && fixture.count<FlowRefuse>() == 0; ++tries) {
                fixture.end(AttemptEnd::NotSent);
                grantThrough(fixture, forwarder);
            }
            CHECK(fixture.refusal().status == 503);
            CHECK(fixture.refusal().retryAfter);
        }
    }
    WHEN("the grantor names none, as it was asked before the links were lost")
    {
        fixture.grant();
        THEN("the permit is returned unused, and another one is asked for")
        {
            CHECK(fixture.count<FlowSend>() == 0);
            CHECK(fixture.lastReport()->end == AttemptEnd::Unused);
            CHECK(fixture.countSent<PermitRequest>() == 2);
        }
        THEN("after some such permits, the request is refused as not run")
        {
            for (int tries = 0; tries < 10 && fixture.count<FlowRefuse>() == 0; ++tries) {
                fixture.grant();
            }
            CHECK(fixture.count<FlowSend>() == 0);
            CHECK(fixture.refusal().status == 503);
            CHECK(fixture.refusal().reason == Reason::UpstreamUnreachable);
            CHECK(fixture.refusal().retryAfter);
        }
    }
    WHEN("the links are back")
    {
        restoreLinks(fixture);
        fixture.begin(ExchangeId{2}, std::nullopt);
        THEN("requests are sent straight to the upstreams again")
        {
            CHECK_FALSE(fixture.lastRequest()->isIsolated);
            fixture.grant();
            CHECK(lastSend(fixture).forwarder.empty());
        }
    }
}

SCENARIO("RequestFlow: given attempts that hang, losing the links sends repeatable ones anew",
         "[entry][isolated]")
{
    RequestFlowFixture fixture;
    GIVEN("a repeatable request at an upstream")
    {
        fixture.begin(true);
        fixture.grant();
        loseLinks(fixture);
        fixture.advance(milliseconds{5});
        THEN("the attempt is aborted, and the request asks for a retry through a forwarder")
        {
            CHECK(fixture.count<FlowAbort>() == 1);
            CHECK(fixture.lastRequest()->isRetry);
            CHECK(fixture.lastRequest()->isIsolated);
            grantThrough(fixture, forwarder);
            CHECK(lastSend(fixture).forwarder == forwarder);
        }
    }
    GIVEN("a request that may run only once")
    {
        fixture.begin(false);
        fixture.grant();
        loseLinks(fixture);
        fixture.advance(milliseconds{5});
        THEN("it stays where it is, as it may be running")
        {
            CHECK(fixture.count<FlowAbort>() == 0);
            CHECK(fixture.count<FlowSend>() == 1);
        }
    }
    GIVEN("a request at a forwarder")
    {
        loseLinks(fixture);
        fixture.advance(milliseconds{5});
        fixture.begin(true);
        grantThrough(fixture, forwarder);
        fixture.advance(milliseconds{50});
        THEN("it isn't aborted")
        {
            CHECK(fixture.count<FlowAbort>() == 0);
        }
    }
}

SCENARIO("RequestFlow: given neither links nor a grantor, lately named forwarders are used",
         "[entry][isolated]")
{
    RequestFlowFixture fixture;
    UpstreamEntry entry;
    entry.id = UpstreamId{"u"};
    entry.service = service;
    entry.address = upstreamAddress;
    entry.slots = 3;
    fixture.direct.setUpstreams({entry}, fixture.now);
    loseLinks(fixture);
    GIVEN("a forwarder that was named lately")
    {
        fixture.begin(ExchangeId{1}, std::nullopt);
        grantThrough(fixture, forwarder);
        fixture.end(AttemptEnd::Answered);
        fixture.begin(ExchangeId{2}, std::nullopt);
        fixture.advance(milliseconds{200});
        THEN("the request goes through it without a permit")
        {
            CHECK(lastSend(fixture).exchange == ExchangeId{2});
            CHECK(lastSend(fixture).forwarder == forwarder);
        }
    }
    GIVEN("none")
    {
        fixture.begin(ExchangeId{2}, std::nullopt);
        fixture.advance(milliseconds{200});
        THEN("the request is refused as not run, and isn't kept until its deadline")
        {
            CHECK(fixture.refusal().status == 503);
            CHECK(fixture.refusal().reason == Reason::UpstreamUnreachable);
            CHECK(fixture.refusal().retryAfter);
        }
    }
}
