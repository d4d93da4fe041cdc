#include "loadtool/loadtally.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

auto request(Duration at, const char *key) -> PlannedRequest
{
    return {at, {"r" + std::to_string(at.count())}, {"c"}, {key}, "lookup", true};
}

} // namespace

SCENARIO("LoadTally counts ends and latencies", "[loadtally]")
{
    LoadTally tally;
    CHECK(tally.latencies() == LatencySummary{});
    for (int number = 1; number <= 1000; ++number) {
        const Duration at = number * 1s;
        tally.add(request(at, "k"), at + number * 1ms, {CallEndKind::Answer, ""});
    }
    CHECK(tally.latencies() == LatencySummary{500ms, 900ms, 990ms, 999ms, 1000ms});
    tally.add(request(1ms, "k"), 2ms, {CallEndKind::Refused, "queue_full"});
    tally.add(request(2ms, "k"), 2ms, {CallEndKind::NoAnswer, ""});
    CHECK(tally.total() == 1002);
    CHECK(tally.count(CallEndKind::Refused) == 1);
    CHECK(tally.reasons()
          == std::map<std::string, std::uint64_t>{{"refused/queue_full", 1}, {"no_answer", 1}});
    CHECK(tally.ends().at({"r1000"}) == CallEndKind::Refused);
}

SCENARIO("LoadTally finds the longest unavailability of a key", "[loadtally]")
{
    LoadTally tally;
    const CallEnd answer{CallEndKind::Answer, ""};
    const CallEnd refused{CallEndKind::Refused, "no_owner"};
    CHECK_FALSE(tally.longestUnavailability(1s).has_value());
    tally.add(request(1s, "a"), 1010ms, refused);
    tally.add(request(2s, "a"), 2010ms, refused);
    tally.add(request(1500ms, "b"), 1510ms, answer);
    tally.add(request(3s, "a"), 3200ms, answer);
    CHECK(tally.longestUnavailability(3200ms) == Unavailability{{"a"}, 1s, 1010ms, 2200ms});
    GIVEN("a key that is not served at the end")
    {
        tally.add(request(4s, "b"), 4010ms, refused);
        CHECK(tally.longestUnavailability(6s) == Unavailability{{"a"}, 1s, 1010ms, 2200ms});
        tally.add(request(5500ms, "b"), 5510ms, refused);
        CHECK(tally.longestUnavailability(6s) == Unavailability{{"b"}, 4s, 1510ms, 2s});
    }
    GIVEN("a failure that becomes known only after the key is served again")
    {
        tally.add(request(5s, "b"), 5010ms, answer);
        tally.add(request(2s, "b"), 5020ms, {CallEndKind::Unknown, "upstream_frozen"});
        tally.add(request(6s, "b"), 6010ms, answer);
        CHECK(tally.longestUnavailability(7s) == Unavailability{{"a"}, 1s, 1010ms, 2200ms});
    }
    GIVEN("requests that are answered after a long wait")
    {
        tally.add(request(4s, "b"), 6s, answer);
        CHECK(tally.longestUnavailability(7s) == Unavailability{{"b"}, 4s, 2s, 2s});
        tally.add(request(4100ms, "b"), 6500ms, answer);
        CHECK(tally.longestUnavailability(7s) == Unavailability{{"b"}, 4s, 2s, 2s});
    }
    GIVEN("a request that waits while another fails")
    {
        tally.add(request(4s, "b"), 5s, refused);
        tally.add(request(4500ms, "b"), 6s, answer);
        CHECK(tally.longestUnavailability(7s) == Unavailability{{"b"}, 4s, 2s, 2s});
    }
}
