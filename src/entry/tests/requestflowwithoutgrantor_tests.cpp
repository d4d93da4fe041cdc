#include "entry/tests/requestflowfixture.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

SCENARIO("RequestFlow goes on without its grantor", "[entry]")
{
    GIVEN("a known owner of the key, and a grantor that doesn't answer")
    {
        RequestFlowFixture fixture;
        UpstreamEntry entry;
        entry.id = UpstreamId{"u"};
        entry.service = service;
        entry.address = Address{"10.1.0.1:80"};
        fixture.direct.setUpstreams({entry});
        fixture.begin(false);
        fixture.advance(milliseconds{200});
        THEN("the request is sent directly within a quarter of its target's double")
        {
            REQUIRE(fixture.count<FlowSend>() == 1);
            CHECK(std::get<FlowSend>(fixture.commands.front()).upstream.value == "u");
        }
        THEN("an attempt that wasn't run isn't repeated without the budget's keeper")
        {
            fixture.end(AttemptEnd::NotRun);
            // 150 ms of datagrams without an answer, then half of the rest for a grantor that may
            // come.
            fixture.advance(milliseconds{375});
            CHECK(fixture.count<FlowSend>() == 1);
            CHECK(fixture.refusal().status == 503);
        }
    }
    GIVEN("upstreams as they were known some time ago, of which some may be leaving by now")
    {
        RequestFlowFixture fixture;
        UpstreamEntry entry;
        entry.id = UpstreamId{"u"};
        entry.service = service;
        entry.address = Address{"10.1.0.1:80"};
        fixture.direct.setUpstreams({entry});
        fixture.direct.setTrusted(false);
        fixture.begin(false);
        fixture.advance(milliseconds{200});
        THEN("none is chosen until the store has been read again")
        {
            CHECK(fixture.count<FlowSend>() == 0);
            entry.id = UpstreamId{"v"};
            fixture.direct.setUpstreams({entry});
            fixture.direct.setTrusted(true);
            fixture.advance(milliseconds{200});
            REQUIRE(fixture.count<FlowSend>() == 1);
            CHECK(std::get<FlowSend>(fixture.commands.front()).upstream.value == "v");
        }
    }
    GIVEN("no grantor known yet, as after a loss of power of all daemons")
    {
        RequestFlowFixture fixture(false);
        fixture.begin(false);
        WHEN("one is elected within the time that an election takes")
        {
            fixture.advance(milliseconds{350});
            CHECK(fixture.count<FlowRefuse>() == 0);
            fixture.permits.setGrantor(service, grantor, 1);
            fixture.advance(milliseconds{45});
            THEN("it is asked, and the request is served")
            {
                REQUIRE(fixture.lastRequest() != nullptr);
                fixture.grant();
                CHECK(fixture.count<FlowSend>() == 1);
            }
        }
        WHEN("none comes in half of the request's time")
        {
            fixture.advance(milliseconds{405});
            THEN("it is refused, and those that come then are refused at once")
            {
                CHECK(fixture.refusal().status == 503);
                CHECK(fixture.refusal().reason == Reason::GrantorUnreachable);
                CHECK(fixture.flow.openCount() == 0);
                fixture.begin(false);
                CHECK(fixture.count<FlowRefuse>() == 2);
            }
        }
        WHEN("the caller leaves meanwhile")
        {
            fixture.flow.onCallerGone(ExchangeId{1}, fixture.now);
            fixture.processPending();
            THEN("nothing is sent to anybody")
            {
                CHECK(fixture.sent.empty());
                CHECK(fixture.flow.openCount() == 0);
            }
        }
    }
    GIVEN("a grantor that has been replaced, which the entry daemon hasn't heard")
    {
        RequestFlowFixture fixture;
        fixture.begin(false);
        const Address other{"10.0.0.3:7000"};
        PermitVerdict verdict;
        verdict.kind = PermitVerdict::Kind::NotGrantor;
        WHEN("it names the new one")
        {
            verdict.address = other;
            verdict.grantorTerm = 2;
            fixture.answer(verdict);
            fixture.advance(milliseconds{5});
            THEN("that one is asked at once")
            {
                CHECK(fixture.count<FlowRefuse>() == 0);
                CHECK(fixture.sent.back().peer == other);
                CHECK(*fixture.permits.grantorOf(service) == other);
            }
        }
        WHEN("it names an earlier one, or none")
        {
            for (const auto &address : {other, Address{}}) {
                RequestFlowFixture again;
                again.permits.setGrantor(service, grantor, 5);
                again.begin(false);
                verdict.address = address;
                verdict.grantorTerm = 3;
                again.answer(verdict);
                THEN("it isn't followed, and the request is kept for the next: " + address.value)
                {
                    CHECK(*again.permits.grantorOf(service) == grantor);
                    CHECK(again.count<FlowRefuse>() == 0);
                    again.permits.setGrantor(service, other, 6);
                    again.advance(milliseconds{45});
                    again.sent.clear();
                    again.advance(milliseconds{55});
                    CHECK(again.sent.back().peer == other);
                }
            }
        }
    }
    GIVEN("a new grantor while the request waits at the old one")
    {
        RequestFlowFixture fixture;
        fixture.begin(false);
        const Address other{"10.0.0.3:7000"};
        fixture.permits.setGrantor(service, other, 2);
        fixture.advance(milliseconds{10});
        THEN("the new one is asked, and announcements of the old one are ignored")
        {
            CHECK(fixture.sent.back().peer == other);
            fixture.permits.setGrantor(service, grantor, 1);
            CHECK(*fixture.permits.grantorOf(service) == other);
        }
    }
}
