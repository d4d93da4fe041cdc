#include "dispatch/upstreamhealth.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("UpstreamHealth: given cancelled attempts, long ones raise the expected latency",
         "[dispatch][slow]")
{
    // Guards against a failure in the recorded day inc-cd8a of kfc-gasketnet: upstreams became slow
    // and callers cancelled their requests, so no answer showed the latency and the upstreams kept
    // their keys.
    constexpr Duration mean = milliseconds{80};
    const Instant start{seconds{100}};
    UpstreamHealth health;
    for (auto round = 0; round < 10; ++round) {
        health.onAttemptEnd(AttemptEnd::Answered, mean, start);
    }
    GIVEN("attempts that were cancelled after far longer than usual")
    {
        for (auto round = 0; round < 20; ++round) {
            health.onAttemptEnd(AttemptEnd::Unused, milliseconds{300},
                                start + milliseconds{50} * round);
        }
        THEN("the expected latency is more than twice the mean")
        {
            CHECK(health.expectedLatency(mean, start + seconds{1}) > 2 * mean);
        }
    }
    GIVEN("permits that were never used, and attempts that were cancelled early")
    {
        for (auto round = 0; round < 20; ++round) {
            health.onAttemptEnd(AttemptEnd::Unused, Duration{0}, start);
            health.onAttemptEnd(AttemptEnd::Unused, milliseconds{30}, start);
        }
        THEN("latency and failure share stay the same")
        {
            CHECK(health.expectedLatency(mean, start) == mean);
            CHECK(health.failureShare(start) == 0);
        }
    }
}
