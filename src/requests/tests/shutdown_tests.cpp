#include "requests/tests/endchecker.h"
#include "requests/tests/testcell.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int shardCount = 4;

auto servicePolicy() -> ServicePolicy
{
    ServicePolicy policy;
    policy.service = {"loadout"};
    policy.shardCount = shardCount;
    policy.coldStart = Duration{0};
    return policy;
}

/// Sends a request every 4 ms until second 8; every other one is non-idempotent.
auto sendSteadily(TestCell &cell, int number) -> void
{
    Request request;
    request.id = {"r" + std::to_string(number)};
    request.caller = {"shop"};
    request.key = {"key " + std::to_string(number % 50)};
    request.operation = "confirm";
    request.idempotent = number % 2 == 0;
    cell.submit(2, std::move(request), milliseconds{2000});
    const auto next = cell.now().time_since_epoch() + milliseconds{4};
    if (next < seconds{8}) {
        cell.at(next, [&cell, number] { sendSteadily(cell, number + 1); });
    }
}

} // namespace

SCENARIO("RequestRouter: given a shutdown, no request is open when the daemon ends", "[shutdown]")
{
    // Guards against requests that are forwarded during a planned stop and cut off at its end.
    TestCell cell(1, 3, servicePolicy());
    UpstreamModelSettings model;
    model.serviceTime = milliseconds{1500};
    cell.addUpstream("u0", 0, 1, model);
    for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
        cell.assign(shard, "u0");
    }
    cell.publish();
    const auto submit = [&cell](const std::string &id, Duration timeout) {
        Request request;
        request.id = {id};
        request.caller = {"shop"};
        request.key = {"key " + id};
        request.operation = "confirm";
        cell.submit(2, std::move(request), timeout);
    };
    cell.at(milliseconds{2000}, [&] { submit("earlier", seconds{4}); });
    cell.at(milliseconds{2500}, [&] { cell.stopRouter(2, milliseconds{3000}); });
    cell.at(milliseconds{2600}, [&] { submit("too long", seconds{2}); });
    cell.at(milliseconds{2600}, [&] { submit("short", milliseconds{200}); });
    auto wasIdle = false;
    cell.at(milliseconds{3010}, [&] { wasIdle = cell.isIdle(2); });
    cell.runUntil(seconds{5});

    CHECK(wasIdle);
    for (const auto &view : cell.callers()) {
        CAPTURE(view.request.id.value);
        REQUIRE(view.ends.size() == 1);
        CHECK(view.endedAt.time_since_epoch() <= milliseconds{3010});
        const auto isTooLong = view.request.id.value == "too long";
        const auto isRefusedAtOnce =
            view.ends[0].reason == Reason::ShuttingDown && view.endedAt == view.sentAt;
        CHECK(isRefusedAtOnce == isTooLong);
        CHECK((view.ends[0].kind == EndKind::Refused) == isTooLong);
    }
}

SCENARIO("Dispatcher shuts down without losing a request", "[shutdown]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        GIVEN("a grantor that shuts down under load, seed " << seed)
        {
            TestCell cell(seed, 3, servicePolicy());
            UpstreamModelSettings model;
            model.serviceTime = milliseconds{8};
            cell.addUpstream("u0", 0, 1, model);
            for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
                cell.assign(shard, "u0");
            }
            cell.publish();
            cell.at(seconds{2}, [&cell] { sendSteadily(cell, 0); });
            cell.at(seconds{4}, [&cell] { cell.beginShutdown(0); });
            bool wasIdle = false;
            cell.at(milliseconds{4030}, [&cell, &wasIdle] {
                wasIdle = cell.isIdle(0) && cell.model("u0").busySlots() == 0;
                cell.takeOver("u0", 1, 2);
                cell.publish();
            });
            cell.at(milliseconds{5000}, [&cell] {
                cell.killDaemon(0);
                cell.publishMembership();
            });
            cell.runUntil(seconds{12});
            Duration longest{0};
            int unanswered = 0;
            for (const auto &view : cell.callers()) {
                const bool answered = view.ends.size() == 1 && view.ends[0].kind == EndKind::Answer;
                unanswered += answered ? 0 : 1;
                longest = std::max(longest, view.endedAt - view.sentAt);
            }
            std::cout << "shutdown seed=" << seed << " sent=" << cell.callers().size()
                      << " unanswered=" << unanswered << " longest_us=" << longest.count() << '\n';
            THEN("it becomes idle, and every request is answered in time")
            {
                CHECK(wasIdle);
                CHECK(unanswered == 0);
                CHECK(longest < milliseconds{300});
                CHECK(checkEnds(cell, {"u0"}, {}) == Violations{});
            }
        }
    }
}
