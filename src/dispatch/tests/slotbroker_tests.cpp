#include "dispatch/tests/brokersimulation.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Speeds of ten upstreams, which have 30 slots in all; the mean is 1.
const std::vector<double> mixedSpeeds{0.5, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0, 1.5, 1.0, 1.0};
/// Requests of 80 ms that these upstreams serve per second.
constexpr double capacity = 375;

auto permit(std::uint64_t sequence) -> PermitRequest
{
    PermitRequest request;
    request.id = PermitId{Address{"entry"}, 1, sequence};
    request.service = ServiceName{"service"};
    request.remaining = milliseconds{800};
    request.untilTarget = milliseconds{300};
    return request;
}

auto upstream(const std::string &id) -> UpstreamEntry
{
    UpstreamEntry entry;
    entry.id = UpstreamId{id};
    entry.service = ServiceName{"service"};
    entry.slots = 1;
    return entry;
}

} // namespace

SCENARIO("SlotBroker: given a load of twice the capacity, goodput stays high",
         "[dispatch][overload]")
{
    BrokerSimulation simulation(1, mixedSpeeds, {RequestClass{2 * capacity}});
    simulation.run(seconds{5});
    simulation.resetCounts();
    simulation.run(seconds{20});
    const auto &count = simulation.counts(0);
    THEN("at least 0.9 of the capacity is served, and no upstream gets more requests than slots")
    {
        CHECK(count.served() >= static_cast<int>(0.9 * capacity * 20));
        CHECK(simulation.maxOvercommit() <= 0);
    }
    THEN("most answers meet the target, as requests that would miss it don't go first")
    {
        CHECK(count.inTarget >= count.served() * 8 / 10);
    }
    THEN("refused requests wait for less than a quarter of their target on average")
    {
        CHECK(count.refusedWait / std::max(1, count.refusals) < milliseconds{75});
    }
}

SCENARIO("SlotBroker: given a load of 0.8 of the capacity, hardly any request is late or refused",
         "[dispatch]")
{
    BrokerSimulation simulation(2, mixedSpeeds, {RequestClass{0.8 * capacity}});
    simulation.run(seconds{5});
    simulation.resetCounts();
    simulation.run(seconds{20});
    const auto &count = simulation.counts(0);
    THEN("nearly all answers meet the target, and hardly any request is refused")
    {
        CHECK(count.inTarget >= count.asked * 97 / 100);
        CHECK(count.refused <= count.asked / 100);
    }
}

SCENARIO("SlotBroker: given urgent and other requests to one service, urgent ones go first",
         "[dispatch][overload]")
{
    RequestClass urgent{100};
    RequestClass other{2 * capacity};
    other.priority = 2;
    BrokerSimulation simulation(3, mixedSpeeds, {urgent, other});
    simulation.run(seconds{5});
    simulation.resetCounts();
    simulation.run(seconds{20});
    THEN("urgent requests meet their target, and some of the others are refused")
    {
        CHECK(simulation.counts(0).inTarget >= simulation.counts(0).asked * 95 / 100);
        CHECK(simulation.counts(1).refused > 0);
    }
}

SCENARIO("SlotBroker: given an upstream that becomes slow, it is avoided within a second",
         "[dispatch][slow]")
{
    BrokerSimulation simulation(4, std::vector<double>(10, 1.0), {RequestClass{0.5 * capacity}});
    simulation.run(seconds{5});
    simulation.setSlowdown(0, 8);
    simulation.run(seconds{1});
    simulation.resetCounts();
    simulation.run(seconds{5});
    THEN("it gets less than a third of its share, and answers still meet the target")
    {
        CHECK(simulation.sentTo(0) < static_cast<int>(0.5 * capacity * 5 / 10 / 3));
        CHECK(simulation.counts(0).inTarget >= simulation.counts(0).asked * 95 / 100);
    }
}

SCENARIO("SlotBroker: given an upstream that stops answering, it is avoided until it answers",
         "[dispatch][silent]")
{
    BrokerSimulation simulation(5, std::vector<double>(10, 1.0), {RequestClass{0.5 * capacity}});
    simulation.run(seconds{5});
    simulation.setSlowdown(0, 0);
    simulation.run(seconds{1});
    simulation.resetCounts();
    simulation.run(seconds{5});
    THEN("it gets single requests, and more again after it has recovered")
    {
        CHECK(simulation.sentTo(0) <= 15);
        simulation.setSlowdown(0, 1);
        simulation.run(seconds{4});
        simulation.resetCounts();
        simulation.run(seconds{4});
        CHECK(simulation.sentTo(0) > 20);
    }
}

SCENARIO("SlotBroker: given a repeated permit request, the verdict is the same", "[dispatch]")
{
    const Instant now{seconds{10}};
    SlotBroker broker(ServiceName{"service"}, false, {}, {}, 1);
    broker.setUpstreams({upstream("a")}, now);
    broker.ask(permit(1), now);
    broker.ask(permit(1), now);
    broker.ask(permit(2), now);
    broker.ask(permit(2), now);
    const auto verdicts = broker.takeVerdicts();
    THEN("one slot is granted, and the other request waits once")
    {
        REQUIRE(verdicts.size() == 4);
        CHECK(verdicts[0].id == verdicts[1].id);
        CHECK(verdicts[0].verdict == verdicts[1].verdict);
        CHECK(verdicts[0].verdict.kind == PermitVerdict::Kind::Granted);
        CHECK(verdicts[2].verdict.kind == PermitVerdict::Kind::Queued);
        CHECK(broker.permitCount() == 1);
        CHECK(broker.backlogSize() == 1);
    }
    WHEN("the permit is returned")
    {
        PermitReport report;
        report.id = permit(1).id;
        report.upstream = UpstreamId{"a"};
        report.end = AttemptEnd::Answered;
        report.latency = milliseconds{50};
        broker.report(report, now + milliseconds{50});
        THEN("the waiting request gets the slot")
        {
            const auto next = broker.takeVerdicts();
            REQUIRE(next.size() == 1);
            CHECK(next[0].id.sequence == 2);
            CHECK(next[0].verdict.kind == PermitVerdict::Kind::Granted);
        }
    }
    WHEN("a report comes for no known permit, or names another upstream")
    {
        PermitReport stray;
        stray.id = permit(9).id;
        stray.upstream = UpstreamId{"a"};
        stray.end = AttemptEnd::NoAnswer;
        for (auto count = 0; count < 5; ++count) {
            broker.report(stray, now);
        }
        stray.id = permit(1).id;
        stray.upstream = UpstreamId{"b"};
        broker.report(stray, now);
        THEN("it is ignored")
        {
            CHECK(broker.permitCount() == 1);
            CHECK(broker.upstreamStatuses(now).front().failureShare == 0);
            CHECK(broker.upstreamStatuses(now).front().isUsable);
        }
    }
    WHEN("neither the verdict's use nor the report is heard of for longer than attempts take")
    {
        broker.advance(now + milliseconds{50});
        CHECK(broker.takeVerdicts().empty());
        broker.advance(now + milliseconds{260});
        THEN("the verdict is repeated, so that an entry daemon that doesn't use it returns it")
        {
            const auto repeated = broker.takeVerdicts();
            REQUIRE(repeated.size() == 1);
            CHECK(repeated.front().id == verdicts[0].id);
            CHECK(repeated.front().verdict == verdicts[0].verdict);
            CHECK(broker.permitCount() == 1);
        }
    }
    WHEN("the upstream starts to drain before the lost verdict is repeated")
    {
        auto leaving = upstream("a");
        leaving.isDraining = true;
        broker.setUpstreams({leaving, upstream("b")}, now + milliseconds{50});
        static_cast<void>(broker.takeVerdicts());
        broker.advance(now + milliseconds{500});
        broker.ask(permit(1), now + milliseconds{500});
        THEN("the request isn't sent to it")
        {
            for (const auto &issued : broker.takeVerdicts()) {
                CHECK(issued.verdict.upstream.value != "a");
            }
        }
    }
    WHEN("an attempt takes as long as its deadline allows")
    {
        for (auto elapsed = 0; elapsed < 800; elapsed += 20) {
            broker.advance(now + milliseconds{elapsed});
        }
        THEN("the verdict is repeated a few times only")
        {
            CHECK(broker.takeVerdicts().size() <= 3 + 1);
        }
    }
    WHEN("the report is lost")
    {
        broker.advance(now + milliseconds{1001});
        THEN("the slot is free again after the request's deadline")
        {
            CHECK(broker.permitCount() == 0);
        }
    }
}

SCENARIO("SlotBroker: given a sharded service, a request with a key runs only at the owner",
         "[dispatch][keys]")
{
    const Instant now{seconds{10}};
    SlotBroker broker(ServiceName{"service"}, true, {}, {}, 1);
    broker.setUpstreams({upstream("a"), upstream("b")}, now);
    auto request = permit(1);
    request.key = KeyPosition{7};
    GIVEN("an owner of the key")
    {
        broker.setOwners({OwnedRange{KeyRange{0, 65535}, UpstreamId{"b"}, {}}}, now);
        broker.ask(request, now);
        THEN("the owner gets the request, and the entry daemon learns the range of keys")
        {
            const auto verdicts = broker.takeVerdicts();
            REQUIRE(verdicts.size() == 1);
            CHECK(verdicts[0].verdict.upstream.value == "b");
            CHECK(verdicts[0].verdict.ownedRange == KeyRange{0, 65535});
        }
    }
    GIVEN("no owner until after the request's deadline")
    {
        broker.setOwners({OwnedRange{KeyRange{0, 65535}, std::nullopt, now + seconds{3}}}, now);
        broker.ask(request, now);
        THEN("the request is refused at once")
        {
            const auto verdicts = broker.takeVerdicts();
            REQUIRE(verdicts.size() == 1);
            CHECK(verdicts[0].verdict.kind == PermitVerdict::Kind::Refused);
            CHECK(verdicts[0].verdict.reason == Reason::NoOwner);
        }
    }
    GIVEN("a key that gets an owner while the request waits")
    {
        broker.setOwners({OwnedRange{KeyRange{0, 65535}, std::nullopt, now}}, now);
        broker.ask(request, now);
        broker.setOwners({OwnedRange{KeyRange{0, 65535}, UpstreamId{"a"}, {}}},
                         now + milliseconds{30});
        THEN("the new owner gets the request")
        {
            const auto verdicts = broker.takeVerdicts();
            REQUIRE(verdicts.size() == 2);
            CHECK(verdicts[0].verdict.kind == PermitVerdict::Kind::Queued);
            CHECK(verdicts[1].verdict.upstream.value == "a");
        }
    }
}

SCENARIO("RetryWindow: given first attempts, retries in a window are limited", "[dispatch]")
{
    RetryWindow window(RetryWindowSettings{0.2, 10, seconds{10}, 1.0});
    const Instant start{seconds{100}};
    auto taken = 0;
    for (auto number = 0; number < 100; ++number) {
        window.onRequest(start);
    }
    for (auto number = 0; number < 100; ++number) {
        taken += window.tryTake(start + seconds{1}) ? 1 : 0;
    }
    THEN("a fifth of the first attempts and the extra retries are allowed")
    {
        CHECK(taken == 30);
    }
    THEN("retries are refused until the window has passed")
    {
        CHECK_FALSE(window.tryTake(start + seconds{9}));
        CHECK(window.tryTake(start + seconds{22}));
    }
}
