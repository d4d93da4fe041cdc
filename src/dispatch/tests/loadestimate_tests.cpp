#include "dispatch/loadestimate.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

// Guards against choices by a report whose requests have ended since.
SCENARIO("LoadEstimate: given a report that ages, the usual load replaces it", "[dispatch][even]")
{
    const Instant start{std::chrono::seconds{100}};
    LoadEstimate estimate;
    GIVEN("no report")
    {
        THEN("own requests and the usual ones of others count, and no slowdown")
        {
            CHECK(estimate.requests(1, 0.5, start) == Approx(1.5));
            CHECK(estimate.slowdown(start) == Approx(1));
            CHECK(estimate.recentOthers(start) == 0);
        }
    }
    GIVEN("a report of four requests, one of which is an own one, and of a slowdown")
    {
        estimate.onReported(ReportedLoad{3, 1, 3, 3.0}, 1, start);
        THEN("it counts in full at first, with the requests that were sent and ended since")
        {
            CHECK(estimate.requests(1, 1, start) == Approx(4));
            CHECK(estimate.requests(3, 1, start) == Approx(6));
            CHECK(estimate.requests(0, 1, start) == Approx(3));
            CHECK(estimate.recentOthers(start) == 3);
            CHECK(estimate.slowdown(start) == Approx(3));
        }
        THEN("it counts less later, and not at all in the end")
        {
            const auto later = estimate.requests(0, 1, start + milliseconds{150});
            CHECK(later < 3);
            CHECK(later > 1);
            const auto slowdown = estimate.slowdown(start + milliseconds{150});
            CHECK(slowdown < 3);
            CHECK(slowdown > 1);
            CHECK(estimate.requests(0, 1, start + milliseconds{500}) == Approx(1));
            CHECK(estimate.slowdown(start + milliseconds{500}) == Approx(1));
            CHECK(estimate.recentOthers(start + milliseconds{500}) == 0);
        }
        WHEN("a later report names no slowdown")
        {
            estimate.onReported(ReportedLoad{1, 0, 3}, 1, start + milliseconds{10});
            THEN("the earlier slowdown counts on")
            {
                CHECK(estimate.slowdown(start + milliseconds{10}) > 2.5);
                CHECK(estimate.requests(1, 1, start + milliseconds{10}) == Approx(1));
            }
        }
    }
    // Guards against an upstream that draws all requests to itself, or seems lost, by its reports.
    GIVEN("slowdowns that are implausible")
    {
        estimate.onReported(ReportedLoad{0, 0, 3, 0.01}, 0, start);
        CHECK(estimate.slowdown(start) >= 0.5);
        estimate.onReported(ReportedLoad{0, 0, 3, 5000.0}, 0, start);
        CHECK(estimate.slowdown(start) <= 10);
    }
    GIVEN("more own requests than the upstream reports")
    {
        estimate.onReported(ReportedLoad{0, 0, 3}, 2, start);
        THEN("others count as none")
        {
            CHECK(estimate.requests(2, 1, start) == Approx(2));
        }
    }
}
