#include "forwarding/stallwatch.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("StallWatch tells how long bytes may have waited for a suspended process", "[forwarding]")
{
    const Instant start{seconds{100}};
    StallWatch watch;
    CHECK(watch.longestWait(start) == Duration{0});
    watch.onWait(start + milliseconds{50}, start + milliseconds{130});
    watch.onWait(start + milliseconds{130}, start + milliseconds{630});
    GIVEN("a process that wakes up before its timer is due, or soon after")
    {
        CHECK(watch.longestWait(start + milliseconds{130}) == Duration{0});
        CHECK(watch.longestWait(start + milliseconds{630}) == Duration{0});
        CHECK(watch.longestWait(start + milliseconds{700}) == Duration{0});
    }
    GIVEN("bytes that are read first after a pause")
    {
        CHECK(watch.longestWait(start + milliseconds{1130}) == seconds{1});
    }
    GIVEN("bytes that are read soon after a pause")
    {
        watch.onWait(start + milliseconds{1130}, start + milliseconds{1131});
        watch.onWait(start + milliseconds{1180}, start + milliseconds{1680});
        THEN("they may have arrived at its start")
        {
            CHECK(watch.longestWait(start + milliseconds{1200}) == milliseconds{1070});
        }
    }
    GIVEN("bytes that are read long after a pause")
    {
        watch.onWait(start + milliseconds{1130}, start + milliseconds{1280});
        watch.onWait(start + milliseconds{1280}, start + milliseconds{1500});
        watch.onWait(start + milliseconds{1400}, start + milliseconds{1500});
        CHECK(watch.longestWait(start + milliseconds{1400}) == Duration{0});
    }
}
