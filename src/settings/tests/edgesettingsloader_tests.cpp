#include "settings/edgesettingsloader.h"

#include "settings/tests/edgesettingstext.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

SCENARIO(
    "EdgeSettingsLoader: given valid settings, then it reads them; given invalid ones, then it "
    "rejects them",
    "[settings]")
{
    EdgeSettingsLoader loader;
    GIVEN("a valid file")
    {
        const auto settings = loader.load(validEdgeSettings(), "edge.ini");
        REQUIRE(settings.has_value());
        CHECK(settings->retryRatio == Approx(0.25));
        CHECK(settings->retryWindow == Duration{std::chrono::milliseconds{2500}});
        CHECK(settings->shutdownTimeout == Duration{std::chrono::seconds{6}});
        CHECK(settings->processorCores == Approx(0.14));
        CHECK(settings->logSampleOneIn == 50);
        CHECK(settings->drainTime == Duration{std::chrono::seconds{2}});
    }
    GIVEN("a file with the memory of the VM, and one without")
    {
        const auto settings =
            loader.load(validEdgeSettings("[store]\n", "memory_mb = 112\n[store]\n"), "edge.ini");
        REQUIRE(settings.has_value());
        CHECK(settings->memoryBytes == 112'000'000);
        CHECK(loader.load(validEdgeSettings(), "edge.ini")->memoryBytes == 0);
    }
    GIVEN("a file with another drain time")
    {
        const auto settings = loader.load(
            validEdgeSettings("[store]\n", "[upstreams]\ndrain_time_s = 2.5\n[store]\n"),
            "edge.ini");
        REQUIRE(settings.has_value());
        CHECK(settings->drainTime == Duration{std::chrono::milliseconds{2500}});
        CHECK(settings->loadWeight == Approx(0.1));
    }
    GIVEN("files with one error each")
    {
        for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
                 {"127.0.0.1:8001", "8001"},
                 {"ratio = 0.25", "ratio = a quarter"},
                 {"ratio = 0.25", "ratio = -1"},
                 {"ratio = 0.25", "ratio = 0.2512"},
                 {"window_s = 2.5", "window = 2.5"},
                 {"id = d1\n", ""},
                 {"[store]\n", "[upstreams]\ndrain_time_s = 0.1\n[store]\n"},
                 {"[store]\n", "[log]\nlevel = loud\n[store]\n"}}) {
            THEN("they are rejected as a whole, with a remedy: " + to)
            {
                CHECK_FALSE(loader.load(validEdgeSettings(from, to), "edge.ini").has_value());
                CHECK_FALSE(loader.lastError().remedy.empty());
            }
        }
    }
}
