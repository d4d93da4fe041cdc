#include "entry/tests/requestflowfixture.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

SCENARIO("RequestFlow records the time of each stage and the outcome of a request", "[entry]")
{
    using Times = std::pair<std::uint64_t, Duration>;
    GIVEN("a request that waits 60 ms for its permit, 40 ms of them queued, and is sent twice")
    {
        RequestFlowFixture fixture;
        fixture.begin(true);
        fixture.advance(milliseconds{20});
        fixture.answer(PermitVerdict{});
        fixture.advance(milliseconds{40});
        fixture.grant();
        fixture.advance(milliseconds{10});
        fixture.end(AttemptEnd::NotRun);
        fixture.grant("v");
        fixture.advance(milliseconds{30});
        fixture.end(AttemptEnd::Answered);
        THEN("each stage has its count and total time")
        {
            CHECK(fixture.stageTotal(RequestStage::Queue) == Times{1, milliseconds{40}});
            CHECK(fixture.stageTotal(RequestStage::Permit) == Times{2, milliseconds{60}});
            CHECK(fixture.stageTotal(RequestStage::Upstream) == Times{2, milliseconds{40}});
            CHECK(fixture.stageTotal(RequestStage::Total) == Times{1, milliseconds{100}});
        }
        THEN("the retry is counted with its reason, and the answer once")
        {
            CHECK(fixture.eventCount(CountedEvent::Retried, Reason::UpstreamShed) == 1);
            CHECK(fixture.eventCount(CountedEvent::Answered, Reason::None) == 1);
        }
    }
    GIVEN("a request that is refused, and one whose answer is lost")
    {
        RequestFlowFixture fixture;
        fixture.begin(false);
        PermitVerdict verdict;
        verdict.kind = PermitVerdict::Kind::Refused;
        verdict.reason = Reason::QueueFull;
        fixture.answer(verdict);
        fixture.begin(false);
        fixture.grant();
        fixture.end(AttemptEnd::NoAnswer);
        THEN("refusals and unknown outcomes are counted separately")
        {
            CHECK(fixture.eventCount(CountedEvent::Refused, Reason::QueueFull) == 1);
            CHECK(fixture.eventCount(CountedEvent::Unknown, Reason::AnswerLost) == 1);
            CHECK(fixture.stageTotal(RequestStage::Total).first == 2);
        }
    }
}
