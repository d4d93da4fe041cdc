#include "routing/routetable.h"

#include <catch2/catch.hpp>
#include <map>

using namespace gooseberrywall;

namespace {

auto route(const std::string &name, const std::string &host, const std::string &prefix) -> Route
{
    Route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.services = {WeightedService{ServiceName{"s-" + name}, 1}};
    return result;
}

} // namespace

SCENARIO("RouteTable: given routes with several hosts and prefixes, the longest prefix matches",
         "[routing]")
{
    RouteConfiguration configuration;
    configuration.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                            route("other", "b.example", "/")};
    const RouteTable table(configuration);
    THEN("the route of the host with the longest prefix of the path is found, whatever the query")
    {
        CHECK(table.match("a.example", "/x/y/z?q=/")->name == "long");
        CHECK(table.match("A.EXAMPLE:80", "/x/yy")->name == "short");
        CHECK(table.match("b.example", "/anything")->name == "other");
    }
    THEN("other hosts and paths match no route, and a prefix isn't looked for in the query")
    {
        CHECK(table.match("c.example", "/x/") == nullptr);
        CHECK(table.match("a.example", "/x") == nullptr);
        CHECK(table.match("a.example", "/w?/x/") == nullptr);
    }
}

SCENARIO("RouteTable: given weighted services, requests are divided by weight", "[routing]")
{
    auto split = route("split", "a", "/");
    split.services = {WeightedService{ServiceName{"big"}, 90},
                      WeightedService{ServiceName{"small"}, 10}};
    EvenSpread spread(0.3);
    std::map<std::string, int> counts;
    for (auto number = 0; number < 300; ++number) {
        ++counts[RouteTable::serviceAt(split, spread.next()).value];
    }
    THEN("the share of a service in 300 requests is within 2 percentage points of its weight")
    {
        CHECK(counts["small"] >= 24);
        CHECK(counts["small"] <= 36);
    }
}
