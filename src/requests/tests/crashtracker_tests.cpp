#include "requests/crashtracker.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

const QuarantinedRequest poison{{"p"}, {"fitment"}, {"lid 7"}};
const QuarantinedRequest companion{{"c"}, {"fitment"}, {"lid 8"}};

auto tableWith(std::uint64_t version, std::vector<QuarantinedRequest> quarantine) -> TablePointer
{
    CellRecord record;
    record.version = {version};
    record.quarantine = std::move(quarantine);
    return std::make_shared<const Table>(std::move(record));
}

} // namespace

SCENARIO("CrashTracker distinguishes a poison request from those beside it", "[crashtracker]")
{
    GIVEN("a crash at which two requests were running")
    {
        CrashTracker tracker(std::chrono::minutes{10});
        tracker.setThreshold({"fitment"}, 2);
        tracker.onCrash(Instant{}, {{"u1"}, {1}, {poison, companion}});
        THEN("both are suspects, and a repeated report of the crash counts once")
        {
            tracker.onCrash(Instant{}, {{"u1"}, {1}, {poison, companion}});
            CHECK(tracker.suspicionOf(poison) == Suspicion::Suspect);
            CHECK(tracker.suspicionOf(companion) == Suspicion::Suspect);
            CHECK(tracker.suspicionOf({{"x"}, {"fitment"}, {"lid 7"}}) == Suspicion::None);
        }
        WHEN("the companion completes a run and the poison request crashes a second upstream")
        {
            CHECK(tracker.onCompleted(companion));
            CHECK_FALSE(tracker.onCompleted(companion));
            tracker.onCrash(Instant{}, {{"u2"}, {1}, {poison}});
            THEN("only the poison request is quarantined")
            {
                CHECK(tracker.suspicionOf(companion) == Suspicion::None);
                CHECK(tracker.suspicionOf(poison) == Suspicion::Quarantined);
            }
        }
        WHEN("the same upstream crashes again in its next incarnation")
        {
            tracker.onCrash(Instant{}, {{"u1"}, {2}, {poison}});
            THEN("it counts as a second crash")
            {
                CHECK(tracker.suspicionOf(poison) == Suspicion::Quarantined);
            }
        }
        WHEN("the record quarantines the request and an operator lifts the quarantine later")
        {
            tracker.onTable(tableWith(1, {poison}));
            CHECK(tracker.suspicionOf(poison) == Suspicion::Quarantined);
            tracker.onTable(tableWith(2, {}));
            THEN("the request may run again")
            {
                CHECK(tracker.suspicionOf(poison) == Suspicion::None);
            }
        }
        WHEN("the retention of suspects has passed")
        {
            tracker.expire(Instant{std::chrono::minutes{10}});
            THEN("the suspect is forgotten")
            {
                CHECK(tracker.suspicionOf(poison) == Suspicion::None);
            }
        }
    }
}
