#include "entry/tests/flowtrial.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

SCENARIO("RequestFlow goes on without its grantor", "[entry]")
{
    GIVEN("a known owner of the key, and a grantor that doesn't answer")
    {
        FlowTrial trial;
        UpstreamEntry entry;
        entry.id = UpstreamId{"u"};
        entry.service = service;
        entry.address = Address{"10.1.0.1:80"};
        trial.direct.setUpstreams({entry});
        trial.begin(false);
        trial.pass(milliseconds{200});
        THEN("the request is sent directly within a quarter of its target's double")
        {
            REQUIRE(trial.count<FlowSend>() == 1);
            CHECK(std::get<FlowSend>(trial.commands.front()).upstream.value == "u");
        }
        THEN("an attempt that wasn't run isn't repeated without the budget's keeper")
        {
            trial.end(AttemptEnd::NotRun);
            // 150 ms of datagrams without an answer, then half of the rest for a grantor that may
            // come.
            trial.pass(milliseconds{375});
            CHECK(trial.count<FlowSend>() == 1);
            CHECK(trial.refusal().status == 503);
        }
    }
    GIVEN("upstreams as they were known some time ago, of which some may be leaving by now")
    {
        FlowTrial trial;
        UpstreamEntry entry;
        entry.id = UpstreamId{"u"};
        entry.service = service;
        entry.address = Address{"10.1.0.1:80"};
        trial.direct.setUpstreams({entry});
        trial.direct.setTrusted(false);
        trial.begin(false);
        trial.pass(milliseconds{200});
        THEN("none is chosen until the store has been read again")
        {
            CHECK(trial.count<FlowSend>() == 0);
            entry.id = UpstreamId{"v"};
            trial.direct.setUpstreams({entry});
            trial.direct.setTrusted(true);
            trial.pass(milliseconds{200});
            REQUIRE(trial.count<FlowSend>() == 1);
            CHECK(std::get<FlowSend>(trial.commands.front()).upstream.value == "v");
        }
    }
    GIVEN("no grantor known yet, as after a loss of power of all daemons")
    {
        FlowTrial trial(false);
        trial.begin(false);
        WHEN("one is elected within the time that an election takes")
        {
            trial.pass(milliseconds{350});
            CHECK(trial.count<FlowRefuse>() == 0);
            trial.permits.setGrantor(service, grantor, 1);
            trial.pass(milliseconds{45});
            THEN("it is asked, and the request is served")
            {
                REQUIRE(trial.lastRequest() != nullptr);
                trial.grant();
                CHECK(trial.count<FlowSend>() == 1);
            }
        }
        WHEN("none comes in half of the request's time")
        {
            trial.pass(milliseconds{405});
            THEN("it is refused, and those that come then are refused at once")
            {
                CHECK(trial.refusal().status == 503);
                CHECK(trial.refusal().reason == Reason::GrantorUnreachable);
                CHECK(trial.flow.openCount() == 0);
                trial.begin(false);
                CHECK(trial.count<FlowRefuse>() == 2);
            }
        }
        WHEN("the caller leaves meanwhile")
        {
            trial.flow.onCallerGone(ExchangeId{1}, trial.now);
            trial.settle();
            THEN("nothing is sent to anybody")
            {
                CHECK(trial.sent.empty());
                CHECK(trial.flow.openCount() == 0);
            }
        }
    }
    GIVEN("a grantor that has been replaced, which the entry daemon hasn't heard")
    {
        FlowTrial trial;
        trial.begin(false);
        const Address other{"10.0.0.3:7000"};
        PermitVerdict verdict;
        verdict.kind = PermitVerdict::Kind::NotGrantor;
        WHEN("it names the new one")
        {
            verdict.address = other;
            verdict.grantorTerm = 2;
            trial.answer(verdict);
            trial.pass(milliseconds{5});
            THEN("that one is asked at once")
            {
                CHECK(trial.count<FlowRefuse>() == 0);
                CHECK(trial.sent.back().peer == other);
                CHECK(*trial.permits.grantorOf(service) == other);
            }
        }
        WHEN("it names an earlier one, or none")
        {
            for (const auto &address : {other, Address{}}) {
                FlowTrial again;
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
                    again.pass(milliseconds{45});
                    again.sent.clear();
                    again.pass(milliseconds{55});
                    CHECK(again.sent.back().peer == other);
                }
            }
        }
    }
    GIVEN("a new grantor while the request waits at the old one")
    {
        FlowTrial trial;
        trial.begin(false);
        const Address other{"10.0.0.3:7000"};
        trial.permits.setGrantor(service, other, 2);
        trial.pass(milliseconds{10});
        THEN("the new one is asked, and announcements of the old one are ignored")
        {
            CHECK(trial.sent.back().peer == other);
            trial.permits.setGrantor(service, grantor, 1);
            CHECK(*trial.permits.grantorOf(service) == other);
        }
    }
}
