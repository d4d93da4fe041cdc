#include "dispatch/requestquarantine.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("RequestQuarantine: given unanswered requests at lost upstreams, the cause is quarantined",
         "[dispatch][crash]")
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
    GIVEN("a request that was unanswered at three crashes")
    {
        quarantine.onUnanswered(companion, UpstreamId{"a"}, Incarnation{1}, start);
        crash("a", 1, start);
        crash("b", 1, start + seconds{1});
        CHECK_FALSE(quarantine.isQuarantined(culprit, start + seconds{2}));
        crash("a", 2, start + seconds{2});
        THEN("it is quarantined, and a request that ran at one crash isn't")
        {
            CHECK(quarantine.isQuarantined(culprit, start + seconds{3}));
            CHECK_FALSE(quarantine.isQuarantined(companion, start + seconds{3}));
        }
        THEN("it is released 10 minutes after the last crash")
        {
            CHECK_FALSE(quarantine.isQuarantined(culprit, start + std::chrono::minutes{11}));
        }
    }
    GIVEN("one crash that is reported three times")
    {
        for (auto round = 0; round < 3; ++round) {
            crash("a", 1, start + milliseconds{10} * round);
        }
        THEN("it counts once")
        {
            CHECK_FALSE(quarantine.isQuarantined(culprit, start + seconds{1}));
        }
    }
    GIVEN("answers that are lost long before their upstreams")
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
    GIVEN("a request that is answered between crashes")
    {
        crash("a", 1, start);
        crash("b", 1, start + seconds{1});
        quarantine.onAnswered(culprit);
        crash("c", 1, start + seconds{2});
        THEN("the earlier crashes don't count")
        {
            CHECK_FALSE(quarantine.isQuarantined(culprit, start + seconds{3}));
        }
    }
}
