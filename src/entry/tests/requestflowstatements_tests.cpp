#include "entry/tests/requestflowfixture.h"

#include <array>
#include <catch2/catch.hpp>
#include <unistd.h>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr KeyPosition key = 7;
constexpr Incarnation first{1000};
constexpr Incarnation second{2000};

auto entryOf(const std::string &id, Incarnation incarnation = first) -> UpstreamEntry
{
    UpstreamEntry entry;
    entry.id = UpstreamId{id};
    entry.service = service;
    entry.address = Address{"10.1.0.1:80"};
    entry.incarnation = incarnation;
    return entry;
}

auto leavingEnd(ExchangeId exchange, AttemptEnd end = AttemptEnd::Answered) -> FlowAttemptEnd
{
    FlowAttemptEnd result;
    result.exchange = exchange;
    result.end = end;
    result.isLeaving = true;
    return result;
}

auto pausingEnd(ExchangeId exchange, Duration pause) -> FlowAttemptEnd
{
    FlowAttemptEnd result;
    result.exchange = exchange;
    result.end = AttemptEnd::NotRun;
    result.pause = pause;
    return result;
}

auto lastReport(const RequestFlowFixture &fixture) -> const PermitReport &
{
    const auto *report = fixture.lastReport();
    REQUIRE(report != nullptr);
    return *report;
}

/// Lets "u" state with the answer to one request that it leaves.
auto learnLeaving(RequestFlowFixture &fixture, std::optional<KeyPosition> requestKey = std::nullopt)
    -> void
{
    fixture.begin(ExchangeId{100}, requestKey);
    fixture.grant("u", first);
    fixture.end(leavingEnd(ExchangeId{100}));
    fixture.commands.clear();
    fixture.sent.clear();
}

/// Lets "u" reject one request and name a pause.
auto learnPause(RequestFlowFixture &fixture, Duration pause) -> void
{
    fixture.begin(ExchangeId{100}, std::nullopt, false, 1);
    fixture.grant("u", first);
    fixture.end(pausingEnd(ExchangeId{100}, pause));
    fixture.commands.clear();
    fixture.sent.clear();
}

/// Lets the grantor fall silent, with the store's entry of "u" still ready.
auto loseGrantor(RequestFlowFixture &fixture, const std::vector<UpstreamEntry> &entries) -> void
{
    fixture.direct.setUpstreams(entries, fixture.now);
    fixture.direct.setOwners(
        service, {DirectOwner{KeyRange{0, 65535}, UpstreamId{"u"}, Address{"10.1.0.1:80"}, first}});
}

} // namespace

SCENARIO("RequestFlow returns permits for an upstream that leaves", "[entry]")
{
    GIVEN("an upstream that has stated that it leaves")
    {
        const auto requestKey = GENERATE(std::optional<KeyPosition>{}, std::optional{key});
        RequestFlowFixture fixture;
        learnLeaving(fixture, requestKey);
        fixture.begin(ExchangeId{1}, requestKey);
        WHEN("the grantor still names it")
        {
            fixture.grant("u", first);
            THEN("the permit is returned unused with the statement, and another is asked for")
            {
                CHECK(fixture.count<FlowSend>() == 0);
                CHECK(lastReport(fixture).end == AttemptEnd::Unused);
                CHECK(lastReport(fixture).isLeaving);
                CHECK(fixture.lastRequest()->avoid == std::vector{UpstreamId{"u"}});
                CHECK_FALSE(fixture.lastRequest()->isRetry);
                fixture.grant("v", first);
                CHECK(fixture.count<FlowSend>() == 1);
                CHECK(fixture.flow.heldByLeavingCount() == 1);
            }
            THEN("it gets the request within the drain time where the grantor insists")
            {
                fixture.grant("u", first);
                CHECK(fixture.count<FlowSend>() == 1);
            }
        }
        WHEN("the drain time is nearly over, and the grantor names nothing else")
        {
            fixture.advance(milliseconds{10});
            fixture.now += milliseconds{1500};
            fixture.begin(ExchangeId{2}, requestKey);
            for (auto round = 0; round < 100; ++round) {
                if (fixture.permits.nextDue()) {
                    fixture.grant("u", first);
                }
                fixture.advance(milliseconds{10});
            }
            THEN("it isn't sent, and refused in time after some tries")
            {
                CHECK(fixture.count<FlowSend>() == 0);
                REQUIRE(fixture.count<FlowRefuse>() > 0);
                CHECK(fixture.refusal().status == 503);
                CHECK(fixture.refusal().reason == Reason::UpstreamDraining);
                CHECK(fixture.refusal().retryAfter.has_value());
                CHECK(fixture.flow.heldByLeavingCount() == 5);
            }
        }
        WHEN("a later incarnation is named, as a new process has started")
        {
            fixture.grant("u", second);
            THEN("it gets the request")
            {
                CHECK(fixture.count<FlowSend>() == 1);
            }
        }
        WHEN("an unknown incarnation is named")
        {
            fixture.grant("u");
            THEN("it doesn't")
            {
                CHECK(fixture.count<FlowSend>() == 0);
            }
        }
    }
}

SCENARIO("RequestFlow holds back requests that waited when the upstream stated that it leaves",
         "[entry]")
{
    RequestFlowFixture fixture;
    fixture.begin(ExchangeId{1}, key);
    const auto waiting = *fixture.lastRequest();
    fixture.answer(PermitVerdict{});
    learnLeaving(fixture);
    PermitVerdict verdict;
    verdict.kind = PermitVerdict::Kind::Granted;
    verdict.upstream = UpstreamId{"u"};
    verdict.incarnation = first;
    fixture.permits.onAnswer(grantor, PermitAnswer{waiting.id, verdict}, fixture.now);
    fixture.processPending();
    CHECK(fixture.count<FlowSend>() == 0);
    CHECK(lastReport(fixture).isLeaving);
}

SCENARIO("RequestFlow doesn't repeat a request at an upstream that leaves", "[entry]")
{
    RequestFlowFixture fixture;
    fixture.begin(ExchangeId{1}, std::nullopt, true, 3);
    fixture.grant("u", first);
    fixture.end(leavingEnd(ExchangeId{1}, AttemptEnd::NotRun));
    CHECK(fixture.lastRequest()->avoid == std::vector{UpstreamId{"u"}});
    fixture.grant("u", first);
    CHECK(fixture.count<FlowSend>() == 1);
    CHECK(lastReport(fixture).isLeaving);
    fixture.grant("v", first);
    CHECK(fixture.count<FlowSend>() == 2);
}

SCENARIO("RequestFlow without a grantor holds back requests to an upstream that leaves", "[entry]")
{
    GIVEN("an upstream that has stated that it leaves, and whose entry is still ready")
    {
        RequestFlowFixture fixture;
        learnLeaving(fixture);
        WHEN("there is another one")
        {
            loseGrantor(fixture, {entryOf("u"), entryOf("v")});
            for (std::uint64_t number = 1; number <= 20; ++number) {
                fixture.begin(ExchangeId{number}, std::nullopt);
            }
            fixture.advance(milliseconds{200});
            THEN("the other one gets all requests without a key")
            {
                REQUIRE(fixture.count<FlowSend>() == 20);
                for (const auto &command : fixture.commands) {
                    CHECK(std::get<FlowSend>(command).upstream.value == "v");
                }
            }
        }
        const auto requestKey = GENERATE(std::optional<KeyPosition>{}, std::optional{key});
        WHEN("no other one can serve the request, and the drain time isn't nearly over")
        {
            loseGrantor(fixture, {entryOf("u")});
            fixture.begin(ExchangeId{1}, requestKey);
            fixture.advance(milliseconds{200});
            THEN("it gets the request")
            {
                CHECK(fixture.count<FlowSend>() == 1);
            }
        }
        WHEN("the drain time is nearly over, with the store silent or back from an older copy")
        {
            const Incarnation stored{GENERATE(as<std::uint64_t>{}, 1000, 1, 0)};
            loseGrantor(fixture, {entryOf("u", stored)});
            fixture.now += milliseconds{1400};
            fixture.begin(ExchangeId{1}, requestKey);
            fixture.advance(milliseconds{1000});
            THEN("it isn't sent")
            {
                CHECK(fixture.count<FlowSend>() == 0);
                REQUIRE(fixture.count<FlowRefuse>() > 0);
                CHECK(fixture.refusal().status == 503);
            }
        }
        WHEN("the store names a later incarnation")
        {
            loseGrantor(fixture, {entryOf("u", second)});
            fixture.now += seconds{5};
            fixture.begin(ExchangeId{1}, requestKey);
            fixture.advance(milliseconds{200});
            THEN("it gets the request")
            {
                CHECK(fixture.count<FlowSend>() == 1);
            }
        }
    }
}

SCENARIO("RequestFlow returns permits for an upstream that wants a pause", "[entry]")
{
    GIVEN("an upstream that has named a pause of three seconds")
    {
        RequestFlowFixture fixture;
        learnPause(fixture, seconds{3});
        fixture.now += seconds{1};
        WHEN("it owns the key")
        {
            fixture.begin(ExchangeId{1}, key);
            fixture.grant("u", first);
            THEN("the request is refused at once with the remaining time")
            {
                CHECK(fixture.count<FlowSend>() == 0);
                REQUIRE(fixture.count<FlowRefuse>() == 1);
                CHECK(fixture.refusal().status == 503);
                CHECK(fixture.refusal().reason == Reason::UpstreamPaused);
                CHECK(fixture.refusal().retryAfter == Duration{seconds{2}});
                CHECK(lastReport(fixture).end == AttemptEnd::Unused);
                CHECK(lastReport(fixture).pause == Duration{seconds{2}});
                CHECK(fixture.flow.heldByPauseCount() == 1);
            }
        }
        WHEN("the request has no key")
        {
            fixture.begin(ExchangeId{1}, std::nullopt);
            fixture.grant("u", first);
            THEN("the permit is returned, and another upstream gets the request")
            {
                CHECK(lastReport(fixture).pause == Duration{seconds{2}});
                CHECK(fixture.lastRequest()->avoid == std::vector{UpstreamId{"u"}});
                fixture.grant("v", first);
                CHECK(fixture.count<FlowSend>() == 1);
            }
            THEN("it is refused after some tries where the grantor names no other")
            {
                for (auto round = 0; round < 100; ++round) {
                    if (fixture.permits.nextDue()) {
                        fixture.grant("u", first);
                    }
                    fixture.advance(milliseconds{10});
                }
                CHECK(fixture.count<FlowSend>() == 0);
                REQUIRE(fixture.count<FlowRefuse>() > 0);
                CHECK(fixture.refusal().reason == Reason::UpstreamPaused);
                CHECK(fixture.refusal().retryAfter > Duration{seconds{1}});
            }
        }
        WHEN("there is no grantor")
        {
            const auto requestKey = GENERATE(std::optional<KeyPosition>{}, std::optional{key});
            const Incarnation stored{GENERATE(as<std::uint64_t>{}, 1000, 1, 0)};
            loseGrantor(fixture, {entryOf("u", stored)});
            fixture.begin(ExchangeId{1}, requestKey);
            fixture.advance(milliseconds{200});
            THEN("the request is refused with the remaining time as soon as that is known")
            {
                CHECK(fixture.count<FlowSend>() == 0);
                REQUIRE(fixture.count<FlowRefuse>() == 1);
                CHECK(fixture.refusal().reason == Reason::UpstreamPaused);
                CHECK(fixture.refusal().retryAfter > milliseconds{1700});
                CHECK(fixture.refusal().retryAfter <= milliseconds{1850});
            }
        }
        WHEN("its pause has ended, and many requests have a permit")
        {
            fixture.now += seconds{2};
            for (std::uint64_t number = 1; number <= 10; ++number) {
                fixture.begin(ExchangeId{number}, std::nullopt);
                fixture.grant("u", first);
            }
            THEN("one request is sent, and the next after its answer")
            {
                CHECK(fixture.count<FlowSend>() == 1);
                fixture.advance(milliseconds{5});
                fixture.end(AttemptEnd::Answered);
                fixture.begin(ExchangeId{11}, std::nullopt);
                fixture.grant("u", first);
                fixture.begin(ExchangeId{12}, std::nullopt);
                fixture.grant("u", first);
                CHECK(fixture.count<FlowSend>() == 3);
            }
        }
    }
    GIVEN("a request with a key that its owner rejects with a pause")
    {
        RequestFlowFixture fixture;
        fixture.begin(ExchangeId{1}, key);
        fixture.grant("u", first);
        fixture.end(pausingEnd(ExchangeId{1}, seconds{3}));
        THEN("it is refused at once, and no permit for a repetition is asked for")
        {
            CHECK(fixture.refusal().status == 503);
            CHECK(fixture.refusal().reason == Reason::UpstreamPaused);
            CHECK(fixture.refusal().retryAfter == Duration{seconds{3}});
            CHECK(fixture.countSent<PermitRequest>() == 1);
            CHECK(lastReport(fixture).pause == Duration{seconds{3}});
        }
    }
}

SCENARIO("RequestFlow takes in all that one answer states", "[entry]")
{
    RequestFlowFixture fixture;
    fixture.begin(ExchangeId{1}, std::nullopt);
    fixture.grant("u", first);
    auto end = pausingEnd(ExchangeId{1}, seconds{1});
    end.isLeaving = true;
    end.requestLimit = RequestLimit{1.0};
    fixture.end(end);
    CHECK(lastReport(fixture).isLeaving);
    CHECK(lastReport(fixture).pause == Duration{seconds{1}});
    CHECK(lastReport(fixture).requestLimit == RequestLimit{1.0});
    auto hold = fixture.statements.holdOf(UpstreamId{"u"}, first, fixture.now);
    REQUIRE(hold);
    CHECK(hold->isLeaving);
    CHECK(hold->pause == Duration{seconds{1}});
}

SCENARIO("RequestFlow ignores answers that belong to no attempt", "[entry]")
{
    RequestFlowFixture fixture;
    fixture.begin(ExchangeId{1}, std::nullopt);
    fixture.end(leavingEnd(ExchangeId{1}));
    fixture.end(leavingEnd(ExchangeId{9}));
    CHECK(fixture.statements.size() == 0);
    fixture.grant("u", first);
    CHECK(fixture.count<FlowSend>() == 1);
}

SCENARIO("RequestFlow takes in the answer to a caller that has disconnected", "[entry]")
{
    RequestFlowFixture fixture;
    fixture.begin(ExchangeId{1}, std::nullopt);
    fixture.grant("u", first);
    fixture.flow.onCallerGone(ExchangeId{1}, fixture.now);
    fixture.end(leavingEnd(ExchangeId{1}));
    CHECK(fixture.statements.leavingCount() == 1);
}

SCENARIO("RequestFlow logs when an upstream is known to leave or to pause, and when that ends",
         "[entry]")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    {
        RequestFlowFixture fixture(true, "info", ends[1]);
        for (const auto exchange : {ExchangeId{100}, ExchangeId{101}, ExchangeId{102}}) {
            fixture.begin(exchange, std::nullopt, false, 1);
            fixture.grant("u", first);
        }
        fixture.end(leavingEnd(ExchangeId{100}));
        fixture.end(leavingEnd(ExchangeId{101}));
        fixture.end(pausingEnd(ExchangeId{102}, seconds{1}));
        fixture.advance(milliseconds{1500});
        fixture.begin(ExchangeId{1}, std::nullopt);
        fixture.grant("u", second);
        fixture.advance(milliseconds{5});
        fixture.logger.flush();
    }
    close(ends[1]);
    std::array<char, 4096> bytes{};
    const auto length = read(ends[0], bytes.data(), bytes.size());
    close(ends[0]);
    REQUIRE(length > 0);
    const std::string text(bytes.data(), static_cast<std::size_t>(length));
    const auto countOf = [&](const std::string &part) {
        auto count = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
            ++count;
        }
        return count;
    };
    CHECK(countOf("event=upstream_leaving_stated upstream=u life=1000 request=r-100") == 1);
    CHECK(countOf("event=upstream_leaving_ended upstream=u life=1000 request=r-100") == 1);
    CHECK(countOf("event=upstream_pause_stated upstream=u life=1000 request=r-102 pause_ms=1000")
          == 1);
    CHECK(countOf("event=upstream_pause_ended upstream=u life=1000 request=r-102") == 1);
}
