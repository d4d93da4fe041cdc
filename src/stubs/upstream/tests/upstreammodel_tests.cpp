#include "stubs/upstream/tests/modelsender.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

SCENARIO("UpstreamModel: checks orders and runs against fences and the expiry of grants",
         "[upstreammodel]")
{
    GIVEN("a shard granted under fence 2.1 for 100 ms")
    {
        ModelSender sender;
        const auto granted = sender.send(0ms, batchOf(GrantAction::Grant, {2, 1}, 100ms));
        REQUIRE(sender.grantStatus(granted) == GrantStatus::Done);
        WHEN("an order of a lower term arrives")
        {
            const auto late = sender.send(1ms, batchOf(GrantAction::Revoke, {1, 9}, 100ms));
            THEN("the batch is refused as a whole and the shard stays held")
            {
                const auto answer = sender.answer<GrantBatchAnswer>(late);
                CHECK(answer->refused);
                CHECK(answer->highestTerm == Term{2});
                CHECK(sender.model.heldFence(at(1ms), shard) == Fence{2, 1});
            }
        }
        WHEN("orders arrive without an incarnation or for another one")
        {
            auto batch = batchOf(GrantAction::Revoke, {2, 1}, 100ms);
            batch.incarnation = {};
            const auto unknown = sender.send(1ms, batch);
            batch.incarnation = incarnation.next();
            const auto other = sender.send(1ms, batch);
            THEN("they are refused as a whole and the shard stays held")
            {
                CHECK(sender.answer<GrantBatchAnswer>(unknown)->refused);
                CHECK(sender.answer<GrantBatchAnswer>(other)->refused);
                CHECK(sender.model.heldFence(at(1ms), shard) == Fence{2, 1});
            }
        }
        WHEN("the state is read under a higher term")
        {
            const auto read = sender.send(1ms, GrantBatch{{"d2"}, {9}, {}, {}});
            THEN("the term is not recorded, so that orders of the current grantor are still "
                 "accepted")
            {
                const auto state = sender.answer<GrantBatchAnswer>(read);
                CHECK_FALSE(state->refused);
                CHECK(state->highestTerm == Term{2});
                CHECK(state->held == std::vector{HeldGrant{shard, {2, 1}, UpstreamInstant{100ms}}});
            }
        }
        WHEN("a renewal with an earlier end arrives late")
        {
            sender.send(1ms, batchOf(GrantAction::Grant, {2, 1}, 0ms, UpstreamInstant{50ms}));
            THEN("the grant is not shortened")
            {
                CHECK(sender.model.heldFence(at(99ms), shard) == Fence{2, 1});
                CHECK_FALSE(sender.model.heldFence(at(100ms), shard).has_value());
            }
        }
        WHEN("an order arrives after it has expired on the upstream's clock")
        {
            const auto late =
                sender.send(50ms, batchOf(GrantAction::Grant, {2, 2}, 0ms, UpstreamInstant{50ms}));
            THEN("it has no effect")
            {
                CHECK(sender.grantStatus(late) == GrantStatus::Expired);
                CHECK(sender.model.heldFence(at(50ms), shard) == Fence{2, 1});
            }
        }
        WHEN("the shard is revoked and a late renewal of the same fence arrives")
        {
            sender.send(10ms, batchOf(GrantAction::Revoke, {2, 1}, 0ms));
            const auto late = sender.send(11ms, batchOf(GrantAction::Grant, {2, 1}, 100ms));
            THEN("the renewal is stale")
            {
                CHECK(sender.grantStatus(late) == GrantStatus::StaleFence);
                CHECK_FALSE(sender.model.heldFence(at(11ms), shard).has_value());
            }
        }
        WHEN("runs arrive under a lower, the held and a higher fence")
        {
            const auto low = sender.send(1ms, runOf(1, {2, 0}));
            const auto equal = sender.send(1ms, runOf(2, {2, 1}));
            const auto high = sender.send(1ms, runOf(3, {2, 2}));
            sender.advance(11ms);
            THEN("only the run under the held fence starts")
            {
                CHECK(sender.runStatus(low) == RunStatus::StaleFence);
                CHECK(sender.runStatus(equal) == RunStatus::Done);
                CHECK(sender.runStatus(high) == RunStatus::NotOwner);
                CHECK(sender.model.runs().started() == 1);
            }
        }
        WHEN("the grant expires while a run is active")
        {
            const auto run = sender.send(95ms, runOf(1, {2, 1}));
            sender.advance(200ms);
            THEN("the run has no effect")
            {
                CHECK(sender.runStatus(run) == RunStatus::Aborted);
                CHECK(sender.model.runs().effects() == 0);
            }
        }
    }
}

SCENARIO("UpstreamModel: given active and queued runs, answers a revocation after the active ones",
         "[upstreammodel]")
{
    GIVEN("one slot, an active run and a queued one")
    {
        UpstreamModelSettings settings;
        settings.slots = 1;
        ModelSender sender(settings);
        sender.send(0ms, batchOf(GrantAction::Grant, {1, 1}, 1s));
        const auto running = sender.send(0ms, runOf(1, {1, 1}));
        const auto waiting = sender.send(0ms, runOf(2, {1, 1}));
        WHEN("the shard is revoked")
        {
            const auto revoked = sender.send(5ms, batchOf(GrantAction::Revoke, {1, 1}, 0ms));
            THEN("the queued run is refused at once and the answer follows the end of the active "
                 "one")
            {
                CHECK(sender.runStatus(waiting) == RunStatus::NotOwner);
                CHECK_FALSE(sender.grantStatus(revoked).has_value());
                const auto late = sender.send(6ms, runOf(3, {1, 1}));
                CHECK(sender.runStatus(late) == RunStatus::NotOwner);
                sender.advance(10ms);
                CHECK(sender.runStatus(running) == RunStatus::Done);
                CHECK(sender.grantStatus(revoked) == GrantStatus::Done);
                CHECK(sender.answer<GrantBatchAnswer>(revoked)->held.empty());
            }
        }
    }
}

SCENARIO(
    "UpstreamModel: given a freeze past the end of a grant, when it resumes, nothing takes effect",
    "[upstreammodel]")
{
    GIVEN("an active run, a freeze past the end of the grant and a renewal that arrives meanwhile")
    {
        ModelSender sender;
        sender.send(0ms, batchOf(GrantAction::Grant, {1, 1}, 100ms));
        const auto run = sender.send(0ms, runOf(1, {1, 1}));
        sender.model.freeze(at(5ms));
        const auto late =
            sender.send(50ms, batchOf(GrantAction::Grant, {1, 1}, 0ms, UpstreamInstant{150ms}));
        sender.advance(400ms);
        REQUIRE_FALSE(sender.runStatus(run).has_value());
        WHEN("it resumes")
        {
            sender.model.resume(at(500ms));
            sender.collect();
            THEN("the run has no effect, the renewal is too late and no grant is held")
            {
                CHECK(sender.runStatus(run) == RunStatus::Aborted);
                CHECK(sender.model.runs().effects() == 0);
                CHECK(sender.grantStatus(late) == GrantStatus::Expired);
                CHECK(sender.answer<GrantBatchAnswer>(late)->held.empty());
            }
        }
    }
}
