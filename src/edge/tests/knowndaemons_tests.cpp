#include "edge/knowndaemons.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("KnownDaemons: given hundreds of daemons that start together, they are stored once",
         "[edge][load]")
{
    const Instant start{seconds{10}};
    KnownDaemons known(KnownDaemonsSettings{});
    auto writes = 0;
    std::string stored;
    for (auto number = 0; number < 300; ++number) {
        const auto now = start + milliseconds{number * 4};
        CHECK(known.onHeard(Address{"10.0.0.1:" + std::to_string(number)}, now));
        CHECK_FALSE(known.onHeard(Address{"10.0.0.1:" + std::to_string(number)}, now));
        CHECK_FALSE(known.takeText(now));
    }
    for (auto elapsed = 1200; elapsed < 60'000; elapsed += 100) {
        if (const auto text = known.takeText(start + milliseconds{elapsed})) {
            ++writes;
            stored = *text;
        }
    }
    CHECK(writes == 1);
    WHEN("the next grantor adopts them")
    {
        KnownDaemons next(KnownDaemonsSettings{});
        next.adopt(stored, start);
        THEN("it knows all, and has nothing to store")
        {
            CHECK(next.addresses() == known.addresses());
            CHECK_FALSE(next.takeText(start + seconds{10}));
        }
        THEN("daemons that aren't heard any more are dropped in time")
        {
            next.onHeard(Address{"10.0.0.1:7"}, start + seconds{100});
            next.advance(start + seconds{130});
            CHECK(next.count() == 1);
        }
    }
    WHEN("the write fails")
    {
        known.retryText(start + seconds{60});
        THEN("the text is stored again")
        {
            CHECK(known.takeText(start + seconds{62}) == stored);
        }
    }
    WHEN("the stored text is malformed")
    {
        KnownDaemons next(KnownDaemonsSettings{});
        next.adopt("nonsense\nmore", start);
        next.adopt("daemons 1\n\n\n", start);
        THEN("it adds no daemon")
        {
            CHECK(next.count() == 0);
        }
    }
}
