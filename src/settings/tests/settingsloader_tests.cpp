#include "settings/settingsloader.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

const std::string validSettings = "[daemon]\n"
                                  "id = d1\n"
                                  "failure_domain = north-1\n"
                                  "caller_listen = 127.0.0.1:8001\n"
                                  "admin_listen = 127.0.0.1:8002\n"
                                  "peer_listen = 127.0.0.1:8003\n"
                                  "[peers]\n"
                                  "seeds = d2@127.0.0.1:9003\n"
                                  "secret = long-enough\n"
                                  "[platform]\n"
                                  "address = 127.0.0.1:7000\n";

auto settingsWith(const std::string &from, const std::string &to) -> std::string
{
    auto text = validSettings;
    text.replace(text.find(from), from.size(), to);
    return text;
}

struct InvalidSettings
{
    std::string text;
    int line;
    std::string key;
};

} // namespace

SCENARIO("SettingsLoader reads settings and overrides", "[settings]")
{
    GIVEN("a sound file")
    {
        SettingsLoader loader;
        WHEN("it is loaded with an override of a present and of a missing key")
        {
            const auto settings = loader.load(validSettings, "d1.ini",
                                              {{"daemon", "id", "d9"}, {"log", "level", "debug"}});
            THEN("the command line goes before the file")
            {
                REQUIRE(settings);
                CHECK(settings->id == DaemonId{"d9"});
                CHECK(settings->logLevel == "debug");
                CHECK(settings->seeds == std::vector<SeedPeer>{{{"d2"}, {"127.0.0.1:9003"}}});
            }
        }
        WHEN("the command line names a setting that doesn't exist")
        {
            const auto settings =
                loader.load(validSettings, "d1.ini", {{"daemon", "colour", "red"}});
            THEN("it is refused")
            {
                CHECK_FALSE(settings);
                CHECK(loader.lastError().key == "colour");
            }
        }
    }
}

SCENARIO("SettingsLoader refuses faults with their line, key and remedy", "[settings]")
{
    const std::vector<InvalidSettings> invalidSettings{
        {settingsWith("id = d1\n", ""), 1, "id"},
        {settingsWith("127.0.0.1:8002", "127.0.0.1"), 5, "admin_listen"},
        {settingsWith("127.0.0.1:8002", "127.0.0.1:99999"), 5, "admin_listen"},
        {settingsWith("d2@", "d2 "), 8, "seeds"},
        {settingsWith("secret", "sceret"), 9, "sceret"},
        {validSettings + "[log]\nlevel = loud\n", 13, "level"},
        {validSettings + "[admin]\ntls_key_file = key.pem\n", 12, "tls_key_file"},
        {validSettings + "[limits]\nconnections = 0\n", 13, "connections"},
    };
    for (const auto &invalid : invalidSettings) {
        GIVEN("settings with a fault of " + invalid.key + " in line "
              + std::to_string(invalid.line))
        {
            SettingsLoader loader;
            const auto settings = loader.load(invalid.text, "d1.ini", {});
            THEN("they are refused and the error says where and what to do")
            {
                CHECK_FALSE(settings);
                CHECK(loader.lastError().file == "d1.ini");
                CHECK(loader.lastError().line == invalid.line);
                CHECK(loader.lastError().key == invalid.key);
                CHECK_FALSE(loader.lastError().remedy.empty());
            }
        }
    }
}
