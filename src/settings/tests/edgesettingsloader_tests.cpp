#include "settings/edgesettingsloader.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

const std::string sound = "[daemon]\n"
                          "id = d1\n"
                          "failure_domain = north-1\n"
                          "caller_listen = 127.0.0.1:8001\n"
                          "ready_listen = 127.0.0.1:8002\n"
                          "peer_listen = 127.0.0.1:8003\n"
                          "metrics_listen = 127.0.0.1:8004\n"
                          "processor_share = 0.14\n"
                          "shutdown_timeout_s = 6\n"
                          "[store]\n"
                          "address = 127.0.0.1:7000\n"
                          "[retries]\n"
                          "ratio = 0.25\n"
                          "window_s = 2.5\n";

auto replaced(const std::string &from, const std::string &to) -> std::string
{
    auto text = sound;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

SCENARIO("EdgeSettingsLoader reads settings", "[settings]")
{
    EdgeSettingsLoader loader;
    GIVEN("a sound file")
    {
        const auto settings = loader.load(sound, "edge.ini");
        REQUIRE(settings.has_value());
        CHECK(settings->retryRatio == Approx(0.25));
        CHECK(settings->retryWindow == Duration{std::chrono::milliseconds{2500}});
        CHECK(settings->shutdownTimeout == Duration{std::chrono::seconds{6}});
        CHECK(settings->processorCores == Approx(0.14));
        CHECK(settings->logSampleOneIn == 50);
    }
    GIVEN("files with one fault")
    {
        for (const auto &[from, to] :
             std::vector<std::pair<std::string, std::string>>{{"127.0.0.1:8001", "8001"},
                                                              {"ratio = 0.25", "ratio = a quarter"},
                                                              {"ratio = 0.25", "ratio = -1"},
                                                              {"ratio = 0.25", "ratio = 0.2512"},
                                                              {"window_s = 2.5", "window = 2.5"},
                                                              {"id = d1\n", ""}}) {
            THEN("they are refused whole, with a remedy: " + to)
            {
                CHECK_FALSE(loader.load(replaced(from, to), "edge.ini").has_value());
                CHECK_FALSE(loader.lastError().remedy.empty());
            }
        }
    }
}
