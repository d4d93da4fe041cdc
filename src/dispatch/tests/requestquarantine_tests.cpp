#include "dispatch/requestquarantine.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("RequestQuarantine quarantines what crashes upstreams", "[dispatch][crash]")
{
    const RequestFingerprint culprit{7};
    const RequestFingerprint companion{8};
    const Instant start{seconds{100}};
    RequestQuarantine quarantine(RequestQuarantineSettings{});
    const auto crash = [&](const std::string &upstream, std::uint64_t incarnation, Instant at) {
        quarantine.onUnanswered(culprit, UpstreamId{upstream}, Incarnation{incarnation}, at);
        quarantine.onUpstreamLost(UpstreamId{upstream}, Incarnation{incarnation},
                                  at + milliseconds{100});
    };
    GIVEN("a request that was running at three crashes")
    {
        quarantine.onUnanswered(companion, UpstreamId{"a"}, Incarnation{1}, start);
        crash("a", 1, start);
        crash("b", 1, start + seconds{1});
        CHECK_FALSE(quarantine.isQuarantined(culprit, start + seconds{2}));
        crash("a", 2, start + seconds{2});
        THEN("it isn't run any more; its companion is")
        {
            CHECK(quarantine.isQuarantined(culprit, start + seconds{3}));
            CHECK_FALSE(quarantine.isQuarantined(companion, start + seconds{3}));
        }
        THEN("it is forgotten in the end")
        {
            CHECK_FALSE(quarantine.isQuarantined(culprit, start + std::chrono::minutes{11}));
        }
    }
    GIVEN("one crash that is seen three times")
    {
        for (auto round = 0; round < 3; ++round) {
            crash("a", 1, start + milliseconds{10} * round);
        }
        THEN("it counts once")
        {
            CHECK_FALSE(quarantine.isQuarantined(culprit, start + seconds{1}));
        }
    }
    GIVEN("answers that are lost while their upstreams live")
    {
        for (const auto *upstream : {"a", "b", "c", "d"}) {
            quarantine.onUnanswered(culprit, UpstreamId{upstream}, Incarnation{1}, start);
            quarantine.onUpstreamLost(UpstreamId{upstream}, Incarnation{1}, start + seconds{60});
        }
        THEN("nothing is quarantined")
        {
            CHECK_FALSE(quarantine.isQuarantined(culprit, start + seconds{61}));
        }
    }
    GIVEN("a suspect that is answered between crashes")
    {
        crash("a", 1, start);
        crash("b", 1, start + seconds{1});
        quarantine.onAnswered(culprit);
        crash("c", 1, start + seconds{2});
        THEN("it is innocent")
        {
            CHECK_FALSE(quarantine.isQuarantined(culprit, start + seconds{3}));
        }
    }
}
