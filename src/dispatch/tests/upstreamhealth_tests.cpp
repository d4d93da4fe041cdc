#include "dispatch/upstreamhealth.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("UpstreamHealth learns from callers who give up", "[dispatch][slow]")
{
    // Found by the recorded day inc-cd8a of kfc-gasketnet: upstreams turned slow while callers gave
    // up, so that no answer told of it, and their keys stayed with them.
    constexpr Duration mean = milliseconds{80};
    const Instant start{seconds{100}};
    UpstreamHealth health;
    for (auto round = 0; round < 10; ++round) {
        health.onAttemptEnd(AttemptEnd::Answered, mean, start);
    }
    GIVEN("attempts that were broken off after far longer than usual")
    {
        for (auto round = 0; round < 20; ++round) {
            health.onAttemptEnd(AttemptEnd::Unused, milliseconds{300},
                                start + milliseconds{50} * round);
        }
        THEN("the upstream counts as slow")
        {
            CHECK(health.expectedLatency(mean, start + seconds{1}) > 2 * mean);
        }
    }
    GIVEN("permits that were never used, and attempts broken off early")
    {
        for (auto round = 0; round < 20; ++round) {
            health.onAttemptEnd(AttemptEnd::Unused, Duration{0}, start);
            health.onAttemptEnd(AttemptEnd::Unused, milliseconds{30}, start);
        }
        THEN("they say nothing")
        {
            CHECK(health.expectedLatency(mean, start) == mean);
            CHECK(health.failureShare(start) == 0);
        }
    }
}
