#include "stubs/upstream/tests/modelsender.h"
#include "stubs/upstream/types/operationplan.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

constexpr Fence fence{1, 1};

/// @returns a sender whose model holds the shard for a minute
auto granted(UpstreamModelSettings settings = {}) -> ModelSender
{
    ModelSender sender(std::move(settings));
    sender.send(0ms, batchOf(GrantAction::Grant, fence, 60s));
    return sender;
}

} // namespace

SCENARIO("UpstreamModel: given all slots busy and a full queue, sheds further runs",
         "[upstreammodel]")
{
    UpstreamModelSettings settings;
    settings.slots = 2;
    settings.queueLimit = 1;
    auto sender = granted(settings);
    const auto first = sender.send(0ms, runOf(1, fence, "sleep-20"));
    const auto second = sender.send(0ms, runOf(2, fence, "sleep-10"));
    const auto queued = sender.send(0ms, runOf(3, fence, "sleep-10"));
    const auto shed = sender.send(0ms, runOf(4, fence, "sleep-10"));
    CHECK(sender.runStatus(shed) == RunStatus::Shed);
    CHECK(sender.model.nextChange() == at(10ms));
    sender.advance(10ms);
    CHECK(sender.runStatus(second) == RunStatus::Done);
    CHECK_FALSE(sender.runStatus(first).has_value());
    sender.advance(20ms);
    CHECK(sender.runStatus(first) == RunStatus::Done);
    CHECK(sender.runStatus(queued) == RunStatus::Done);
    CHECK(sender.model.runs().started() == 3);
}

SCENARIO(
    "UpstreamModel: given a run whose deadline passes on arrival, in the queue or while active, "
    "it has no effect",
    "[upstreammodel]")
{
    UpstreamModelSettings settings;
    settings.slots = 1;
    auto sender = granted(settings);
    auto passed = runOf(1, fence);
    passed.remaining = 0ms;
    auto tooLong = runOf(2, fence, "sleep-50");
    tooLong.remaining = 20ms;
    auto waiting = runOf(3, fence, "sleep-1");
    waiting.remaining = 15ms;
    const auto onArrival = sender.send(0ms, passed);
    const auto running = sender.send(0ms, tooLong);
    const auto queued = sender.send(0ms, waiting);
    CHECK(sender.runStatus(onArrival) == RunStatus::DeadlinePassed);
    sender.advance(15ms);
    CHECK(sender.runStatus(queued) == RunStatus::DeadlinePassed);
    sender.advance(20ms);
    CHECK(sender.runStatus(running) == RunStatus::Aborted);
    CHECK(sender.model.runs().started() == 1);
    CHECK(sender.model.runs().effects() == 0);
}

SCENARIO(
    "UpstreamModel: given an active, queued, ended or late run, when it is cancelled, says whether "
    "it ran",
    "[upstreammodel]")
{
    UpstreamModelSettings settings;
    settings.slots = 1;
    auto sender = granted(settings);
    const auto running = sender.send(0ms, runOf(1, fence));
    const auto queued = sender.send(0ms, runOf(2, fence));
    CHECK(sender.runStatus(sender.send(1ms, CancelRun{{2}})) == RunStatus::Cancelled);
    CHECK(sender.runStatus(queued) == RunStatus::Cancelled);
    CHECK(sender.runStatus(sender.send(1ms, CancelRun{{1}})) == RunStatus::Aborted);
    CHECK(sender.runStatus(running) == RunStatus::Aborted);
    const auto ended = sender.send(1ms, runOf(3, fence, "sleep-1"));
    sender.advance(2ms);
    REQUIRE(sender.runStatus(ended) == RunStatus::Done);
    CHECK(sender.runStatus(sender.send(3ms, CancelRun{{3}})) == RunStatus::Aborted);
    GIVEN("a cancellation that arrives before its run")
    {
        CHECK(sender.runStatus(sender.send(4ms, CancelRun{{4}})) == RunStatus::Cancelled);
        const auto late = sender.send(5ms, runOf(4, fence));
        CHECK(sender.runStatus(late) == RunStatus::Cancelled);
        CHECK(sender.model.runs().effects() == 1);
    }
}

SCENARIO(
    "UpstreamModel: when it drains, refuses new shards at once and runs after the grace period",
    "[upstreammodel]")
{
    UpstreamModelSettings settings;
    settings.drainGrace = 100ms;
    auto sender = granted(settings);
    sender.model.setDraining(at(0ms), true);
    auto other = batchOf(GrantAction::Grant, fence, 60s);
    other.orders.front().shard.number += 1;
    CHECK(sender.grantStatus(sender.send(1ms, other)) == GrantStatus::Draining);
    CHECK(sender.grantStatus(sender.send(1ms, batchOf(GrantAction::Grant, fence, 60s)))
          == GrantStatus::Done);
    const auto early = sender.send(50ms, runOf(1, fence));
    const auto late = sender.send(100ms, runOf(2, fence));
    CHECK(sender.runStatus(early) == RunStatus::Done);
    CHECK(sender.runStatus(late) == RunStatus::Draining);
    CHECK(sender.answer<UpstreamReport>(sender.send(100ms, UpstreamProbe{}))->draining);
}

SCENARIO(
    "UpstreamModel: given a non-idempotent request that starts twice, records it as a double run",
    "[upstreammodel]")
{
    auto sender = granted();
    auto run = runOf(1, fence, "sleep-1");
    sender.send(0ms, run);
    run.idempotent = false;
    run.id = {"booking"};
    sender.send(0ms, run);
    CHECK(sender.model.runs().doubleRuns().empty());
    run.attempt = {2};
    sender.send(0ms, run);
    sender.advance(10ms);
    CHECK(sender.model.runs().doubleRuns() == std::vector{RequestId{"booking"}});
    CHECK(sender.model.runs().effects() == 3);
}

SCENARIO("RunLog: given more runs than its capacity, drops the oldest record", "[runlog]")
{
    RunLog log(2);
    const auto first = log.start({});
    const auto second = log.start({});
    log.start({});
    log.finish(first, at(1ms), RunStatus::Done, true);
    log.finish(second, at(2ms), RunStatus::Done, true);
    CHECK(log.started() == 3);
    CHECK(log.effects() == 2);
    CHECK(log.dropped() == 1);
    REQUIRE(log.records().size() == 2);
    CHECK(log.records().front().end == at(2ms));
    CHECK_FALSE(log.records().back().end.has_value());
}

SCENARIO("UpstreamModel: when a run crashes it, fails all pending calls and loses its state",
         "[upstreammodel]")
{
    auto sender = granted();
    const auto unrelated = sender.send(0ms, runOf(1, fence, "sleep-50"));
    const auto crashing = sender.send(0ms, runOf(2, fence, "crash-10"));
    sender.advance(10ms);
    CHECK(sender.model.crashed());
    CHECK(sender.answer<UpstreamFailure>(unrelated) == UpstreamFailure::NoAnswer);
    CHECK(sender.answer<UpstreamFailure>(crashing) == UpstreamFailure::NoAnswer);
    CHECK(sender.answer<UpstreamFailure>(sender.send(11ms, UpstreamProbe{}))
          == UpstreamFailure::NotSent);
    WHEN("it is restarted")
    {
        sender.model.restart(at(20ms), incarnation.next());
        const auto old = sender.send(21ms, batchOf(GrantAction::Grant, fence, 60s));
        const auto run = sender.send(22ms, runOf(3, fence));
        THEN("it refuses orders for its earlier incarnation and holds nothing")
        {
            CHECK(sender.answer<GrantBatchAnswer>(old)->refused);
            CHECK(sender.answer<GrantBatchAnswer>(old)->incarnation == incarnation.next());
            CHECK(sender.answer<GrantBatchAnswer>(old)->highestTerm == Term{});
            CHECK(sender.runStatus(run) == RunStatus::NotOwner);
            CHECK(sender.model.runs().started() == 2);
            CHECK(sender.model.runs().effects() == 0);
        }
    }
}

SCENARIO("UpstreamModel: given no check of senders and no expiry, still refuses stale fences",
         "[upstreammodel]")
{
    UpstreamModelSettings settings;
    settings.checksSender = false;
    settings.grantsExpire = false;
    ModelSender sender(settings);
    sender.send(0ms, batchOf(GrantAction::Grant, {2, 1}, 1ms, UpstreamInstant{1ms}));
    CHECK(sender.model.heldFence(at(10min), shard) == Fence{2, 1});
    auto low = batchOf(GrantAction::Grant, {3, 1}, 1ms);
    low.term = {1};
    CHECK(sender.grantStatus(sender.send(1s, low)) == GrantStatus::Done);
    const auto stale = sender.send(1s, batchOf(GrantAction::Revoke, {2, 9}, 1ms));
    CHECK(sender.grantStatus(stale) == GrantStatus::StaleFence);
    CHECK(sender.answer<GrantBatchAnswer>(stale)->results.front().fence == Fence{3, 1});
}

SCENARIO("UpstreamModel: given a report lag or misreported values, reports them", "[upstreammodel]")
{
    UpstreamModelSettings settings;
    settings.reportLag = 100ms;
    settings.clockStart = UpstreamInstant{1h};
    settings.clockRatePpm = 1000;
    auto sender = granted(settings);
    sender.send(100ms, UpstreamProbe{});
    sender.send(101ms, runOf(1, fence, "sleep-500"));
    const auto lagging = sender.answer<UpstreamReport>(sender.send(150ms, UpstreamProbe{}));
    CHECK(lagging->busySlots == 0);
    CHECK(lagging->clock == UpstreamInstant{1h + 150ms + 150us});
    CHECK(sender.answer<UpstreamReport>(sender.send(200ms, UpstreamProbe{}))->busySlots == 1);
    sender.model.misreportLoad(0.0);
    sender.model.misreportHealth(false);
    const auto untrue = sender.answer<UpstreamReport>(sender.send(300ms, UpstreamProbe{}));
    CHECK(untrue->load == 0.0);
    CHECK_FALSE(untrue->healthy);
}

SCENARIO("UpstreamModel: given a cold start, service times decrease linearly to the normal one",
         "[upstreammodel]")
{
    UpstreamModelSettings settings;
    settings.coldStart = 1s;
    settings.coldStartFactor = 3.0;
    auto sender = granted(settings);
    sender.send(0ms, runOf(1, fence, "sleep-10"));
    CHECK(sender.model.nextChange() == at(30ms));
    sender.advance(30ms);
    sender.send(500ms, runOf(2, fence, "sleep-10"));
    CHECK(sender.model.nextChange() == at(520ms));
    sender.advance(520ms);
    sender.send(1s, runOf(3, fence, "sleep-10"));
    CHECK(sender.model.nextChange() == at(1010ms));
}

SCENARIO("UpstreamModel: given an overdue run, catchUp() checks it against the current time",
         "[upstreammodel]")
{
    ModelSender sender;
    sender.send(0ms, batchOf(GrantAction::Grant, fence, 100ms));
    const auto run = sender.send(0ms, runOf(1, fence, "sleep-10"));
    GIVEN("a process that was stopped past the end of the grant")
    {
        sender.model.catchUp(at(200ms));
        sender.collect();
        CHECK(sender.runStatus(run) == RunStatus::Aborted);
        CHECK(sender.model.runs().effects() == 0);
    }
    GIVEN("a test in virtual time that takes a long step")
    {
        sender.advance(200ms);
        CHECK(sender.runStatus(run) == RunStatus::Done);
    }
}

SCENARIO("planOf: given names of operations, returns their plans", "[operationplan]")
{
    CHECK(planOf("sleep-50") == OperationPlan{50ms, false, 0});
    CHECK(planOf("crash") == OperationPlan{0ms, true, 0});
    CHECK(planOf("crash-5") == OperationPlan{5ms, true, 0});
    CHECK(planOf("large-3") == OperationPlan{std::nullopt, false, 3072});
    for (const auto *text : {"lookup", "sleep-", "sleep-x", "sleep-5x", "sleep--1", ""}) {
        INFO(text);
        CHECK(planOf(text) == OperationPlan{});
    }
}
