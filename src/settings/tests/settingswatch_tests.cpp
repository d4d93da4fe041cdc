#include "settings/settingswatch.h"

#include "settings/tests/edgesettingstext.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using Kind = SettingsCheck::Kind;

SCENARIO("SettingsWatch: given a valid file, when it changes, then the change is reported once",
         "[settingswatch]")
{
    std::optional<std::string> file = validEdgeSettings();
    SettingsWatch watch("edge.ini", [&file] { return file; });
    GIVEN("a valid file")
    {
        const auto first = watch.check();
        REQUIRE(first.kind == Kind::Changed);
        CHECK(first.settings->retryRatio == Approx(0.25));
        THEN("nothing is reported while it stays the same")
        {
            CHECK(watch.check().kind == Kind::Unchanged);
        }
        WHEN("a value changes")
        {
            file = validEdgeSettings("ratio = 0.25", "ratio = 0.5");
            THEN("the new settings are reported once")
            {
                const auto next = watch.check();
                REQUIRE(next.kind == Kind::Changed);
                CHECK(next.settings->retryRatio == Approx(0.5));
                CHECK(watch.check().kind == Kind::Unchanged);
            }
        }
        WHEN("a value becomes invalid")
        {
            file = validEdgeSettings("ratio = 0.25", "ratio = much");
            THEN("the settings are refused once, with a reason")
            {
                const auto next = watch.check();
                CHECK(next.kind == Kind::Refused);
                CHECK(next.problem.find("ratio") != std::string::npos);
                CHECK(watch.check().kind == Kind::Unchanged);
            }
        }
        WHEN("the file is missing for a while")
        {
            file.reset();
            THEN("that is reported, and its return as well")
            {
                CHECK(watch.check().kind == Kind::Refused);
                CHECK(watch.check().kind == Kind::Unchanged);
                file = validEdgeSettings();
                CHECK(watch.check().kind == Kind::Changed);
            }
        }
    }
}
