#include "dispatch/slotbroker.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start{seconds{100}};
const Address losing{"10.9.0.1:7000"};
const Address well{"10.9.0.2:7000"};
const Address other{"10.9.0.3:7000"};
const UpstreamId first{"a"};
const UpstreamId second{"b"};
const UpstreamId third{"c"};

/// @returns a key that the upstream owns
auto keyOf(const UpstreamId &upstream) -> KeyPosition
{
    return upstream == first ? 7 : upstream == second ? 107 : 207;
}

auto entry(const UpstreamId &id) -> UpstreamEntry
{
    UpstreamEntry result;
    result.id = id;
    result.service = ServiceName{"service"};
    result.slots = 3;
    result.incarnation = Incarnation{5};
    return result;
}

/// A broker of three upstreams, each the owner of some keys, that have just answered a VM.
struct BlameFixture
{
    SlotBroker broker{ServiceName{"service"}, true, SlotBrokerSettings{}, RetryWindowSettings{}, 1};
    std::uint64_t sequence = 0;

    BlameFixture()
    {
        this->broker.setUpstreams({entry(first), entry(second), entry(third)},
                                  start - milliseconds{100});
        this->broker.setOwners({OwnedRange{KeyRange{0, 99}, first, Instant{}},
                                OwnedRange{KeyRange{100, 199}, second, Instant{}},
                                OwnedRange{KeyRange{200, 65535}, third, Instant{}}},
                               start - milliseconds{100});
        for (const auto &upstream : {first, second, third}) {
            this->report(this->ask(well, upstream, start - milliseconds{90}), AttemptEnd::Answered,
                         start - milliseconds{10});
        }
    }

    auto ask(const Address &daemon, const UpstreamId &upstream, Instant now,
             bool isIsolated = false, std::uint64_t fingerprint = 0) -> IssuedVerdict
    {
        PermitRequest request;
        request.id = PermitId{daemon, 1, ++this->sequence};
        request.service = ServiceName{"service"};
        request.key = keyOf(upstream);
        request.remaining = milliseconds{1000};
        request.untilTarget = milliseconds{800};
        request.isIsolated = isIsolated;
        request.fingerprint = fingerprint;
        this->broker.ask(request, now);
        const auto verdicts = this->broker.takeVerdicts();
        REQUIRE(verdicts.size() == 1);
        return verdicts[0];
    }

    /// @returns whether a request of the daemon gets a permit for the upstream at once
    auto isGranted(const Address &daemon, const UpstreamId &upstream, Instant now) -> bool
    {
        const auto verdict = this->ask(daemon, upstream, now);
        this->broker.cancel(verdict.id, now);
        static_cast<void>(this->broker.takeVerdicts());
        return verdict.verdict.kind == PermitVerdict::Kind::Granted;
    }

    auto report(const IssuedVerdict &verdict, AttemptEnd end, Instant now) -> void
    {
        REQUIRE(verdict.verdict.kind == PermitVerdict::Kind::Granted);
        PermitReport report;
        report.id = verdict.id;
        report.service = ServiceName{"service"};
        report.upstream = verdict.verdict.upstream;
        report.end = end;
        report.latency = milliseconds{80};
        report.forwarder = verdict.verdict.forwarder;
        this->broker.report(report, now);
    }
};

} // namespace

// Guards against an upstream that is blocked for all VMs because one VM can't connect to it.
SCENARIO("SlotBroker: given a VM that can't connect to an upstream which answers others, the "
         "others get permits",
         "[dispatch][lostlinks]")
{
    BlameFixture fixture;
    fixture.report(fixture.ask(losing, first, start), AttemptEnd::NotSent, start + milliseconds{1});
    auto now = start + milliseconds{2};
    GIVEN("no request out")
    {
        CHECK(fixture.isGranted(other, first, now));
    }
    GIVEN("a request of another VM out")
    {
        const auto trial = fixture.ask(other, first, now);
        CHECK(trial.verdict.kind == PermitVerdict::Kind::Granted);
        CHECK_FALSE(fixture.isGranted(well, first, now));
        WHEN("it is answered")
        {
            fixture.report(trial, AttemptEnd::Answered, now + milliseconds{80});
            const auto next = fixture.ask(other, first, now + milliseconds{80});
            CHECK(next.verdict.kind == PermitVerdict::Kind::Granted);
            CHECK(fixture.isGranted(well, first, now + milliseconds{80}));
            THEN("the first VM's further failures change nothing")
            {
                now += milliseconds{90};
                fixture.report(fixture.ask(losing, second, now), AttemptEnd::NotSent, now);
                CHECK(fixture.isGranted(well, second, now));
                const auto onTheWay = fixture.ask(well, second, now);
                CHECK(fixture.isGranted(other, second, now));
                static_cast<void>(onTheWay);
            }
        }
        WHEN("it can't be sent, either")
        {
            fixture.report(trial, AttemptEnd::NotSent, now + milliseconds{1});
            THEN("the upstream is lost: nobody gets a permit for a time")
            {
                CHECK_FALSE(fixture.isGranted(well, first, now + milliseconds{200}));
                CHECK(fixture.isGranted(well, first, now + milliseconds{252}));
            }
        }
    }
}

// Guards against an upstream that gets no trial because of requests that hang at a VM without
// links.
SCENARIO("SlotBroker: given requests that hang when an upstream is suspected, it gets a trial",
         "[dispatch][lostlinks]")
{
    BlameFixture fixture;
    const auto hanging = fixture.ask(losing, first, start);
    fixture.report(fixture.ask(losing, first, start), AttemptEnd::NotSent, start + milliseconds{1});
    const auto trial = fixture.ask(other, first, start + milliseconds{2});
    CHECK(hanging.verdict.kind == PermitVerdict::Kind::Granted);
    CHECK(trial.verdict.kind == PermitVerdict::Kind::Granted);
    CHECK_FALSE(fixture.isGranted(well, first, start + milliseconds{2}));
}

SCENARIO("SlotBroker: given a VM that can't connect to an upstream which has answered nobody "
         "lately, the upstream is lost at once",
         "[dispatch][lostlinks]")
{
    BlameFixture fixture;
    const auto now = start + seconds{1};
    fixture.report(fixture.ask(losing, first, now), AttemptEnd::NotSent, now);
    CHECK_FALSE(fixture.isGranted(well, first, now + milliseconds{200}));
    CHECK(fixture.isGranted(well, first, now + milliseconds{252}));
}

// Guards against an upstream that counts as slow and failing because of VMs that are isolated.
SCENARIO("SlotBroker: given a VM that states that it is isolated, its earlier permits tell nothing "
         "about the upstreams",
         "[dispatch][lostlinks]")
{
    BlameFixture fixture;
    const auto hanging = fixture.ask(losing, first, start);
    const auto statement = fixture.ask(losing, second, start + milliseconds{300}, true);
    auto now = start + milliseconds{600};
    WHEN("they are out for longer than answers take")
    {
        THEN("others get the remaining slots, and those only")
        {
            CHECK(fixture.broker.upstreamStatuses(now).front().isUsable);
            CHECK(fixture.ask(well, first, now).verdict.kind == PermitVerdict::Kind::Granted);
            CHECK(fixture.ask(well, first, now).verdict.kind == PermitVerdict::Kind::Granted);
            CHECK(fixture.ask(well, first, now).verdict.kind == PermitVerdict::Kind::Queued);
        }
    }
    WHEN("they end without an answer, or are cancelled late")
    {
        const auto latency = fixture.broker.upstreamStatuses(now).front().expectedLatency;
        fixture.report(
            hanging, GENERATE(AttemptEnd::NoAnswer, AttemptEnd::NotSent, AttemptEnd::Unused), now);
        THEN("the upstream's health is as before")
        {
            const auto status = fixture.broker.upstreamStatuses(now).front();
            CHECK(status.failureShare == 0);
            CHECK(status.expectedLatency == latency);
            CHECK(fixture.isGranted(well, first, now));
        }
    }
    static_cast<void>(statement);
}

// Guards against requests that are quarantined because of a VM's lost links.
SCENARIO("SlotBroker: given requests that a VM without links can't send, none is quarantined",
         "[dispatch][lostlinks]")
{
    constexpr std::uint64_t fingerprint = 77;
    BlameFixture fixture;
    auto now = start;
    for (const auto &upstream : {first, second, third, first, second, third}) {
        now += milliseconds{500};
        const auto sent = fixture.ask(well, upstream, now, false, fingerprint);
        fixture.report(sent, AttemptEnd::NoAnswer, now + milliseconds{10});
        const auto lost = fixture.ask(losing, upstream, now + milliseconds{20}, true);
        if (lost.verdict.kind == PermitVerdict::Kind::Granted) {
            fixture.report(lost, AttemptEnd::NotSent, now + milliseconds{30});
        }
        fixture.report(fixture.ask(well, upstream, now + milliseconds{400}), AttemptEnd::Answered,
                       now + milliseconds{410});
    }
    now += seconds{1};
    CHECK(fixture.ask(well, first, now, false, fingerprint).verdict.reason != Reason::Quarantined);
}
