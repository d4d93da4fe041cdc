#include "entry/upstreamreach.h"

#include <catch2/catch.hpp>
#include <string>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

auto upstream(int index) -> Address
{
    return Address{"10.1.0." + std::to_string(index) + ":80"};
}

/// A VM's reach of upstreams, and the time.
struct ReachFixture
{
    UpstreamReach reach{UpstreamReachSettings{}};
    Instant now = Instant{seconds{100}};

    /// An attempt that ends after a time.
    auto attempt(int index, AttemptEnd end, Duration after = milliseconds{2}) -> void
    {
        const auto sentAt = this->now;
        this->reach.onSent(upstream(index), sentAt);
        this->now += after;
        this->reach.onEnd(upstream(index), end, sentAt, this->now);
        this->reach.advance(this->now);
    }

    /// Ends all probes that have been started.
    auto endProbes(bool areOpen) -> std::size_t
    {
        const auto probes = this->reach.takeProbes();
        for (std::size_t index = 0; index < probes.size(); ++index) {
            this->reach.onProbeEnd(areOpen, this->now);
        }
        return probes.size();
    }
};

} // namespace

// A VM that has lost its links would go on sending requests into them, or refuse them all.
SCENARIO("UpstreamReach: given upstreams that answered, a VM whose links are refused is isolated",
         "[entry][isolated]")
{
    ReachFixture fixture;
    for (int index = 1; index <= 5; ++index) {
        fixture.attempt(index, AttemptEnd::Answered, milliseconds{70});
    }
    WHEN("two upstreams fail in a row and the probes fail")
    {
        fixture.attempt(1, AttemptEnd::NotSent);
        CHECK(fixture.reach.takeProbes().empty());
        fixture.attempt(2, AttemptEnd::NotSent);
        CHECK_FALSE(fixture.reach.isIsolated());
        CHECK_FALSE(fixture.reach.nextDue());
        CHECK(fixture.endProbes(false) == 3);
        THEN("it is isolated, and probes again until a connection is established")
        {
            CHECK(fixture.reach.isIsolated());
            CHECK(fixture.reach.isolationCount() == 1);
            fixture.reach.advance(fixture.now);
            CHECK(fixture.reach.takeProbes().empty());
            fixture.now += UpstreamReachSettings{}.probeInterval;
            CHECK(fixture.reach.nextDue() <= fixture.now);
            fixture.reach.advance(fixture.now);
            CHECK(fixture.endProbes(true) == 3);
            CHECK_FALSE(fixture.reach.isIsolated());
        }
    }
    WHEN("two upstreams fail in a row, and nothing is open any more")
    {
        for (int index = 1; index <= 2; ++index) {
            fixture.reach.onSent(upstream(index), fixture.now);
            fixture.reach.onEnd(upstream(index), AttemptEnd::NotSent, fixture.now, fixture.now);
        }
        THEN("the probes are due at once")
        {
            CHECK(fixture.reach.nextDue() <= fixture.now);
        }
    }
    WHEN("two upstreams fail in a row and one probe succeeds")
    {
        fixture.attempt(1, AttemptEnd::NotSent);
        fixture.attempt(2, AttemptEnd::NotSent);
        REQUIRE(fixture.reach.takeProbes().size() == 3);
        fixture.reach.onProbeEnd(false, fixture.now);
        fixture.reach.onProbeEnd(true, fixture.now);
        fixture.reach.onProbeEnd(false, fixture.now);
        THEN("the upstreams are lost, and not the links")
        {
            CHECK_FALSE(fixture.reach.isIsolated());
        }
    }
    WHEN("a single upstream fails again and again")
    {
        for (int index = 0; index < 20; ++index) {
            fixture.attempt(1, AttemptEnd::NotSent);
        }
        THEN("the links aren't in doubt")
        {
            CHECK(fixture.reach.takeProbes().empty());
        }
    }
    WHEN("another upstream answers between two failures")
    {
        fixture.attempt(1, AttemptEnd::NotSent);
        fixture.attempt(3, AttemptEnd::Failed);
        fixture.attempt(2, AttemptEnd::NotSent);
        THEN("the links aren't in doubt")
        {
            CHECK(fixture.reach.takeProbes().empty());
        }
    }
}

SCENARIO("UpstreamReach: given connections that hang, the VM finds out before the deadlines",
         "[entry][isolated]")
{
    ReachFixture fixture;
    fixture.attempt(3, AttemptEnd::Answered, milliseconds{70});
    const auto start = fixture.now;
    fixture.reach.onSent(upstream(1), start);
    fixture.reach.onSent(upstream(2), start);
    fixture.reach.advance(start);
    WHEN("no upstream answers for a quarter of a second")
    {
        REQUIRE(fixture.reach.nextDue() == start + UpstreamReachSettings{}.silence);
        fixture.now = *fixture.reach.nextDue();
        fixture.reach.advance(fixture.now);
        THEN("connections to several upstreams decide")
        {
            CHECK(fixture.endProbes(false) == 3);
            CHECK(fixture.reach.isIsolated());
        }
    }
    WHEN("a third upstream answers meanwhile")
    {
        fixture.now += milliseconds{200};
        fixture.attempt(3, AttemptEnd::Answered, milliseconds{40});
        fixture.now = start + UpstreamReachSettings{}.silence;
        fixture.reach.advance(fixture.now);
        THEN("the two are slow, and the links aren't in doubt")
        {
            CHECK(fixture.reach.takeProbes().empty());
        }
    }
    WHEN("an upstream answers on an open connection while the probes fail")
    {
        fixture.now += milliseconds{250};
        fixture.reach.advance(fixture.now);
        REQUIRE(fixture.reach.takeProbes().size() == 3);
        fixture.now += milliseconds{20};
        fixture.reach.onEnd(upstream(1), AttemptEnd::Answered, start, fixture.now);
        for (int index = 0; index < 3; ++index) {
            fixture.reach.onProbeEnd(false, fixture.now);
        }
        THEN("the VM isn't isolated")
        {
            CHECK_FALSE(fixture.reach.isIsolated());
        }
    }
}

SCENARIO("UpstreamReach: given upstreams that aren't used any more, they aren't probed",
         "[entry][isolated]")
{
    ReachFixture fixture;
    fixture.attempt(1, AttemptEnd::Answered);
    fixture.now += UpstreamReachSettings{}.retention;
    fixture.attempt(2, AttemptEnd::NotSent);
    CHECK(fixture.reach.takeProbes() == std::vector<Address>{upstream(2)});
}
