#include "ctl/keyspage.h"

#include "configuration/documentschema.h"

#include "inidocument/checkedini.h"
#include "settings/settingsloader.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace gooseberrywall;

SCENARIO("KeysPage: docs/CONFIGURATION.md is up to date and describes all keys", "[keyspage]")
{
    GIVEN("docs/CONFIGURATION.md")
    {
        const auto file = std::ifstream(std::string(GW_DOCS) + "/CONFIGURATION.md");
        auto text = std::stringstream();
        text << file.rdbuf();
        THEN("it equals the generated page; if not, run 'gooseberrywallctl config keys'")
        {
            CHECK(text.str() == keysPage());
        }
    }
    GIVEN("all keys")
    {
        auto sections = documentSchema();
        for (auto &section : daemonSettingsDescription()) {
            sections.push_back(std::move(section));
        }
        for (const auto &section : sections) {
            for (const auto &key : section.keys) {
                INFO(section.kind << " " << key.name);
                CHECK_FALSE(key.text.empty());
                CHECK_FALSE(key.takesEffect.empty());
                CHECK(key.minimum < key.maximum);
                const auto isNamedInMs =
                    key.name.size() > 3 && key.name.substr(key.name.size() - 3) == "_ms";
                CHECK(isNamedInMs == (key.kind == ValueKind::Milliseconds));
                if (key.defaultValue) {
                    CHECK(std::holds_alternative<IniValue>(checkValue(key, *key.defaultValue)));
                }
            }
        }
    }
}
