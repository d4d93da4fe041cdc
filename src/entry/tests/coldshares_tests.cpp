#include "entry/coldshares.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t daemonCount = 100;
const ServiceName service{"fitment"};
const UpstreamId upstream{"u0"};

/// The share of one daemon of a hundred, which is seldom free while the upstream counts as cold.
struct ColdSharesFixture
{
    ColdShares shares{1};
    UpstreamEntry entry;
    Instant now{seconds{100}};

    explicit ColdSharesFixture(double warmUpPerSecond = 5.4)
    {
        this->entry.id = upstream;
        this->entry.service = service;
        ServiceSpec spec;
        spec.name = service;
        spec.warmUpPerSecond = warmUpPerSecond;
        this->shares.setServices({spec});
        this->publish();
    }

    auto publish() -> void { this->shares.setUpstreams({this->entry}, this->now); }
    auto end(AttemptEnd end) -> void { this->shares.onEnd(upstream, end, this->now); }
    /// @returns how many of the next 100 attempts, one each 10 ms, may be sent
    auto allowedCount() -> int
    {
        auto count = 0;
        for (auto attempt = 0; attempt < 100; ++attempt) {
            this->now += milliseconds{10};
            if (this->shares.allows(upstream, daemonCount, this->now)) {
                this->shares.onSent(upstream, this->now);
                ++count;
            }
        }
        return count;
    }
};

} // namespace

// Guards against daemons without a grantor that send as usual to an upstream that is, or may be,
// cold.
SCENARIO("ColdShares: given an upstream that is or may be cold, a daemon sends one request at most",
         "[entry][cold]")
{
    ColdSharesFixture fixture;
    REQUIRE(fixture.allowedCount() == 100);
    GIVEN("an entry that states a warm-up")
    {
        fixture.entry.remainingWarmUp = milliseconds{1000};
        fixture.entry.warmUpRevision = 1;
        fixture.publish();
        CHECK(fixture.allowedCount() <= 2);
        CHECK(fixture.allowedCount() == 100);
        WHEN("the same entry is read again")
        {
            fixture.publish();
            CHECK(fixture.allowedCount() == 100);
        }
        WHEN("a later entry states the same warm-up")
        {
            fixture.entry.warmUpRevision = 2;
            fixture.publish();
            CHECK(fixture.allowedCount() <= 2);
        }
    }
    GIVEN("an entry that was missing")
    {
        fixture.entry.isMissing = true;
        fixture.publish();
        CHECK(fixture.allowedCount() == 100);
        fixture.entry.isMissing = false;
        fixture.publish();
        CHECK(fixture.allowedCount() <= 1);
        CHECK(fixture.allowedCount() <= 2);
        CHECK(fixture.allowedCount() == 100);
    }
    GIVEN("an entry that had disappeared")
    {
        fixture.shares.setUpstreams({}, fixture.now);
        fixture.publish();
        CHECK(fixture.allowedCount() <= 1);
    }
    GIVEN("an evacuation of its failure domain that is withdrawn")
    {
        fixture.entry.isEvacuated = true;
        fixture.publish();
        CHECK(fixture.allowedCount() == 100);
        fixture.entry.isEvacuated = false;
        fixture.entry.evacuationEndedAt = fixture.now;
        fixture.publish();
        CHECK(fixture.allowedCount() <= 1);
        CHECK(fixture.allowedCount() <= 2);
        CHECK(fixture.allowedCount() == 100);
    }
    GIVEN("an attempt that couldn't be sent")
    {
        fixture.end(AttemptEnd::NotSent);
        CHECK(fixture.allowedCount() <= 1);
        THEN("the upstream counts as cold again from the first answer on")
        {
            fixture.now += seconds{5};
            fixture.end(AttemptEnd::Answered);
            CHECK(fixture.allowedCount() <= 1);
            fixture.now += seconds{1};
            CHECK(fixture.allowedCount() == 100);
        }
    }
    GIVEN("one attempt without an answer, then a second one")
    {
        fixture.end(AttemptEnd::NoAnswer);
        CHECK(fixture.allowedCount() == 100);
        fixture.end(AttemptEnd::NoAnswer);
        CHECK(fixture.allowedCount() <= 1);
    }
    GIVEN("an upstream that may have become cold, and an entry after that")
    {
        fixture.shares.suspectCold(upstream, fixture.now);
        CHECK(fixture.allowedCount() <= 1);
        fixture.entry.remainingWarmUp = milliseconds{10};
        fixture.entry.warmUpRevision = 1;
        fixture.publish();
        CHECK(fixture.allowedCount() >= 99);
    }
}

// Guards against deployments that get fewer requests through though they set no rate.
SCENARIO("ColdShares: given a service without a rate, cold upstreams aren't bounded",
         "[entry][cold]")
{
    ColdSharesFixture fixture(0);
    fixture.entry.remainingWarmUp = seconds{10};
    fixture.entry.warmUpRevision = 1;
    fixture.publish();
    fixture.shares.suspectCold(upstream, fixture.now);
    CHECK(fixture.allowedCount() == 100);
}
