#include "dispatch/utilisationaverage.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a mean that weights changes instead of time.
SCENARIO("UtilisationAverage: given requests that come and go, the mean is weighted by time",
         "[dispatch][even]")
{
    const Instant start{seconds{100}};
    UtilisationAverage average;
    CHECK(average.mean(start) == Approx(0));
    GIVEN("two requests for a quarter of the time")
    {
        for (auto cycle = 0; cycle < 1000; ++cycle) {
            const auto now = start + cycle * milliseconds{100};
            average.onChange(1, now);
            average.onChange(2, now);
            average.onChange(1, now + milliseconds{25});
            average.onChange(0, now + milliseconds{25});
        }
        THEN("the mean is a half, and it falls when no more come")
        {
            CHECK(average.mean(start + seconds{100}) == Approx(0.5).margin(0.02));
            CHECK(average.mean(start + seconds{150}) < 0.01);
        }
    }
}
