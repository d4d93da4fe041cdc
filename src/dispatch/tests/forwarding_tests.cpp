#include "dispatch/slotbroker.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start{seconds{100}};
const Address isolated{"10.9.0.1:7000"};
const Address well{"10.9.0.2:7000"};
const Address other{"10.9.0.3:7000"};
const UpstreamId first{"a"};
const UpstreamId second{"b"};

auto entry(const UpstreamId &id) -> UpstreamEntry
{
    UpstreamEntry result;
    result.id = id;
    result.service = ServiceName{"service"};
    result.slots = 5;
    result.incarnation = Incarnation{5};
    return result;
}

/// A broker of one upstream, or two, that have just answered two VMs.
struct ForwardingFixture
{
    SlotBroker broker;
    std::uint64_t sequence = 0;

    explicit ForwardingFixture(bool hasSecond = false, SlotBrokerSettings settings = {})
        : broker(ServiceName{"service"}, false, settings, RetryWindowSettings{}, 1)
    {
        std::vector<UpstreamEntry> entries{entry(first)};
        if (hasSecond) {
            entries.push_back(entry(second));
        }
        this->broker.setUpstreams(entries, start - milliseconds{100});
        this->answer(well, start - milliseconds{90});
        this->answer(other, start - milliseconds{90});
    }

    auto send(const Address &daemon, Instant now, std::vector<UpstreamId> avoid = {},
              std::uint64_t number = 0) -> IssuedVerdict
    {
        PermitRequest request;
        request.id = PermitId{daemon, 1, number == 0 ? ++this->sequence : number};
        request.service = ServiceName{"service"};
        request.remaining = milliseconds{800};
        request.untilTarget = milliseconds{600};
        request.isIsolated = daemon == isolated;
        request.avoid = std::move(avoid);
        this->broker.ask(request, now);
        const auto verdicts = this->broker.takeVerdicts();
        REQUIRE(verdicts.size() == 1);
        return verdicts[0];
    }

    /// @returns the forwarder that is named for a request
    auto forwarder(Instant now, std::vector<UpstreamId> avoid = {}) -> Address
    {
        const auto verdict = this->send(isolated, now, std::move(avoid));
        this->broker.cancel(verdict.id, now);
        return verdict.verdict.forwarder;
    }

    auto report(const IssuedVerdict &verdict, AttemptEnd end, Instant now,
                std::optional<Duration> pause = std::nullopt) -> void
    {
        PermitReport report;
        report.id = verdict.id;
        report.service = ServiceName{"service"};
        report.upstream = verdict.verdict.upstream;
        report.end = end;
        report.latency = milliseconds{80};
        report.pause = pause;
        report.forwarder = verdict.verdict.forwarder;
        this->broker.report(report, now);
    }

    auto answer(const Address &daemon, Instant now) -> void
    {
        this->report(this->send(daemon, now), AttemptEnd::Answered, now + milliseconds{80});
    }
};

auto isGranted(const IssuedVerdict &verdict) -> bool
{
    return verdict.verdict.kind == PermitVerdict::Kind::Granted;
}

} // namespace

// Guards against a VM without links to upstreams that can only refuse its callers' requests.
SCENARIO("SlotBroker: given a VM that is isolated, its permits name a forwarder",
         "[dispatch][lostlinks]")
{
    ForwardingFixture fixture;
    const auto verdict = fixture.send(isolated, start);
    REQUIRE(isGranted(verdict));
    REQUIRE((verdict.verdict.forwarder == well || verdict.verdict.forwarder == other));
    const auto &busy = verdict.verdict.forwarder;
    const auto &idle = busy == well ? other : well;
    CHECK(fixture.broker.isolatedCount() == 1);
    CHECK(fixture.broker.forwardedCount() == 1);
    GIVEN("a further request")
    {
        CHECK(fixture.forwarder(start) == idle);
    }
    GIVEN("a permit request that is repeated")
    {
        const auto repeated =
            fixture.send(isolated, start + milliseconds{50}, {}, verdict.id.sequence);
        CHECK(repeated.verdict == verdict.verdict);
    }
    GIVEN("a permit that ends by a report, by a cancellation or without a report")
    {
        const auto way = GENERATE(0, 1, 2);
        auto now = start + milliseconds{80};
        if (way == 0) {
            fixture.report(verdict, AttemptEnd::Answered, now);
        } else if (way == 1) {
            fixture.broker.cancel(verdict.id, now);
        } else {
            now = start + milliseconds{1100};
            fixture.broker.advance(now);
        }
        static_cast<void>(fixture.broker.takeVerdicts());
        THEN("the forwarder doesn't count as busy any more")
        {
            CHECK(fixture.broker.forwardedCount() == 0);
            const auto next = fixture.send(isolated, now);
            CHECK(fixture.forwarder(now) == (next.verdict.forwarder == well ? other : well));
            fixture.broker.cancel(next.id, now);
            CHECK(fixture.broker.permitCount() == 0);
        }
    }
    GIVEN("a forwarder that didn't forward")
    {
        fixture.report(verdict, AttemptEnd::NotSent, start + milliseconds{5});
        const auto status = fixture.broker.upstreamStatuses(start + milliseconds{5}).front();
        CHECK(status.failureShare == 0);
        CHECK(status.isUsable == true);
        CHECK(fixture.forwarder(start + milliseconds{10}) == idle);
        fixture.answer(busy, start + milliseconds{20});
        const auto occupied = fixture.send(isolated, start + milliseconds{110});
        CHECK(occupied.verdict.forwarder == idle);
        CHECK(fixture.forwarder(start + milliseconds{110}) == idle);
        THEN("it is asked again half a second later")
        {
            fixture.broker.advance(start + milliseconds{510});
            static_cast<void>(fixture.broker.takeVerdicts());
            CHECK(fixture.forwarder(start + milliseconds{510}) == busy);
        }
    }
}

// Guards against forwarders that are left out for all upstreams because they don't reach one.
SCENARIO(
    "SlotBroker: given a forwarder that an upstream has never answered, its failure there ends "
    "the use of that path only",
    "[dispatch][lostlinks]")
{
    ForwardingFixture fixture;
    fixture.broker.setUpstreams({entry(first), entry(second)}, start);
    const auto failed = fixture.send(isolated, start, {first});
    REQUIRE(failed.verdict.upstream == second);
    fixture.report(failed, AttemptEnd::NotSent, start + milliseconds{5});
    const auto now = start + milliseconds{10};
    const auto next = fixture.send(isolated, now, {first});
    CHECK(next.verdict.upstream == second);
    CHECK(next.verdict.forwarder != failed.verdict.forwarder);
    fixture.report(next, AttemptEnd::Answered, now + milliseconds{80});
    fixture.report(fixture.send(failed.verdict.forwarder, now, {second}), AttemptEnd::Answered,
                   now + milliseconds{80});
    const auto one = fixture.send(isolated, now + milliseconds{80}, {second});
    const auto another = fixture.send(isolated, now + milliseconds{80}, {second});
    CHECK(one.verdict.upstream == first);
    CHECK(one.verdict.forwarder != another.verdict.forwarder);
}

SCENARIO("SlotBroker: given an upstream that pauses a forwarded request, the pause binds both VMs",
         "[dispatch][lostlinks][leaving]")
{
    ForwardingFixture fixture;
    const auto verdict = fixture.send(isolated, start);
    const auto &paused = verdict.verdict.forwarder;
    const auto &idle = paused == well ? other : well;
    const auto isExpired = GENERATE(false, true);
    auto now = start + milliseconds{20};
    if (isExpired) {
        now = start + milliseconds{1100};
        fixture.broker.advance(now);
        static_cast<void>(fixture.broker.takeVerdicts());
    }
    fixture.report(verdict, AttemptEnd::NotRun, now, milliseconds{600});
    CHECK(fixture.broker.forwardedCount() == 0);
    now += milliseconds{40};
    CHECK_FALSE(isGranted(fixture.send(isolated, now)));
    CHECK_FALSE(isGranted(fixture.send(paused, now)));
    CHECK(isGranted(fixture.send(idle, now)));
    CHECK(fixture.broker.takeChanges().size() == 1);
    // One pause of one VM, as the upstream sees it, says little about the upstream's slots.
    CHECK(fixture.broker.upstreamStatuses(now).front().slots == 5);
}

SCENARIO("SlotBroker: given forwarders that an upstream pauses, another one is named",
         "[dispatch][lostlinks][leaving]")
{
    ForwardingFixture fixture;
    fixture.report(fixture.send(well, start), AttemptEnd::NotRun, start + milliseconds{10},
                   milliseconds{500});
    for (auto count = 0; count < 3; ++count) {
        CHECK(fixture.send(isolated, start + milliseconds{50}).verdict.forwarder == other);
    }
}

SCENARIO("SlotBroker: given a path to one upstream that has failed, it isn't used for a time",
         "[dispatch][lostlinks]")
{
    ForwardingFixture fixture(true);
    for (const auto &upstream : {first, second}) {
        const auto avoided = upstream == first ? second : first;
        fixture.report(fixture.send(other, start, {avoided}), AttemptEnd::Answered,
                       start + milliseconds{10});
    }
    const auto failed = fixture.send(well, start + milliseconds{10}, {second});
    REQUIRE(failed.verdict.upstream == first);
    fixture.report(failed, AttemptEnd::NotSent, start + milliseconds{20});
    auto now = start + milliseconds{30};
    GIVEN("another upstream that the VM reaches")
    {
        const auto next = fixture.send(well, now);
        CHECK(next.verdict.upstream == second);
        CHECK(next.verdict.forwarder.empty());
        fixture.report(next, AttemptEnd::Answered, now + milliseconds{80});
    }
    GIVEN("no other upstream with a free slot")
    {
        for (auto count = 0; count < 5; ++count) {
            static_cast<void>(fixture.send(other, now, {first}));
        }
        const auto next = fixture.send(well, now);
        THEN("another VM forwards the request")
        {
            CHECK(next.verdict.upstream == first);
            CHECK(next.verdict.forwarder == other);
            fixture.report(next, AttemptEnd::Answered, now + milliseconds{80});
            AND_THEN("the VM tries the path again itself after about a second")
            {
                now += milliseconds{1010};
                const auto trial = fixture.send(well, now);
                CHECK(trial.verdict.upstream == first);
                CHECK(trial.verdict.forwarder.empty());
            }
        }
    }
}

SCENARIO("SlotBroker: given no daemon that can forward, a request of a VM that is isolated is "
         "refused at once",
         "[dispatch][lostlinks]")
{
    GIVEN("no other daemon")
    {
        SlotBroker broker(ServiceName{"service"}, false, {}, {}, 1);
        broker.setUpstreams({entry(first)}, start);
        PermitRequest request;
        request.id = PermitId{isolated, 1, 1};
        request.remaining = seconds{5};
        request.untilTarget = seconds{1};
        request.isIsolated = true;
        broker.ask(request, start);
        const auto verdicts = broker.takeVerdicts();
        REQUIRE(verdicts.size() == 1);
        CHECK(verdicts[0].verdict.kind == PermitVerdict::Kind::Refused);
        CHECK(verdicts[0].verdict.reason == Reason::UpstreamUnreachable);
        CHECK(verdicts[0].verdict.retryAfter >= milliseconds{300});
    }
    GIVEN("daemons that forward as many requests as they may")
    {
        SlotBrokerSettings settings;
        settings.paths.forwarderLimit = 1;
        ForwardingFixture fixture(false, settings);
        CHECK(isGranted(fixture.send(isolated, start)));
        CHECK(isGranted(fixture.send(isolated, start)));
        const auto refused = fixture.send(isolated, start);
        CHECK(refused.verdict.kind == PermitVerdict::Kind::Refused);
        CHECK(refused.verdict.reason == Reason::UpstreamUnreachable);
        CHECK(refused.verdict.retryAfter <= milliseconds{150});
        CHECK(isGranted(fixture.send(well, start)));
    }
    GIVEN("a request that waits while the others become isolated, too")
    {
        ForwardingFixture fixture;
        for (auto count = 0; count < 5; ++count) {
            static_cast<void>(fixture.send(well, start));
        }
        CHECK(fixture.send(isolated, start).verdict.kind == PermitVerdict::Kind::Queued);
        for (const auto &daemon : {well, other}) {
            PermitRequest statement;
            statement.id = PermitId{daemon, 1, 1000};
            statement.remaining = milliseconds{800};
            statement.isIsolated = true;
            fixture.broker.ask(statement, start + milliseconds{10});
        }
        static_cast<void>(fixture.broker.takeVerdicts());
        fixture.broker.advance(start + milliseconds{60});
        const auto verdicts = fixture.broker.takeVerdicts();
        REQUIRE_FALSE(verdicts.empty());
        for (const auto &issued : verdicts) {
            CHECK(issued.verdict.reason == Reason::UpstreamUnreachable);
        }
        CHECK(fixture.broker.backlogSize() == 0);
    }
}
