#include "common/types/reason.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <string>

using namespace gooseberrywall;

namespace {

constexpr auto chapterHeading = "## Refusal reasons";

/// @returns the reasons in the first column of the table in the page's chapter on reasons
auto explainedReasons(std::istream &page) -> std::multiset<std::string>
{
    std::multiset<std::string> names;
    const std::string rowStart = "| `";
    auto isInChapter = false;
    for (std::string line; std::getline(page, line);) {
        if (line.substr(0, 3) == "## ") {
            isInChapter = line == chapterHeading;
        }
        if (isInChapter && line.substr(0, rowStart.size()) == rowStart) {
            const auto end = line.find('`', rowStart.size());
            names.insert(line.substr(rowStart.size(), end - rowStart.size()));
        }
    }
    return names;
}

auto allReasons() -> std::multiset<std::string>
{
    std::multiset<std::string> names;
    for (int number = 0; number < reasonCount; ++number) {
        names.emplace(toString(static_cast<Reason>(number)));
    }
    names.erase(std::string(toString(Reason::None)));
    return names;
}

} // namespace

SCENARIO("Reason: docs/OPERATIONS.md explains each reason exactly once", "[reason]")
{
    GIVEN("docs/OPERATIONS.md")
    {
        auto page = std::ifstream(std::string(GW_DOCS) + "/OPERATIONS.md");
        REQUIRE(page.is_open());
        WHEN("the table in its chapter on reasons is read")
        {
            const auto explained = explainedReasons(page);
            THEN("they name every reason except \"none\" exactly once, and nothing else")
            {
                CHECK(explained == allReasons());
            }
        }
    }
}

SCENARIO("Reason: each has a unique name and a remedy", "[reason]")
{
    GIVEN("all reasons")
    {
        for (int number = 0; number < reasonCount; ++number) {
            const auto reason = static_cast<Reason>(number);
            INFO(toString(reason));
            CHECK(reasonFromString(toString(reason)) == reason);
            CHECK_FALSE(remedy(reason).empty());
        }
    }
}
