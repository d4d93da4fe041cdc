#include "ctl/sectionfile.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

SCENARIO("SectionFile: files keep the versions that an operator read", "[sectionfile]")
{
    GIVEN("a file with two printed sections and a new one")
    {
        const auto text = writeSection(7, "# our ring\n[service a]\nslots = 3\n") + "\n"
                          + writeSection(12, "[service b]\n") + "\n[service c]\nslots = 1";
        WHEN("the file is read")
        {
            const auto sections = readSectionFile(text);
            THEN("texts and versions are as printed, and the new section has no version")
            {
                REQUIRE(sections);
                REQUIRE(sections->size() == 3);
                CHECK((*sections)[0]
                      == FileSection{{"service a"}, 7, "# our ring\n[service a]\nslots = 3\n"});
                CHECK((*sections)[1] == FileSection{{"service b"}, 12, "[service b]\n"});
                CHECK((*sections)[2] == FileSection{{"service c"}, 0, "[service c]\nslots = 1"});
            }
        }
    }
    GIVEN("files with text above the first heading")
    {
        CHECK(readSectionFile("# only a comment\n")->empty());
        CHECK(readSectionFile("\n\n[service a]\n")->size() == 1);
        CHECK_FALSE(readSectionFile("slots = 3\n[service a]\n"));
    }
}

SCENARIO("SectionFile: keys are replaced, removed or added in place", "[sectionfile]")
{
    const auto text = std::string("[team a]\n# now\ntokens = x,\n  y\ncontact = desk ; new\n");
    CHECK(withKey(text, "contact", "home")
          == "[team a]\n# now\ntokens = x,\n  y\ncontact = home\n");
    CHECK(withKey(text, "tokens", "z") == "[team a]\n# now\ntokens = z\ncontact = desk ; new\n");
    CHECK(withKey(text, "tokens", "") == "[team a]\n# now\ncontact = desk ; new\n");
    CHECK(withKey(text, "administrator", "yes") == text + "administrator = yes\n");
    CHECK(withKey("[a]", "k", "v") == "[a]\nk = v\n");
    CHECK(withKey("[a]\nkk = 1\n", "k", "") == "[a]\nkk = 1\n");
}
