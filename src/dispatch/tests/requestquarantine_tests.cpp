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

namespace {

/// A grantor's quarantine, and what another daemon has heard of it.
struct NoticeTrial
{
    RequestQuarantine grantor{RequestQuarantineSettings{}};
    RequestQuarantine other{RequestQuarantineSettings{}};
    Instant now{seconds{100}};
    std::uint64_t nextIncarnation = 1;
    std::size_t toldCount = 0;

    auto crash(RequestFingerprint fingerprint) -> void
    {
        const Incarnation incarnation{this->nextIncarnation++};
        this->grantor.onUnanswered(fingerprint, UpstreamId{"u"}, incarnation, this->now);
        this->grantor.onUpstreamLost(UpstreamId{"u"}, incarnation, this->now);
    }

    /// Tells at most 24 suspects a second.
    auto tell(Duration time) -> void
    {
        for (auto passed = Duration{0}; passed < time; passed += seconds{1}) {
            this->now += seconds{1};
            const auto notices = this->grantor.takeNotices(24, this->now);
            this->toldCount += notices.size();
            CHECK(notices.size() <= 24);
            this->other.adopt(notices, this->now);
        }
    }
};

} // namespace

// Guards against crashes that only the grantor knows of when it is lost.
SCENARIO("RequestQuarantine: given notices, another daemon counts on where the grantor has stopped",
         "[dispatch][crash][quarantine]")
{
    NoticeTrial trial;
    const RequestFingerprint culprit{7};
    trial.crash(culprit);
    trial.crash(culprit);
    trial.tell(seconds{2});
    CHECK_FALSE(trial.other.isQuarantined(culprit, trial.now));
    WHEN("it sees the third crash")
    {
        trial.other.onUnanswered(culprit, UpstreamId{"v"}, Incarnation{1}, trial.now);
        trial.other.onUpstreamLost(UpstreamId{"v"}, Incarnation{1}, trial.now);
        CHECK(trial.other.isQuarantined(culprit, trial.now));
    }
    WHEN("it sees a crash that the grantor has told of")
    {
        trial.other.onUnanswered(culprit, UpstreamId{"u"}, Incarnation{2}, trial.now);
        trial.other.onUpstreamLost(UpstreamId{"u"}, Incarnation{2}, trial.now);
        THEN("it counts once")
        {
            CHECK_FALSE(trial.other.isQuarantined(culprit, trial.now));
        }
    }
    WHEN("the grantor sees an answer to the request")
    {
        trial.grantor.onAnswered(culprit);
        trial.tell(seconds{1});
        THEN("its crashes don't count elsewhere either")
        {
            CHECK(trial.other.suspectCount() == 0);
        }
    }
    WHEN("the grantor was the last one before a change of grantors, and the request is unconfirmed")
    {
        trial.other.forgetUnconfirmed();
        CHECK(trial.other.suspectCount() == 0);
        trial.tell(seconds{1});
        THEN("the present grantor's next notice brings it back")
        {
            CHECK(trial.other.suspectCount() == 1);
        }
    }
    WHEN("a message names the fingerprint that stands for an unknown request")
    {
        trial.other.adopt({SuspectRequest{RequestFingerprint{}, {1, 2, 3}, Duration{0}}},
                          trial.now);
        CHECK_FALSE(trial.other.isQuarantined(RequestFingerprint{}, trial.now));
    }
}

// Guards against messages about requests that were only running when another one crashed their
// upstream: thousands of them in a wave of crashes.
SCENARIO("RequestQuarantine: given requests that are answered within a second of a crash, none is "
         "told",
         "[dispatch][crash][quarantine]")
{
    NoticeTrial trial;
    for (std::uint64_t number = 1; number <= 1000; ++number) {
        trial.crash(RequestFingerprint{number});
    }
    trial.now += milliseconds{500};
    for (std::uint64_t number = 1; number <= 1000; ++number) {
        trial.grantor.onAnswered(RequestFingerprint{number});
    }
    trial.tell(seconds{5});
    CHECK(trial.toldCount == 0);
    CHECK(trial.other.suspectCount() == 0);
}

// Guards against a number of suspects that makes messages or memory grow without bound.
SCENARIO("RequestQuarantine: given 10,000 suspects, notices are bounded and tell of all in turn",
         "[dispatch][crash][quarantine]")
{
    NoticeTrial trial;
    for (std::uint64_t number = 1; number <= 12'000; ++number) {
        trial.crash(RequestFingerprint{number});
    }
    CHECK(trial.grantor.suspectCount() == 10'000);
    const RequestFingerprint culprit{12'000};
    trial.crash(culprit);
    trial.crash(culprit);
    trial.tell(seconds{1});
    THEN("a request with three crashes is told first")
    {
        CHECK(trial.other.isQuarantined(culprit, trial.now));
    }
    THEN("all are told in time")
    {
        // Each change is told three times, 24 a second, and each that is still known in turn.
        trial.tell(std::chrono::minutes{30});
        CHECK(trial.other.suspectCount() == 10'000);
    }
}

// Guards against a new grantor that is told of minor suspects in place of quarantined requests.
SCENARIO("RequestQuarantine: given more suspects than are asked for, those with most crashes and "
         "then the latest ones are named",
         "[dispatch][crash][quarantine]")
{
    NoticeTrial trial;
    const RequestFingerprint culprit{1};
    trial.crash(culprit);
    trial.crash(culprit);
    trial.crash(RequestFingerprint{2});
    trial.now += seconds{5};
    trial.crash(RequestFingerprint{3});
    const auto worst = trial.grantor.worstSuspects(2, trial.now);
    REQUIRE(worst.size() == 2);
    CHECK(worst.front().fingerprint == culprit);
    CHECK(worst.front().crashes.size() == 2);
    CHECK(worst.back().fingerprint == RequestFingerprint{3});
    CHECK(trial.grantor.worstSuspects(2, trial.now + std::chrono::minutes{11}).empty());
}

// Guards against a grantor that keeps to itself what it was handed over, and against messages
// without end about what is known.
SCENARIO("RequestQuarantine: given crashes that another daemon tells, only new ones are told on",
         "[dispatch][crash][quarantine]")
{
    NoticeTrial trial;
    const std::vector suspects{SuspectRequest{RequestFingerprint{5}, {1, 2, 3}, seconds{1}}};
    trial.grantor.adopt(suspects, trial.now, true);
    CHECK(trial.grantor.hasNotices(trial.now));
    trial.tell(seconds{3});
    CHECK(trial.other.isQuarantined(RequestFingerprint{5}, trial.now));
    trial.grantor.adopt(suspects, trial.now, true);
    CHECK_FALSE(trial.grantor.hasNotices(trial.now));
    trial.other.adopt({SuspectRequest{RequestFingerprint{6}, {1}, Duration{0}}}, trial.now);
    CHECK_FALSE(trial.other.hasNotices(trial.now));
}

// Guards against a request that is quarantined for crashes long ago.
SCENARIO("RequestQuarantine: given two crashes and a third one after the time for which suspects "
         "are kept, it counts alone",
         "[dispatch][crash][quarantine]")
{
    NoticeTrial trial;
    const RequestFingerprint culprit{1};
    trial.crash(culprit);
    trial.crash(culprit);
    trial.now += std::chrono::minutes{11};
    trial.crash(culprit);
    CHECK_FALSE(trial.grantor.isQuarantined(culprit, trial.now));
    trial.crash(culprit);
    trial.crash(culprit);
    CHECK(trial.grantor.isQuarantined(culprit, trial.now));
}
