#include "entry/tests/requestflowfixture.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

SCENARIO("RequestFlow serves requests without a grantor", "[entry]")
{
    GIVEN("a known upstream, and a grantor that doesn't answer")
    {
        RequestFlowFixture fixture;
        UpstreamEntry entry;
        entry.id = UpstreamId{"u"};
        entry.service = service;
        entry.address = Address{"10.1.0.1:80"};
        fixture.direct.setUpstreams({entry}, fixture.now);
        fixture.begin(false);
        fixture.advance(milliseconds{200});
        THEN("the request is sent directly after 150 ms without an answer, half of its target "
             "latency")
        {
            REQUIRE(fixture.count<FlowSend>() == 1);
            CHECK(std::get<FlowSend>(fixture.commands.front()).upstream.value == "u");
        }
        THEN("an attempt that wasn't run isn't retried without the grantor's retry budget")
        {
            fixture.end(AttemptEnd::NotRun);
            // 150 ms of unanswered datagrams, then half of the remaining time to wait for a
            // grantor.
            fixture.advance(milliseconds{375});
            CHECK(fixture.count<FlowSend>() == 1);
            CHECK(fixture.refusal().status == 503);
        }
    }
    GIVEN("known upstreams of which some may have started draining since they were read")
    {
        RequestFlowFixture fixture;
        UpstreamEntry entry;
        entry.id = UpstreamId{"u"};
        entry.service = service;
        entry.address = Address{"10.1.0.1:80"};
        fixture.direct.setUpstreams({entry}, fixture.now);
        fixture.direct.setTrusted(false);
        fixture.begin(false);
        fixture.advance(milliseconds{200});
        THEN("none is chosen until the store has been read again")
        {
            CHECK(fixture.count<FlowSend>() == 0);
            entry.id = UpstreamId{"v"};
            fixture.direct.setUpstreams({entry}, fixture.now);
            fixture.direct.setTrusted(true);
            fixture.advance(milliseconds{200});
            REQUIRE(fixture.count<FlowSend>() == 1);
            CHECK(std::get<FlowSend>(fixture.commands.front()).upstream.value == "v");
        }
    }
    GIVEN("no known grantor, as after a power loss of all daemons")
    {
        RequestFlowFixture fixture(false);
        fixture.begin(false);
        WHEN("a grantor is elected within the time that an election takes")
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
        WHEN("none is elected within half of the request's time")
        {
            fixture.advance(milliseconds{405});
            THEN("it is refused, and the next request is refused at once")
            {
                CHECK(fixture.refusal().status == 503);
                CHECK(fixture.refusal().reason == Reason::GrantorUnreachable);
                CHECK(fixture.flow.openCount() == 0);
                fixture.begin(false);
                CHECK(fixture.count<FlowRefuse>() == 2);
            }
        }
        WHEN("the caller disconnects while its request waits")
        {
            fixture.flow.onCallerGone(ExchangeId{1}, fixture.now);
            fixture.processPending();
            THEN("nothing is sent")
            {
                CHECK(fixture.sent.empty());
                CHECK(fixture.flow.openCount() == 0);
            }
        }
    }
    GIVEN("a grantor that has been replaced without the entry daemon's knowledge")
    {
        RequestFlowFixture fixture;
        fixture.begin(false);
        const Address other{"10.0.0.3:7000"};
        PermitVerdict verdict;
        verdict.kind = PermitVerdict::Kind::NotGrantor;
        WHEN("it names its successor")
        {
            verdict.address = other;
            verdict.grantorTerm = 2;
            fixture.answer(verdict);
            fixture.advance(milliseconds{5});
            THEN("the successor is asked at once")
            {
                CHECK(fixture.count<FlowRefuse>() == 0);
                CHECK(fixture.sent.back().peer == other);
                CHECK(*fixture.permits.grantorOf(service) == other);
            }
        }
        WHEN("it names a grantor of a lower term, or none")
        {
            for (const auto &address : {other, Address{}}) {
                RequestFlowFixture fixtureAtTerm5;
                fixtureAtTerm5.permits.setGrantor(service, grantor, 5);
                fixtureAtTerm5.begin(false);
                verdict.address = address;
                verdict.grantorTerm = 3;
                fixtureAtTerm5.answer(verdict);
                THEN("the known grantor stays, and the request waits for the next one: "
                     + address.value)
                {
                    CHECK(*fixtureAtTerm5.permits.grantorOf(service) == grantor);
                    CHECK(fixtureAtTerm5.count<FlowRefuse>() == 0);
                    fixtureAtTerm5.permits.setGrantor(service, other, 6);
                    fixtureAtTerm5.advance(milliseconds{45});
                    fixtureAtTerm5.sent.clear();
                    fixtureAtTerm5.advance(milliseconds{55});
                    CHECK(fixtureAtTerm5.sent.back().peer == other);
                }
            }
        }
    }
    GIVEN("a new grantor while a request is pending at the old one")
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

// Guards against reports that the flow doesn't pass on to the choice without a grantor.
SCENARIO("RequestFlow learns the loads of upstreams for the time without a grantor",
         "[entry][even]")
{
    GIVEN("two upstreams, one of which has reported a load and a slowdown in an answer")
    {
        RequestFlowFixture fixture;
        std::vector<UpstreamEntry> entries;
        for (const auto *id : {"u", "v"}) {
            UpstreamEntry entry;
            entry.id = UpstreamId{id};
            entry.service = service;
            entry.address = Address{"10.1.0.1:80"};
            entry.slots = 3;
            entries.push_back(entry);
        }
        fixture.direct.setUpstreams(entries, fixture.now);
        fixture.begin(false);
        fixture.grant("u");
        FlowAttemptEnd end;
        end.exchange = ExchangeId{1};
        end.end = AttemptEnd::Answered;
        end.load = ReportedLoad{3, 2, 3, 3.0};
        fixture.end(end);
        THEN("the other one is chosen")
        {
            PermitRequest request;
            request.service = service;
            for (auto count = 0; count < 20; ++count) {
                CHECK(fixture.direct.choose(request, fixture.now)->upstream.value == "v");
            }
        }
    }
}
