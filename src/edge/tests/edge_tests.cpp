#include "edge/metricstext.h"
#include "edge/upstreamdirectory.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

auto entries(std::initializer_list<int> numbers) -> std::vector<UpstreamEntry>
{
    std::vector<UpstreamEntry> result;
    for (const auto number : numbers) {
        UpstreamEntry entry;
        entry.id = UpstreamId{"u" + std::to_string(number)};
        entry.address = Address{"10.0.0." + std::to_string(number) + ":80"};
        result.push_back(entry);
    }
    return result;
}

} // namespace

SCENARIO("UpstreamDirectory believes what the store says, but for outages", "[edge]")
{
    const Instant start{seconds{100}};
    const Instant longAgo{};
    UpstreamDirectory directory(UpstreamDirectorySettings{});
    directory.update(entries({1, 2, 3, 4, 5, 6}), longAgo, start);
    GIVEN("a store without trouble")
    {
        directory.update(entries({1, 2, 3, 4, 5}), longAgo, start);
        THEN("an entry that is gone counts as gone at once")
        {
            CHECK(directory.entries().size() == 5);
        }
    }
    GIVEN("entries that lapsed while the store was away")
    {
        directory.update(entries({1, 2, 3, 4, 5}), start - seconds{1}, start);
        CHECK(directory.entries().size() == 6);
        THEN("those that come back were never gone")
        {
            directory.update(entries({1, 2, 3, 4, 5, 6}), start, start + seconds{1});
            directory.advance(start + seconds{10});
            CHECK(directory.entries().size() == 6);
        }
        THEN("those still missing after the time that living ones need are gone")
        {
            directory.advance(start + seconds{2});
            CHECK(directory.entries().size() == 6);
            directory.advance(start + seconds{3});
            CHECK(directory.entries().size() == 5);
        }
        THEN("one whose address another upstream has is gone at once")
        {
            auto next = entries({1, 2, 3, 4, 5, 7});
            next.back().address = Address{"10.0.0.6:80"};
            directory.update(next, start, start + milliseconds{100});
            CHECK(directory.entries().size() == 6);
            CHECK(directory.entries().back().id.value == "u7");
        }
    }
    GIVEN("half of the entries gone at one moment")
    {
        directory.update(entries({1, 2, 3}), longAgo, start);
        THEN("that is taken for an outage")
        {
            CHECK(directory.entries().size() == 6);
        }
    }
    GIVEN("an upstream that was leaving")
    {
        auto leaving = entries({1, 2, 3, 4, 5, 6});
        leaving.back().isDraining = true;
        directory.update(leaving, start, start);
        directory.update(entries({1, 2, 3, 4, 5}), start, start);
        THEN("it is gone, outage or not")
        {
            CHECK(directory.entries().size() == 5);
        }
    }
}

SCENARIO("metricsText shows gauges beside counters", "[edge]")
{
    EdgeGauges gauges;
    gauges.grantedServices = 2;
    const auto text = metricsText(CounterSnapshot{}, {}, gauges);
    CHECK(text.find("gooseberrywall_granted_services 2\n") != std::string::npos);
}
