#include "dispatch/slotbroker.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start{seconds{100}};
const UpstreamId first{"a"};
const UpstreamId second{"b"};
const Address daemon1{"10.9.0.1:7000"};
const Address daemon2{"10.9.0.2:7000"};
constexpr Incarnation life{5};

auto entry(const UpstreamId &id, Incarnation incarnation) -> UpstreamEntry
{
    UpstreamEntry result;
    result.id = id;
    result.service = ServiceName{"service"};
    result.slots = 3;
    result.incarnation = incarnation;
    return result;
}

/// A broker of an unsharded service, or of one whose keys all belong to the first upstream.
struct StatementFixture
{
    SlotBroker broker;
    std::uint64_t sequence = 0;

    explicit StatementFixture(bool isSharded)
        : broker(ServiceName{"service"}, isSharded, SlotBrokerSettings{}, RetryWindowSettings{}, 1)
    {
        this->broker.setUpstreams({entry(first, life)}, start);
        if (isSharded) {
            this->broker.setOwners({OwnedRange{KeyRange{0, 65535}, first, Instant{}}}, start);
        }
    }

    /// @returns the verdict on a new request
    auto ask(const Address &daemon, Instant now, Duration remaining = milliseconds{800})
        -> IssuedVerdict
    {
        PermitRequest request;
        request.id = PermitId{daemon, 1, ++this->sequence};
        request.request = RequestId{"r" + std::to_string(this->sequence)};
        request.service = ServiceName{"service"};
        request.key = KeyPosition{7};
        request.remaining = remaining;
        request.untilTarget = milliseconds{300};
        this->broker.ask(request, now);
        const auto verdicts = this->broker.takeVerdicts();
        REQUIRE(verdicts.size() == 1);
        return verdicts[0];
    }

    auto report(const IssuedVerdict &verdict, AttemptEnd end, bool isLeaving,
                std::optional<Duration> pause, Instant now) -> void
    {
        PermitReport report;
        report.id = verdict.id;
        report.service = ServiceName{"service"};
        report.upstream = verdict.verdict.upstream;
        report.end = end;
        report.latency = milliseconds{80};
        report.isLeaving = isLeaving;
        report.pause = pause;
        this->broker.report(report, now);
    }
};

auto isGranted(const IssuedVerdict &verdict) -> bool
{
    return verdict.verdict.kind == PermitVerdict::Kind::Granted;
}

} // namespace

SCENARIO("SlotBroker: given a report that an upstream leaves, it grants no permit for it",
         "[dispatch][leaving]")
{
    StatementFixture fixture(false);
    const auto granted = fixture.ask(daemon1, start);
    REQUIRE(isGranted(granted));
    const auto end = GENERATE(AttemptEnd::Answered, AttemptEnd::NotRun, AttemptEnd::Unused);
    GIVEN("a report on a permit, also on an unused one")
    {
        fixture.report(granted, end, true, std::nullopt, start + milliseconds{80});
        CHECK_FALSE(isGranted(fixture.ask(daemon2, start + milliseconds{90})));
        const auto changes = fixture.broker.takeChanges();
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].kind == UpstreamChange::Kind::Leaving);
        CHECK(changes[0].statement.incarnation == life);
        CHECK(changes[0].statement.request.value == "r1");
        THEN("requests that wait go to another upstream")
        {
            auto leaving = entry(first, life);
            leaving.isDraining = true;
            fixture.broker.setUpstreams({leaving, entry(second, life)}, start + milliseconds{200});
            const auto verdicts = fixture.broker.takeVerdicts();
            REQUIRE(verdicts.size() == 1);
            CHECK(verdicts[0].verdict.upstream == second);
        }
        THEN("its next incarnation gets permits")
        {
            fixture.broker.setUpstreams({entry(first, Incarnation{6})}, start + seconds{1});
            CHECK(isGranted(fixture.ask(daemon1, start + seconds{1})));
        }
    }
    GIVEN("a report on a permit that has expired")
    {
        fixture.broker.advance(start + seconds{2});
        CHECK(fixture.broker.permitCount() == 0);
        fixture.report(granted, end, true, std::nullopt, start + seconds{2});
        CHECK_FALSE(isGranted(fixture.ask(daemon2, start + seconds{2})));
    }
    GIVEN("a report of an earlier incarnation")
    {
        fixture.broker.setUpstreams({entry(first, Incarnation{6})}, start + seconds{1});
        fixture.report(granted, end, true, seconds{3}, start + seconds{1});
        CHECK(isGranted(fixture.ask(daemon1, start + seconds{1})));
    }
    GIVEN("a report on a permit that this broker doesn't know")
    {
        auto unknown = granted;
        unknown.id.sequence = 77;
        fixture.report(unknown, end, true, seconds{3}, start);
        CHECK(fixture.broker.takeChanges().empty());
        CHECK(isGranted(fixture.ask(daemon1, start)));
    }
    GIVEN("a later answer that doesn't state it")
    {
        const auto other = fixture.ask(daemon1, start);
        fixture.report(granted, end, true, std::nullopt, start + milliseconds{80});
        fixture.report(other, AttemptEnd::Answered, false, std::nullopt, start + milliseconds{90});
        CHECK_FALSE(isGranted(fixture.ask(daemon2, start + milliseconds{90})));
    }
}

SCENARIO("SlotBroker: given a statement in the answer to an order, it takes it in",
         "[dispatch][leaving]")
{
    StatementFixture fixture(true);
    UpstreamStatement statement{first, life, daemon1, RequestId{}, true};
    fixture.broker.onStatement(statement, start);
    CHECK_FALSE(isGranted(fixture.ask(daemon2, start)));
    CHECK(fixture.broker.takeChanges().size() == 1);
    fixture.broker.onStatement(statement, start);
    CHECK(fixture.broker.takeChanges().empty());
}

SCENARIO("SlotBroker: given a pause, only that entry daemon's requests keep away",
         "[dispatch][pauses]")
{
    const auto isSharded = GENERATE(false, true);
    StatementFixture fixture(isSharded);
    const auto granted = fixture.ask(daemon1, start);
    const auto earlier = fixture.ask(daemon1, start);
    REQUIRE(isGranted(earlier));
    fixture.report(granted, AttemptEnd::NotRun, false, seconds{2}, start);
    // The late answer of a request that was sent before doesn't end the pause.
    fixture.report(earlier, AttemptEnd::Answered, false, std::nullopt, start + milliseconds{9});
    THEN("a request that can't wait is refused at once, with the time that is left")
    {
        const auto refused = fixture.ask(daemon1, start + milliseconds{500});
        CHECK(refused.verdict.kind == PermitVerdict::Kind::Refused);
        CHECK(refused.verdict.reason == Reason::UpstreamPaused);
        CHECK(refused.verdict.retryAfter == Duration{milliseconds{1500}});
    }
    THEN("a request that can wait gets its permit when the pause has ended")
    {
        const auto waiting = fixture.ask(daemon1, start + milliseconds{1500}, seconds{3});
        CHECK(waiting.verdict.kind == PermitVerdict::Kind::Queued);
        fixture.broker.advance(start + milliseconds{1990});
        CHECK(fixture.broker.takeVerdicts().empty());
        fixture.broker.advance(start + milliseconds{2000});
        CHECK(fixture.broker.takeVerdicts().size() == 1);
    }
    THEN("other entry daemons go on, also before a request that waits for the end of the pause")
    {
        static_cast<void>(fixture.ask(daemon1, start + milliseconds{1500}, seconds{3}));
        CHECK(isGranted(fixture.ask(daemon2, start + milliseconds{1500})));
    }
    THEN("its requests go to another upstream, where any may run them")
    {
        fixture.broker.setUpstreams({entry(first, life), entry(second, life)}, start);
        const auto verdict = fixture.ask(daemon1, start);
        CHECK((isSharded || verdict.verdict.upstream == second));
    }
    THEN("a shorter pause that is stated later doesn't end it")
    {
        UpstreamStatement statement{first, life, daemon1, RequestId{}, false, milliseconds{100}};
        fixture.broker.onStatement(statement, start + milliseconds{10});
        CHECK_FALSE(isGranted(fixture.ask(daemon1, start + milliseconds{1900})));
    }
    THEN("the verdict on a permit that is still out isn't repeated")
    {
        fixture.broker.setUpstreams({entry(first, Incarnation{6})}, start);
        CHECK(isGranted(fixture.ask(daemon1, start)));
        UpstreamStatement statement{first, Incarnation{6}, daemon1, RequestId{}, false, seconds{2}};
        fixture.broker.onStatement(statement, start);
        fixture.broker.advance(start + milliseconds{700});
        CHECK(fixture.broker.takeVerdicts().empty());
    }
    THEN("the next incarnation has no pause")
    {
        fixture.broker.setUpstreams({entry(first, Incarnation{6})}, start);
        CHECK(isGranted(fixture.ask(daemon1, start + milliseconds{100})));
    }
    THEN("its requests aren't granted all at once after the pause")
    {
        const auto trial = fixture.ask(daemon1, start + milliseconds{2010});
        CHECK(isGranted(trial));
        CHECK_FALSE(isGranted(fixture.ask(daemon1, start + milliseconds{2010}, seconds{3})));
        fixture.report(trial, AttemptEnd::Answered, false, std::nullopt,
                       start + milliseconds{2090});
        CHECK(fixture.broker.takeVerdicts().size() == 1);
    }
    THEN("its start and its end are reported once")
    {
        auto changes = fixture.broker.takeChanges();
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].kind == UpstreamChange::Kind::Paused);
        CHECK(fixture.broker.pausedUpstreamCount(start) == 1);
        fixture.broker.advance(start + seconds{2});
        changes = fixture.broker.takeChanges();
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].kind == UpstreamChange::Kind::Resumed);
        CHECK(fixture.broker.pausedUpstreamCount(start + seconds{2}) == 0);
    }
}

SCENARIO("SlotBroker: given pauses of a third of the entry daemons, it uses fewer slots",
         "[dispatch][pauses]")
{
    StatementFixture fixture(true);
    const auto slotsAt = [&](Instant now) { return fixture.broker.upstreamStatuses(now)[0].slots; };
    const auto granted = fixture.ask(daemon1, start);
    const auto other = fixture.ask(daemon2, start);
    fixture.report(granted, AttemptEnd::NotRun, false, seconds{2}, start + milliseconds{10});
    CHECK(slotsAt(start + milliseconds{10}) == 3);
    fixture.report(other, AttemptEnd::NotRun, false, seconds{2}, start + milliseconds{20});
    CHECK(slotsAt(start + milliseconds{20}) == 1);
    THEN("the number recovers gradually")
    {
        CHECK(slotsAt(start + seconds{1}) == 1);
        CHECK(slotsAt(start + seconds{3}) == 2);
        CHECK(slotsAt(start + seconds{6}) == 3);
    }
}
