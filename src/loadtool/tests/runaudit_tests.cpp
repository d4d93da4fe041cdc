#include "loadtool/runaudit.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

auto run(const char *upstream, std::uint64_t number, const char *id, Duration start, Duration end)
    -> ObservedRun
{
    return {{upstream}, {1}, number, {id}, {"k"}, false, Instant{start}, Instant{end}, true};
}

} // namespace

SCENARIO("RunAudit compares runs with the ends that callers saw", "[runaudit]")
{
    RunAudit audit;
    audit.add(run("u1", 1, "a", 0ms, 10ms));
    audit.add(run("u2", 1, "b", 10ms, 20ms));
    CHECK(audit.result({{{"a"}, CallEndKind::Answer}, {{"b"}, CallEndKind::Unknown}})
          == AuditResult{2, 0, 0, 0, 0, 0, 0, 0});
    GIVEN("a booking that runs again at another upstream")
    {
        audit.add(run("u2", 2, "a", 30ms, 40ms));
        CHECK(audit.result({}) == AuditResult{3, 0, 1, 1, 0, 0, 0, 0});
    }
    GIVEN("a booking that is started again without effect")
    {
        auto again = run("u2", 2, "a", 30ms, 40ms);
        again.effect = false;
        audit.add(again);
        CHECK(audit.result({}) == AuditResult{3, 0, 1, 0, 0, 0, 0, 0});
    }
    GIVEN("a run that is reported twice")
    {
        audit.add(run("u2", 1, "b", 10ms, 20ms));
        CHECK(audit.result({}) == AuditResult{2, 0, 0, 0, 0, 0, 0, 0});
    }
    GIVEN("runs of one key that overlap")
    {
        audit.add(run("u1", 2, "c", 19ms, 30ms));
        audit.add(run("u1", 3, "d", 20ms, 25ms));
        CHECK(audit.result({}).overlappingOwners == 1);
    }
    GIVEN("a refused request that was started")
    {
        CHECK(audit.result({{{"a"}, CallEndKind::Refused}}).refusedButRun == 1);
    }
    GIVEN("an answered request without a run")
    {
        CHECK(audit.result({{{"x"}, CallEndKind::Answer}}).answeredWithoutRun == 1);
        CHECK(audit.result({{{"x"}, CallEndKind::Answer}}).unauditedAnswers == 0);
        WHEN("records are lost")
        {
            audit.markIncomplete();
            CHECK(audit.result({{{"x"}, CallEndKind::Answer}}).answeredWithoutRun == 0);
            CHECK(audit.result({{{"x"}, CallEndKind::Answer}}).unauditedAnswers == 1);
        }
    }
    GIVEN("an upstream that has dropped five runs, one of which was added before")
    {
        audit.addDropped({"u1"}, {1}, 5);
        CHECK(audit.result({}).dropped == 4);
    }
}
