#include "placement/loadmeter.h"

#include <catch2/catch.hpp>

#include <random>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

const ShardId shard{ServiceName{"fitment"}, 7};

auto key(int number) -> Key
{
    return Key{"lid-" + std::to_string(number)};
}

/// Records 1000 runs of 1 ms within one second, every fourth of them for the hot key.
auto recordOneSecond(LoadMeter &meter, Instant begin, const Key &hot) -> void
{
    std::mt19937_64 random(3);
    for (int request = 0; request < 1000; ++request) {
        const auto isHot = request % 4 == 0;
        const auto other = key(static_cast<int>(random() % 100000));
        meter.recordRun(begin + request * 1ms, shard, isHot ? hot : other, 1ms);
    }
}

} // namespace

SCENARIO("LoadMeter reports busy slots and hot keys", "[loadmeter]")
{
    GIVEN("a shard with one hot key among many others")
    {
        LoadMeter meter;
        const Instant start{10s};
        recordOneSecond(meter, start, key(-1));
        WHEN("a report is taken after a second")
        {
            const auto report = meter.takeReport(start + 1s);
            THEN("it has the shard's load and the hot key's, and no other key")
            {
                REQUIRE(report.shards.size() == 2);
                CHECK(report.shards[0].key.empty());
                CHECK(report.shards[0].busySlots == Approx(1.0).epsilon(0.01));
                CHECK(report.shards[1].key == key(-1));
                CHECK(report.shards[1].busySlots <= 0.25 * 1.01);
                CHECK(report.shards[1].busySlots >= 0.25 * 0.7);
            }
        }
        WHEN("another key is hot for the next half minute")
        {
            auto now = start + 1s;
            LoadReport report = meter.takeReport(now);
            for (int second = 0; second < 30; ++second) {
                recordOneSecond(meter, now, key(-2));
                now += 1s;
                report = meter.takeReport(now);
            }
            THEN("only the new hot key is reported")
            {
                REQUIRE(report.shards.size() == 2);
                CHECK(report.shards[1].key == key(-2));
            }
        }
        WHEN("no work follows")
        {
            meter.takeReport(start + 1s);
            THEN("later reports are empty")
            {
                CHECK(meter.takeReport(start + 2s).shards.empty());
                CHECK(meter.takeReport(start + 2s).shards.empty());
            }
        }
    }
}
