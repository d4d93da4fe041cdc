#include "forwarding/stallwatch.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("StallWatch tells how long bytes may have waited for a suspended process", "[forwarding]")
{
    const Instant start{seconds{100}};
    StallWatch watch(start);
    watch.onTick(start + milliseconds{50});
    watch.onTick(start + milliseconds{130});
    GIVEN("a process that runs without a pause")
    {
        CHECK(watch.longestWait(start + milliseconds{130}) == Duration{0});
        CHECK(watch.longestWait(start + milliseconds{200}) == Duration{0});
    }
    GIVEN("bytes that are read before the first tick after a pause")
    {
        CHECK(watch.longestWait(start + milliseconds{1130}) == seconds{1});
    }
    GIVEN("bytes that are read soon after a pause")
    {
        watch.onTick(start + milliseconds{1130});
        watch.onTick(start + milliseconds{1180});
        THEN("they may have arrived at its start")
        {
            CHECK(watch.longestWait(start + milliseconds{1200}) == milliseconds{1070});
        }
    }
    GIVEN("bytes that are read long after a pause")
    {
        watch.onTick(start + milliseconds{1130});
        watch.onTick(start + milliseconds{1280});
        watch.onTick(start + milliseconds{1400});
        CHECK(watch.longestWait(start + milliseconds{1400}) == Duration{0});
    }
}
