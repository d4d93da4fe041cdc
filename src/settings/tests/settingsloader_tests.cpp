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

SCENARIO("SettingsLoader: given a valid file, when it is loaded, then overrides replace its values",
         "[settings]")
{
    GIVEN("a valid file")
    {
        SettingsLoader loader;
        WHEN("it is loaded with overrides of a key of the file and of a missing key")
        {
            const auto settings = loader.load(validSettings, "d1.ini",
                                              {{"daemon", "id", "d9"}, {"log", "level", "debug"}});
            THEN("the values of the command line apply")
            {
                REQUIRE(settings);
                CHECK(settings->id == DaemonId{"d9"});
                CHECK(settings->logLevel == "debug");
                CHECK(settings->seeds == std::vector<SeedPeer>{{{"d2"}, {"127.0.0.1:9003"}}});
            }
        }
        WHEN("the command line sets an unknown key")
        {
            const auto settings =
                loader.load(validSettings, "d1.ini", {{"daemon", "colour", "red"}});
            THEN("the settings are rejected")
            {
                CHECK_FALSE(settings);
                CHECK(loader.lastError().key == "colour");
            }
        }
    }
}

SCENARIO("SettingsLoader: given invalid settings, then it rejects them with line, key and remedy",
         "[settings]")
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
        GIVEN("settings with an invalid " + invalid.key + " in line "
              + std::to_string(invalid.line))
        {
            SettingsLoader loader;
            const auto settings = loader.load(invalid.text, "d1.ini", {});
            THEN("they are rejected, and the error has place and remedy")
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
