#include "memory/shedorder.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Activity = ConnectionLoad::Activity;
using Urgency = ShedOrder::Urgency;

namespace {

constexpr std::size_t megabyte = 1'000'000;
const Instant now = Instant{seconds{100}};

/// @param moved bytes that have moved in `age`
/// @param stalled time since the last ones
auto load(std::size_t held, std::size_t moved, Duration age, Duration stalled,
          Activity activity = Activity::Receiving) -> ConnectionLoad
{
    return ConnectionLoad{activity, held, moved, now - age, now - stalled};
}

} // namespace

SCENARIO("ShedOrder closes the connections that make memory last the longest", "[memory]")
{
    // Load: many large bodies at once, of which most stop just short of their end and stay open.
    const ShedOrder order(ShedOrderSettings{});
    const auto fast = load(4 * megabyte, 4 * megabyte, seconds{2}, milliseconds{5});
    const auto begun = load(8 * megabyte, 0, milliseconds{50}, milliseconds{50});
    const auto slow = load(megabyte, 20'000, seconds{4}, milliseconds{100});
    const auto slower = load(megabyte, 5'000, seconds{4}, milliseconds{100});
    const auto stalled = load(8 * megabyte, 8 * megabyte, seconds{3}, milliseconds{1500});
    const auto longStalled = load(megabyte, megabyte, seconds{9}, seconds{8});
    const auto unread = load(2 * megabyte, 0, seconds{3}, seconds{2}, Activity::Sending);
    const auto small = load(4096, 0, seconds{60}, seconds{60});
    GIVEN("stalled, slow and fast connections")
    {
        THEN("the longest stalled one goes first, whether it receives or sends")
        {
            const auto urgency = GENERATE(Urgency::RoomWanted, Urgency::OverBudget);
            CHECK(order.next({fast, stalled, longStalled, slow, unread}, urgency, now) == 2);
            CHECK(order.next({fast, stalled, slow, unread}, urgency, now) == 3);
            CHECK(order.next({fast, stalled, slow}, urgency, now) == 1);
        }
        THEN("slow ones follow, the slowest first")
        {
            const auto urgency = GENERATE(Urgency::RoomWanted, Urgency::OverBudget);
            CHECK(order.next({fast, slow, slower, begun}, urgency, now) == 2);
            CHECK(order.next({fast, slow, begun}, urgency, now) == 1);
        }
    }
    GIVEN("connections that make progress")
    {
        THEN("none is closed to make room for another request")
        {
            CHECK_FALSE(order.next({fast, begun}, Urgency::RoomWanted, now));
        }
        THEN("the one that holds the most is closed where the budget is exceeded")
        {
            CHECK(order.next({fast, begun}, Urgency::OverBudget, now) == 1);
        }
    }
    GIVEN("a connection whose requests wait for their answers")
    {
        // Guards against input behind such requests that nothing bounds.
        const auto waiting = load(9 * megabyte, 0, seconds{9}, seconds{9}, Activity::Waiting);
        THEN("it is closed where the budget is exceeded and nothing else can be closed")
        {
            CHECK_FALSE(order.next({waiting, small}, Urgency::RoomWanted, now));
            CHECK(order.next({waiting, begun}, Urgency::OverBudget, now) == 1);
            CHECK(order.next({waiting, small}, Urgency::OverBudget, now) == 0);
        }
    }
    GIVEN("connections that hold next to nothing, or none")
    {
        const auto urgency = GENERATE(Urgency::RoomWanted, Urgency::OverBudget);
        CHECK_FALSE(order.next({small, small}, urgency, now));
        CHECK_FALSE(order.next({}, urgency, now));
    }
}
