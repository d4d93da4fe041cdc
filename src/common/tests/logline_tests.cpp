#include "common/logline.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

SCENARIO("LogLine: given a value from outside, when it is logged, then it is escaped", "[logline]")
{
    GIVEN("a value that contains a newline and a key=value pair")
    {
        const auto *const value = "x\nevent=forged who=\"root\"";
        WHEN("it is logged")
        {
            const auto line = LogLine("request_refused").with("key", value).with("count", 3).text();
            THEN("the text is still one line, with the pair inside the quotes")
            {
                CHECK(
                    line
                    == "event=request_refused key=\"x\\x0aevent=forged who=\\\"root\\\"\" count=3");
            }
        }
    }
}

SCENARIO("LogLine: given a decimal number, when it is logged, then it has one decimal", "[logline]")
{
    CHECK(LogLine("upstream_health").withDecimal("limit_per_s", 6.25).text()
          == "event=upstream_health limit_per_s=6.2");
}
