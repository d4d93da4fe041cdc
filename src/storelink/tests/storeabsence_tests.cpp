#include "storelink/storeabsence.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start{seconds{100}};

struct AbsenceTrial
{
    StoreAbsence absence{milliseconds{1500}};

    auto end(StoreAnswer::Kind kind, Duration sentAfter, Duration endedAfter) -> void
    {
        StoreAnswer answer;
        answer.kind = kind;
        this->absence.onAnswer(answer, start + sentAfter, start + endedAfter);
    }
};

} // namespace

// Guards against upstreams that are used after they have left, because a short failure or one of a
// single daemon is taken for an outage in which entries expire.
SCENARIO("StoreAbsence: only absences count in which entries may have expired", "[storelink]")
{
    using Kind = StoreAnswer::Kind;
    AbsenceTrial trial;
    trial.end(Kind::Ok, Duration{0}, milliseconds{5});
    GIVEN("a failure that lasts for long enough")
    {
        trial.end(Kind::Refused, milliseconds{400}, milliseconds{410});
        trial.end(Kind::Unknown, milliseconds{600}, milliseconds{1400});
        trial.end(Kind::Ok, milliseconds{1600}, milliseconds{1610});
        CHECK(trial.absence.failedAt() == start + milliseconds{1400});
        CHECK(trial.absence.backAt() == start + milliseconds{1610});
    }
    GIVEN("a shorter one")
    {
        trial.end(Kind::Refused, milliseconds{400}, milliseconds{410});
        trial.end(Kind::Ok, milliseconds{1400}, milliseconds{1410});
        CHECK(trial.absence.failedAt() == Instant{});
    }
    GIVEN("a lost answer beside calls that are answered")
    {
        for (auto passed = milliseconds{400}; passed <= seconds{4}; passed += milliseconds{400}) {
            trial.end(Kind::Ok, passed, passed + milliseconds{5});
        }
        trial.end(Kind::Unknown, milliseconds{100}, milliseconds{4100});
        trial.end(Kind::Ok, milliseconds{4400}, milliseconds{4405});
        CHECK(trial.absence.failedAt() == Instant{});
    }
    GIVEN("a failure during which the store answers another daemon")
    {
        trial.end(Kind::Refused, milliseconds{400}, milliseconds{410});
        trial.absence.onReachedByOther(start + milliseconds{900});
        trial.end(Kind::Refused, milliseconds{1000}, milliseconds{1010});
        trial.absence.onReachedByOther(start + milliseconds{1700});
        trial.end(Kind::Ok, milliseconds{2000}, milliseconds{2010});
        CHECK(trial.absence.failedAt() == Instant{});
    }
    GIVEN("a pause of this daemon without a failed call")
    {
        trial.end(Kind::Ok, seconds{9}, seconds{9});
        CHECK(trial.absence.failedAt() == Instant{});
    }
    GIVEN("news of another daemon's contact that arrive late")
    {
        trial.end(Kind::Refused, milliseconds{400}, milliseconds{410});
        trial.absence.onReachedByOther(start - seconds{5});
        trial.end(Kind::Ok, milliseconds{1600}, milliseconds{1610});
        CHECK(trial.absence.failedAt() == start + milliseconds{410});
    }
}
