#include "ctl/logexplanation.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

auto row(const std::string &second, const std::string &source, const std::string &rest) -> LogRow
{
    const auto time = "2026-03-29T20:03:" + second + "Z";
    return LogRow{time, source, "time=" + time + " level=info " + rest};
}

} // namespace

SCENARIO("LogExplanation: a request's lines and their context are found in order of time", "[ctl]")
{
    const std::vector<LogRow> rows{
        row("10.300", "grantor", "event=permit_refused request=r-1 service=s reason=queue_full"),
        row("10.100", "entry", "event=request_admitted request=r-1 service=s"),
        row("10.200", "entry", "event=request_admitted request=r-2 service=s"),
        row("09.000", "other", "event=grantor_elected service=s term=7"),
        row("09.500", "other", "event=grantor_elected service=t term=8"),
        row("08.000", "entry", "event=configuration_adopted version=3"),
        row("10.400", "entry", "event=request_refused request=r-1 status=503"),
        row("11.000", "entry", "event=configuration_adopted version=4"),
    };
    const auto found = explainRequest("r-1", rows);
    REQUIRE(found.size() == 5);
    CHECK(found[0].text.find("version=3") != std::string::npos);
    CHECK(found[1].text.find("grantor_elected") != std::string::npos);
    CHECK(found[2].text.find("request_admitted") != std::string::npos);
    CHECK(found[3].source == "grantor");
    CHECK(found[4].text.find("request_refused") != std::string::npos);
    CHECK(explainRequest("r-9", rows).empty());
}
