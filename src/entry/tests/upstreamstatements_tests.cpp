#include "entry/upstreamstatements.h"

#include <catch2/catch.hpp>
#include <string>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const UpstreamId upstream{"u"};
constexpr Incarnation unknown{};
constexpr Incarnation first{1000};
constexpr Incarnation second{2000};
const Instant start{seconds{10}};

auto answered(Incarnation incarnation, Instant sentAt) -> AttemptStatement
{
    AttemptStatement attempt;
    attempt.upstream = upstream;
    attempt.incarnation = incarnation;
    attempt.request = RequestId{"r-1"};
    attempt.sentAt = sentAt;
    attempt.isAnswered = true;
    return attempt;
}

auto leaving(Incarnation incarnation, Instant sentAt) -> AttemptStatement
{
    auto attempt = answered(incarnation, sentAt);
    attempt.isLeaving = true;
    return attempt;
}

auto pausing(Incarnation incarnation, Instant sentAt, Duration pause) -> AttemptStatement
{
    auto attempt = answered(incarnation, sentAt);
    attempt.pause = pause;
    return attempt;
}

} // namespace

SCENARIO("UpstreamStatements: given an upstream that leaves, requests are held back", "[entry]")
{
    UpstreamStatements statements{UpstreamStatementSettings{}};
    CHECK_FALSE(statements.holdOf(upstream, first, start));
    statements.onAttemptEnd(leaving(first, start), start);
    THEN("a last resort is allowed until shortly before the end of the drain time")
    {
        CHECK(statements.holdOf(upstream, first, start + milliseconds{1499})->allowsLastResort);
        CHECK_FALSE(
            statements.holdOf(upstream, first, start + milliseconds{1500})->allowsLastResort);
    }
    THEN("later statements don't prolong the drain time")
    {
        statements.onAttemptEnd(leaving(first, start), start + milliseconds{1400});
        CHECK_FALSE(
            statements.holdOf(upstream, first, start + milliseconds{1500})->allowsLastResort);
    }
    THEN("answers that don't state it end nothing")
    {
        statements.onAttemptEnd(answered(first, start + seconds{1}), start + seconds{2});
        CHECK(statements.holdOf(upstream, first, start + seconds{2})->isLeaving);
    }
    THEN("only a later incarnation isn't held back")
    {
        CHECK_FALSE(statements.holdOf(upstream, second, start));
        CHECK(statements.holdOf(upstream, first, start));
        CHECK(statements.holdOf(upstream, unknown, start));
        CHECK(statements.holdOf(upstream, Incarnation{1}, start));
    }
    THEN("it is counted and logged once, until a later incarnation is known")
    {
        statements.onAttemptEnd(leaving(first, start), start);
        CHECK(statements.leavingCount() == 1);
        auto changes = statements.takeChanges();
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().kind == StatementChange::Kind::LeavingStated);
        CHECK(changes.front().request.value == "r-1");
        CHECK_FALSE(statements.holdOf(upstream, second, start));
        CHECK_FALSE(statements.holdOf(upstream, second, start));
        changes = statements.takeChanges();
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().kind == StatementChange::Kind::LeavingEnded);
        CHECK(statements.leavingCount() == 0);
    }
    THEN("a late answer of the earlier incarnation doesn't bind the later one")
    {
        statements.onAttemptEnd(leaving(second, start), start);
        statements.onAttemptEnd(leaving(first, start), start + seconds{1});
        CHECK(statements.holdOf(upstream, second, start + seconds{1})->isLeaving);
        CHECK_FALSE(statements.holdOf(upstream, Incarnation{3000}, start + seconds{1}));
    }
}

SCENARIO("UpstreamStatements: given a statement of an unknown incarnation, it binds all", "[entry]")
{
    UpstreamStatements statements{UpstreamStatementSettings{}};
    statements.onAttemptEnd(leaving(unknown, start), start);
    CHECK(statements.holdOf(upstream, first, start));
    statements.onAttemptEnd(pausing(unknown, start, seconds{1}), start);
    CHECK(statements.holdOf(upstream, second, start)->pause == Duration{seconds{1}});
    THEN("it is forgotten in the end, though requests to a process that may be a later one are "
         "still asked for")
    {
        auto now = start;
        for (; now <= start + minutes{11}; now += seconds{1}) {
            static_cast<void>(statements.holdOf(upstream, second, now));
            statements.advance(now);
        }
        CHECK_FALSE(statements.holdOf(upstream, second, now));
    }
}

SCENARIO("UpstreamStatements: given an upstream that wants a pause, requests are held back",
         "[entry]")
{
    UpstreamStatements statements{UpstreamStatementSettings{}};
    statements.onAttemptEnd(pausing(first, start, seconds{3}), start);
    const auto end = start + seconds{3};
    THEN("the remaining time is named, and no last resort is allowed")
    {
        const auto hold = statements.holdOf(upstream, first, start + seconds{1});
        REQUIRE(hold);
        CHECK(hold->pause == Duration{seconds{2}});
        CHECK(hold->reason() == Reason::UpstreamPaused);
        CHECK_FALSE(hold->allowsLastResort);
    }
    THEN("a shorter pause in another answer, or an answer without one, doesn't shorten it")
    {
        statements.onAttemptEnd(pausing(first, start, milliseconds{100}), start + seconds{1});
        statements.onAttemptEnd(answered(first, start), start + seconds{1});
        CHECK(statements.holdOf(upstream, first, start + seconds{1})->pause
              == Duration{seconds{2}});
    }
    THEN("a longer one prolongs it")
    {
        statements.onAttemptEnd(pausing(first, start, seconds{4}), start + seconds{1});
        CHECK(statements.holdOf(upstream, first, start + seconds{1})->pause
              == Duration{seconds{4}});
    }
    THEN("a later incarnation isn't held back, and an unknown one is")
    {
        CHECK_FALSE(statements.holdOf(upstream, second, start));
        CHECK(statements.holdOf(upstream, unknown, start));
    }
    THEN("after its end, one request is a trial, and all follow its answer")
    {
        CHECK_FALSE(statements.holdOf(upstream, first, end));
        statements.onSent(upstream, first, end);
        CHECK(statements.holdOf(upstream, first, end + milliseconds{249}));
        statements.onAttemptEnd(answered(first, start), end + milliseconds{10});
        CHECK(statements.holdOf(upstream, first, end + milliseconds{10}));
        statements.onAttemptEnd(answered(first, end), end + milliseconds{20});
        CHECK_FALSE(statements.holdOf(upstream, first, end + milliseconds{20}));
        statements.advance(end + milliseconds{20});
        CHECK(statements.size() == 0);
    }
    THEN("a trial that isn't answered is followed by another")
    {
        statements.onSent(upstream, first, end);
        CHECK_FALSE(statements.holdOf(upstream, first, end + milliseconds{250}));
        auto lost = answered(first, end);
        lost.isAnswered = false;
        statements.onAttemptEnd(lost, end + milliseconds{30});
        CHECK_FALSE(statements.holdOf(upstream, first, end + milliseconds{30}));
        statements.onSent(upstream, first, end + milliseconds{30});
        CHECK(statements.holdOf(upstream, first, end + milliseconds{30}));
    }
    THEN("its begin and its end are logged and counted once")
    {
        CHECK(statements.pausedCount() == 1);
        statements.advance(end);
        statements.onAttemptEnd(answered(first, end), end + milliseconds{20});
        const auto changes = statements.takeChanges();
        REQUIRE(changes.size() == 2);
        CHECK(changes.front().kind == StatementChange::Kind::PauseStated);
        CHECK(changes.front().pause == Duration{seconds{3}});
        CHECK(changes.back().kind == StatementChange::Kind::PauseEnded);
        CHECK(statements.pausedCount() == 0);
    }
}

SCENARIO("UpstreamStatements: given a pause of no length, it says nothing", "[entry]")
{
    UpstreamStatements statements{UpstreamStatementSettings{}};
    statements.onAttemptEnd(pausing(first, start, Duration{0}), start);
    CHECK_FALSE(statements.holdOf(upstream, first, start));
    CHECK(statements.size() == 0);
}

// Guards against memory that grows with each upstream that has ever left.
SCENARIO("UpstreamStatements: given thousands of upstreams that come and go, what is kept is "
         "bounded",
         "[entry]")
{
    UpstreamStatements statements{UpstreamStatementSettings{}};
    auto now = start;
    std::size_t most = 0;
    for (auto number = 0; number < 20'000; ++number) {
        now += seconds{1};
        auto attempt = leaving(first, now);
        attempt.upstream = UpstreamId{"u" + std::to_string(number)};
        attempt.pause = seconds{1};
        statements.onAttemptEnd(attempt, now);
        static_cast<void>(statements.holdOf(UpstreamId{"u0"}, first, now));
        statements.advance(now);
        most = std::max(most, statements.size());
    }
    THEN("only those that stated something in the last ten minutes are kept, and one that permits "
         "still name")
    {
        CHECK(most <= 603);
        CHECK(statements.holdOf(UpstreamId{"u0"}, first, now));
        CHECK_FALSE(statements.holdOf(UpstreamId{"u1"}, first, now));
    }
}
