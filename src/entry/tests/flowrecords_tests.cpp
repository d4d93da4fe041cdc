#include "entry/tests/flowtrial.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

SCENARIO("RequestFlow records where a request's time went and how it ended", "[entry]")
{
    using Times = std::pair<std::uint64_t, Duration>;
    GIVEN("a request that waits 60 ms for its permit, of them 40 ms queued, and is sent twice")
    {
        FlowTrial trial;
        trial.begin(true);
        trial.pass(milliseconds{20});
        trial.answer(PermitVerdict{});
        trial.pass(milliseconds{40});
        trial.grant();
        trial.pass(milliseconds{10});
        trial.end(AttemptEnd::NotRun);
        trial.grant("v");
        trial.pass(milliseconds{30});
        trial.end(AttemptEnd::Answered);
        THEN("each stage has its times")
        {
            CHECK(trial.stage(RequestStage::Queue) == Times{1, milliseconds{40}});
            CHECK(trial.stage(RequestStage::Permit) == Times{2, milliseconds{60}});
            CHECK(trial.stage(RequestStage::Upstream) == Times{2, milliseconds{40}});
            CHECK(trial.stage(RequestStage::Whole) == Times{1, milliseconds{100}});
        }
        THEN("the repeat is counted with its reason, and the answer once")
        {
            CHECK(trial.counted(CountedEvent::Retried, Reason::UpstreamShed) == 1);
            CHECK(trial.counted(CountedEvent::Answered, Reason::None) == 1);
        }
    }
    GIVEN("a request that is refused, and one whose answer is lost")
    {
        FlowTrial trial;
        trial.begin(false);
        PermitVerdict verdict;
        verdict.kind = PermitVerdict::Kind::Refused;
        verdict.reason = Reason::QueueFull;
        trial.answer(verdict);
        trial.begin(false);
        trial.grant();
        trial.end(AttemptEnd::NoAnswer);
        THEN("refusals and unknown outcomes are counted apart")
        {
            CHECK(trial.counted(CountedEvent::Refused, Reason::QueueFull) == 1);
            CHECK(trial.counted(CountedEvent::Unknown, Reason::AnswerLost) == 1);
            CHECK(trial.stage(RequestStage::Whole).first == 2);
        }
    }
}
