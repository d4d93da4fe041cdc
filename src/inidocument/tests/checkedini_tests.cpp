#include "inidocument/checkedini.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

auto descriptions() -> std::vector<SectionDescription>
{
    return {
        {"daemon",
         SectionCount::One,
         "",
         {{"id", ValueKind::Text, "", 1, 20, std::nullopt, "", ""},
          {"beat_ms", ValueKind::Milliseconds, "ms", 10, 1000, "200", "", ""},
          {"peers", ValueKind::List, "", 0, 3, "", "", ""}}},
        {"service",
         SectionCount::Named,
         "",
         {{"slots", ValueKind::Integer, "", 1, 9, "3", "", ""},
          {"fenced", ValueKind::Boolean, "", 0, 1, "yes", "", ""}}},
        {"log", SectionCount::Optional, "", {{"level", ValueKind::Text, "", 1, 9, "info", "", ""}}},
    };
}

struct InvalidDocument
{
    std::string text;
    IniErrorKind kind;
    int line;
    std::string key;
};

} // namespace

SCENARIO("CheckedIni: given a valid document, when it is parsed, then it has values and defaults",
         "[checkedini]")
{
    GIVEN("a document with comments, a list over two lines and a named section")
    {
        const auto text = std::string("# start\n[daemon] ; here\nid = d1 ; first\npeers = a,\n  b\n"
                                      "\n[service fitment]\nfenced = no\r\n");
        WHEN("it is parsed")
        {
            auto ini = CheckedIni();
            const auto values = ini.parse(text, "x.ini", descriptions());
            THEN("it has the values of the document and the defaults")
            {
                REQUIRE(values);
                CHECK(values->find("daemon")->text("id") == "d1");
                CHECK(values->find("daemon")->duration("beat_ms")
                      == std::chrono::milliseconds(200));
                CHECK(values->find("daemon")->list("peers") == std::vector<std::string>{"a", "b"});
                CHECK(values->find("service", "fitment")->integer("slots") == 3);
                CHECK_FALSE(values->find("service", "fitment")->boolean("fenced"));
                CHECK(values->find("service", "fitment")->lineOf("fenced") == 8);
                CHECK(values->find("log")->text("level") == "info");
                CHECK(values->find("service", "other") == nullptr);
            }
        }
    }
}

SCENARIO("CheckedIni: given an invalid document, then it is rejected with the place of the error",
         "[checkedini]")
{
    const auto validDaemon = std::string("[daemon]\nid = d1\n");
    const auto invalidDocuments = std::vector<InvalidDocument>{
        {"id = d1\n", IniErrorKind::Syntax, 1, ""},
        {"[daemon]\nid = d1\nnonsense\n", IniErrorKind::Syntax, 3, ""},
        {"[daemon\nid = d1\n", IniErrorKind::Syntax, 1, ""},
        {" [daemon]\nid = d1\n", IniErrorKind::Syntax, 1, ""},
        {"[daemon]\nid = " + std::string(200, 'x') + "\n", IniErrorKind::Syntax, 2, ""},
        {"[daemon]\nid = a\x01\n", IniErrorKind::Syntax, 2, ""},
        {"[daemon]\nid = d1\n  beat_ms = 20\n", IniErrorKind::Syntax, 2, "id"},
        {validDaemon + "[daemons]\n", IniErrorKind::UnknownSection, 3, ""},
        {validDaemon + "[service]\n", IniErrorKind::UnknownSection, 3, ""},
        {validDaemon + "[log x]\n", IniErrorKind::UnknownSection, 3, ""},
        {"[service x]\n", IniErrorKind::MissingSection, 0, ""},
        {validDaemon + "[service x]\n[service x]\n", IniErrorKind::DuplicateSection, 4, ""},
        {validDaemon + "beat = 3\n", IniErrorKind::UnknownKey, 3, "beat"},
        {"[daemon]\nbeat_ms = 30\n", IniErrorKind::MissingKey, 1, "id"},
        {validDaemon + "id = d2\n", IniErrorKind::DuplicateKey, 2, "id"},
        {validDaemon + "beat_ms = 30ms\n", IniErrorKind::BadValue, 3, "beat_ms"},
        {validDaemon + "beat_ms = \n", IniErrorKind::BadValue, 3, "beat_ms"},
        {validDaemon + "beat_ms = 9\n", IniErrorKind::OutOfRange, 3, "beat_ms"},
        {validDaemon + "beat_ms = 1001\n", IniErrorKind::OutOfRange, 3, "beat_ms"},
        {validDaemon + "beat_ms = 99999999999999999999\n", IniErrorKind::OutOfRange, 3, "beat_ms"},
        {validDaemon + "peers = a, b, c, d\n", IniErrorKind::OutOfRange, 3, "peers"},
        {validDaemon + "peers = a, a\n", IniErrorKind::BadValue, 3, "peers"},
        {validDaemon + "[service x]\nfenced = maybe\n", IniErrorKind::BadValue, 4, "fenced"},
    };
    for (const auto &invalid : invalidDocuments) {
        GIVEN("the document " + invalid.text)
        {
            auto ini = CheckedIni();
            CHECK_FALSE(ini.parse(invalid.text, "x.ini", descriptions()));
            CHECK(toString(ini.lastError().kind) == toString(invalid.kind));
            CHECK(ini.lastError().line == invalid.line);
            CHECK(ini.lastError().key == invalid.key);
            CHECK(ini.lastError().file == "x.ini");
            CHECK_FALSE(ini.lastError().remedy.empty());
        }
    }
}
