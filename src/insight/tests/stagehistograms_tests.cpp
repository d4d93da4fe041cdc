#include "insight/metricspage.h"
#include "insight/stagehistograms.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::microseconds;
using std::chrono::milliseconds;

SCENARIO("StageHistograms: routes and stages have separate histograms", "[stagehistograms]")
{
    GIVEN("times on the bounds of buckets, between them and above the last one")
    {
        StageHistograms histograms;
        for (const Duration time : {Duration{0}, Duration{milliseconds{1}}, Duration{1001},
                                    Duration{milliseconds{150}}, Duration{std::chrono::hours{1}}}) {
            histograms.add("ring-fit", RequestStage::Upstream, time);
        }
        histograms.add("ring-fit", RequestStage::Total, milliseconds{3});
        histograms.add("pallet-ship", RequestStage::Total, milliseconds{3});
        const auto samples = histograms.snapshot();
        THEN("there is one histogram for each route and stage that was seen")
        {
            REQUIRE(samples.size() == 3);
            CHECK(samples[0].route == "pallet-ship");
            CHECK(samples[1].stage == RequestStage::Upstream);
            CHECK(samples[2].stage == RequestStage::Total);
        }
        THEN("buckets are cumulative and include their upper bound")
        {
            const auto &sample = samples[1];
            const auto upTo = [&](Duration bound) {
                for (const auto &bucket : sample.buckets) {
                    if (bucket.upperBound == bound) {
                        return bucket.cumulativeCount;
                    }
                }
                return std::uint64_t{0};
            };
            CHECK(upTo(milliseconds{1}) == 2);
            CHECK(upTo(milliseconds{2}) == 3);
            CHECK(upTo(milliseconds{100}) == 3);
            CHECK(upTo(milliseconds{200}) == 4);
            CHECK(sample.buckets.back().cumulativeCount == 4);
            CHECK(sample.count == 5);
            CHECK(sample.sum == Duration{std::chrono::hours{1}} + microseconds{152'001});
        }
        THEN("the page lists the buckets and the total")
        {
            const auto page = metricsPage(samples);
            CHECK(page.find(
                      "stage_seconds_bucket{route=\"ring-fit\",stage=\"upstream\",le=\"0.2\"} 4\n")
                  != std::string::npos);
            CHECK(page.find("route=\"ring-fit\",stage=\"upstream\",le=\"+Inf\"} 5\n")
                  != std::string::npos);
        }
    }
    GIVEN("more routes than the limit")
    {
        StageHistograms histograms(2);
        for (const auto *route : {"a", "b", "c", "d", "a"}) {
            histograms.add(route, RequestStage::Total, milliseconds{3});
        }
        THEN("the routes beyond the limit share a histogram")
        {
            const auto samples = histograms.snapshot();
            REQUIRE(samples.size() == 3);
            CHECK(samples[0].count == 2);
            CHECK(samples[2].route == "other");
            CHECK(samples[2].count == 2);
        }
    }
}
