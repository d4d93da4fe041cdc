#include "requests/concurrencylimit.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

namespace {

const Instant start{std::chrono::seconds{100}};

} // namespace

SCENARIO("ConcurrencyLimit adapts to the upstream", "[concurrencylimit]")
{
    GIVEN("a warm upstream with three slots")
    {
        ConcurrencyLimit limit(3, std::chrono::seconds{5});
        THEN("requests for all slots and one more are allowed")
        {
            CHECK(limit.allowed(start) == 4);
        }
        WHEN("it sheds load")
        {
            limit.onShed(start);
            THEN("one request less is allowed")
            {
                CHECK(limit.allowed(start + milliseconds{10}) == 3);
            }
            AND_WHEN("runs succeed")
            {
                const auto succeed = [&limit](Instant now) {
                    for (int number = 0; number < 20; ++number) {
                        limit.onCompleted(now, milliseconds{11}, milliseconds{10});
                    }
                };
                succeed(start + milliseconds{500});
                const int soon = limit.allowed(start + milliseconds{500});
                succeed(start + milliseconds{1500});
                const int later = limit.allowed(start + milliseconds{1500});
                THEN("the level at which it shed load is tried again, but not at once")
                {
                    CHECK(soon == 3);
                    CHECK(later == 4);
                }
                AND_WHEN("it sheds load at that level again")
                {
                    limit.onShed(start + milliseconds{1600});
                    succeed(start + milliseconds{3000});
                    THEN("the level is tried again later than after the first time")
                    {
                        CHECK(limit.allowed(start + milliseconds{3000}) == 3);
                    }
                }
            }
            AND_WHEN("it sheds load at every level")
            {
                for (int number = 1; number < 10; ++number) {
                    limit.onShed(start + milliseconds{100 * number});
                }
                THEN("one request at a time is allowed, with pauses")
                {
                    CHECK(limit.allowed(start + milliseconds{901}) == 0);
                    CHECK(limit.allowed(start + milliseconds{990}) == 1);
                }
            }
        }
        WHEN("its responses take ten times its service time")
        {
            auto now = start;
            for (int number = 0; number < 100; ++number) {
                now += milliseconds{100};
                limit.onCompleted(now, milliseconds{100}, milliseconds{10});
            }
            THEN("one request at a time is still allowed")
            {
                CHECK(limit.allowed(now) == 1);
            }
        }
        WHEN("many requests fail in a row")
        {
            for (int number = 0; number < 10; ++number) {
                limit.onFailure(start + milliseconds{100 * number});
            }
            THEN("the pause is longer than after one failure, but it ends")
            {
                CHECK(limit.allowed(start + milliseconds{1000}) == 0);
                CHECK(limit.allowed(start + milliseconds{1900}) == 1);
            }
        }
    }
    GIVEN("a cold upstream with three slots")
    {
        ConcurrencyLimit limit(3, std::chrono::seconds{5});
        limit.onColdStart(start);
        THEN("the limit ramps up over the cold start time")
        {
            CHECK(limit.allowed(start) == 1);
            CHECK(limit.allowed(start + milliseconds{2600}) == 2);
            CHECK(limit.allowed(start + milliseconds{4999}) == 2);
            CHECK(limit.allowed(start + milliseconds{5000}) == 4);
        }
    }
}
