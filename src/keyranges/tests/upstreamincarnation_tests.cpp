#include "keyranges/tests/rangesimulation.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr KeyRange allKeys{0, 65535};

auto upstreamOf(const std::string &id, std::uint64_t incarnation) -> UpstreamEntry
{
    UpstreamEntry entry;
    entry.id = UpstreamId{id};
    entry.address = Address{"10.0.0.1:80" + id};
    entry.incarnation = Incarnation{incarnation};
    return entry;
}

/// A grantor that has granted all keys to upstream "a", incarnation 200.
struct OwnedByFirst
{
    RangeGrantorSettings settings;
    Instant now{seconds{100}};
    UpstreamEntry first = upstreamOf("a", 200);
    UpstreamEntry second = upstreamOf("b", 200);
    RangeGrantor grantor{this->settings, 1};

    OwnedByFirst()
    {
        this->grantor.setAuthorityEnd(this->now + seconds{60});
        this->grantor.setUpstreams({this->first, this->second}, this->now);
        this->grantor.adopt(RangeRecord{}, this->now);
        this->grantor.move({RangeMove{allKeys, this->first.id}}, this->now);
        this->storeRecord();
        for (const auto &order : this->grantor.takeOrders()) {
            this->grantor.onOrderEnd({order.call, RangeOrderEnd::Kind::Accepted, ""}, this->now);
        }
    }

    auto storeRecord() -> void
    {
        std::uint64_t version = 0;
        if (this->grantor.takeRecord(version)) {
            this->grantor.onRecordStored(version, this->now);
        }
    }

    /// Moves the keys to "b" wherever that is possible, and leaves orders unanswered that `answers`
    /// doesn't answer.
    /// @returns when "b" was first granted keys; nothing if that doesn't happen within `limit`
    template<typename Answers>
    auto grantTimeOfSecond(Duration limit, const Answers &answers) -> std::optional<Instant>
    {
        const auto end = this->now + limit;
        while (this->now < end) {
            if (this->grantor.hasUnowned()) {
                this->grantor.move({RangeMove{allKeys, this->second.id}}, this->now);
            }
            this->storeRecord();
            this->grantor.advance(this->now);
            for (const auto &order : this->grantor.takeOrders()) {
                const auto isGrantOfSecond =
                    order.kind == RangeOrder::Kind::Grant && order.upstream == this->second.id;
                if (isGrantOfSecond) {
                    return this->now;
                }
                this->grantor.onOrderEnd({order.call, answers(order), ""}, this->now);
            }
            this->now += milliseconds{10};
        }
        return std::nullopt;
    }
};

auto neverAnswered(const RangeOrder & /*order*/) -> RangeOrderEnd::Kind
{
    return RangeOrderEnd::Kind::NoAnswer;
}

} // namespace

// Guards against two owners of a key: a restored store shows an earlier incarnation of an upstream,
// or one without a start time, whose keys were then granted to another one while it held them.
SCENARIO(
    "RangeGrantor: given an entry with an earlier or missing incarnation, the holder keeps its "
    "keys until its hold has run out",
    "[keyranges][restored]")
{
    OwnedByFirst owned;
    const auto grantedAt = owned.now;
    owned.first.incarnation = Incarnation{GENERATE(std::uint64_t{100}, std::uint64_t{0})};
    owned.now += milliseconds{500};
    owned.grantor.setUpstreams({owned.first, owned.second}, owned.now);
    const auto movedAt = owned.grantTimeOfSecond(seconds{20}, neverAnswered);
    REQUIRE(movedAt.has_value());
    CHECK(*movedAt - grantedAt >= owned.settings.holdTime);
    CHECK(*movedAt - grantedAt < owned.settings.holdTime + seconds{1});
}

// Guards against keys that stay without an owner where an upstream's clock was set back.
SCENARIO("RangeGrantor: given an earlier incarnation that stays, the same upstream gets its keys "
         "again",
         "[keyranges][restored]")
{
    OwnedByFirst owned;
    owned.first.incarnation = Incarnation{100};
    owned.grantor.setUpstreams({owned.first}, owned.now);
    auto isGranted = false;
    for (const auto end = owned.now + seconds{10}; owned.now < end && !isGranted;
         owned.now += milliseconds{10}) {
        if (owned.grantor.hasUnowned()) {
            owned.grantor.move({RangeMove{allKeys, owned.first.id}}, owned.now);
        }
        owned.storeRecord();
        owned.grantor.advance(owned.now);
        isGranted = !owned.grantor.takeOrders().empty();
    }
    CHECK(isGranted);
}

// Guards against two owners of a key: an upstream that had restarted under its id and address took
// a renewal meant for its earlier incarnation, and counted as holding nothing when its entry came.
SCENARIO("RangeGrantor: given a restart that shows only after a renewal, the upstream releases its "
         "keys before another one gets them",
         "[keyranges][restored]")
{
    OwnedByFirst owned;
    owned.now += milliseconds{1200};
    owned.grantor.advance(owned.now);
    const auto renewed = owned.grantor.takeOrders();
    REQUIRE(renewed.size() == 1);
    owned.grantor.onOrderEnd({renewed[0].call, RangeOrderEnd::Kind::Accepted, ""}, owned.now);
    const auto renewedAt = owned.now;
    GIVEN("a later incarnation at the same address")
    {
        owned.first.incarnation = Incarnation{300};
        owned.first.isDraining = true;
        owned.grantor.setUpstreams({owned.first, owned.second}, owned.now);
        THEN("it is ordered to release the keys first")
        {
            auto isReleased = false;
            const auto accept = [&](const RangeOrder &order) {
                isReleased = isReleased || order.kind == RangeOrder::Kind::Release;
                return RangeOrderEnd::Kind::Accepted;
            };
            const auto movedAt = owned.grantTimeOfSecond(seconds{2}, accept);
            CHECK(movedAt.has_value());
            CHECK(isReleased);
        }
        THEN("without an answer, the keys wait for the end of its hold")
        {
            const auto movedAt = owned.grantTimeOfSecond(seconds{20}, neverAnswered);
            REQUIRE(movedAt.has_value());
            CHECK(*movedAt - renewedAt >= owned.settings.holdTime);
        }
    }
    GIVEN("a later incarnation at another address, which no order has reached")
    {
        owned.first.incarnation = Incarnation{300};
        owned.first.address = Address{"10.0.0.9:80"};
        owned.grantor.setUpstreams({owned.first, owned.second}, owned.now);
        THEN("another upstream gets the keys at once")
        {
            const auto movedAt = owned.grantTimeOfSecond(seconds{20}, neverAnswered);
            REQUIRE(movedAt.has_value());
            CHECK(*movedAt - renewedAt < milliseconds{100});
        }
    }
}

// Guards against two owners of a key where upstreams restart before the store shows it.
SCENARIO("RangeGrantor: given restarts that the store shows late, no key gets two owners",
         "[keyranges][restored]")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        GIVEN("seed " + std::to_string(seed))
        {
            RangeSimulation simulation(seed, 8, {0.05, 0.05});
            std::mt19937_64 random(seed * 91);
            simulation.run(seconds{3});
            for (auto round = 0; round < 10; ++round) {
                if (random() % 4 == 0) {
                    simulation.replaceGrantor(milliseconds{random() % 2000});
                }
                simulation.crash(static_cast<int>(random() % 8), milliseconds{random() % 400},
                                 milliseconds{random() % 3000});
                simulation.setHotKeys(KeyRange{20'000, 20'199},
                                      static_cast<std::uint32_t>(random() % 300));
                simulation.run(milliseconds{500 + random() % 2500});
            }
            simulation.setFaults({});
            simulation.run(seconds{15});
            THEN("no key ever had two owners, fences rose, and all keys are served at the end")
            {
                CHECK(simulation.doubleOwnerCount() == 0);
                CHECK(simulation.lowFenceCount() == 0);
                CHECK(simulation.servedKeyCount() == 65536);
            }
        }
    }
}
