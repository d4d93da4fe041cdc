#include "keyranges/rangerecordcodec.h"
#include "keyranges/tests/rangesimulation.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t keyCount = 65536;
/// Time limit of the design for a key to be served again after the loss of its owner.
constexpr auto recoveryTimeLimit = seconds{5};

} // namespace

SCENARIO("RangeGrantor gives all keys one owner", "[keyranges]")
{
    GIVEN("upstreams that answer")
    {
        RangeSimulation simulation(1, 7, {});
        simulation.run(seconds{3});
        THEN("all keys are served, and stay so for 20 s")
        {
            CHECK(simulation.servedKeyCount() == keyCount);
            simulation.run(seconds{20});
            CHECK(simulation.servedKeyCount() == keyCount);
            CHECK(simulation.doubleOwnerCount() == 0);
        }
        WHEN("an upstream is lost for good")
        {
            simulation.crash(3, std::nullopt);
            simulation.run(recoveryTimeLimit);
            THEN("its keys are served again within the time limit")
            {
                CHECK(simulation.servedKeyCount() == keyCount);
                CHECK(simulation.doubleOwnerCount() == 0);
            }
        }
        WHEN("an upstream restarts as a new incarnation")
        {
            simulation.crash(3, milliseconds{500});
            simulation.run(seconds{2});
            THEN("its keys are granted anew before its earlier grants have run out")
            {
                CHECK(simulation.servedKeyCount() == keyCount);
            }
        }
        WHEN("an upstream is draining")
        {
            simulation.drain(2);
            simulation.run(seconds{2});
            THEN("others own its keys within two seconds")
            {
                CHECK(simulation.servedKeyCount() == keyCount);
                CHECK(simulation.doubleOwnerCount() == 0);
            }
        }
        WHEN("the grantor is replaced")
        {
            simulation.replaceGrantor(seconds{2});
            simulation.run(seconds{3});
            THEN("all keys are served, and none has two owners")
            {
                CHECK(simulation.servedKeyCount() == keyCount);
                CHECK(simulation.doubleOwnerCount() == 0);
            }
        }
    }
}

SCENARIO("RangeGrantor renews an unanswered grant with a higher fence before its keys move",
         "[keyranges]")
{
    // Guards against two owners of a key: a renewal without an answer was carried out after its
    // holder had released the keys. Seen in the random fault mix with seed 804001223651 of
    // kfc-gasketnet (OWNER at 27.0 s).
    GIVEN("an owner whose last renewal was not answered")
    {
        Instant now{seconds{100}};
        UpstreamEntry first;
        first.id = UpstreamId{"a"};
        auto second = first;
        second.id = UpstreamId{"b"};
        RangeGrantor grantor(RangeGrantorSettings{}, 1);
        grantor.setAuthorityEnd(now + seconds{60});
        grantor.setUpstreams({first, second}, now);
        grantor.adopt(RangeRecord{}, now);
        grantor.move({RangeMove{KeyRange{0, 65535}, first.id}}, now);
        std::uint64_t version = 0;
        static_cast<void>(grantor.takeRecord(version));
        grantor.onRecordStored(version, now);
        const auto granted = grantor.takeOrders();
        REQUIRE(granted.size() == 1);
        grantor.onOrderEnd({granted[0].call, RangeOrderEnd::Kind::Accepted, ""}, now);
        now += seconds{2};
        grantor.advance(now);
        const auto renewed = grantor.takeOrders();
        REQUIRE(renewed.size() == 1);
        grantor.onOrderEnd({renewed[0].call, RangeOrderEnd::Kind::NoAnswer, ""}, now);
        WHEN("its keys are to move")
        {
            grantor.move({RangeMove{KeyRange{0, 100}, second.id}}, now);
            now += milliseconds{200};
            grantor.advance(now);
            const auto next = grantor.takeOrders();
            THEN("they are granted to it once more with a higher fence, and released afterwards")
            {
                REQUIRE_FALSE(next.empty());
                CHECK(next[0].kind == RangeOrder::Kind::Grant);
                CHECK(next[0].upstream == first.id);
                CHECK(next[0].fence > renewed[0].fence);
                for (const auto &order : next) {
                    grantor.onOrderEnd({order.call, RangeOrderEnd::Kind::Accepted, ""}, now);
                }
                const auto last = grantor.takeOrders();
                REQUIRE(last.size() == 1);
                CHECK(last[0].kind == RangeOrder::Kind::Release);
                CHECK(last[0].range == KeyRange{0, 100});
            }
        }
    }
}

SCENARIO("RangeGrantor waits for prolonged grants of the grantor before it", "[keyranges]")
{
    // An earlier grantor that couldn't renew its lease prolongs grants to the longest time. One
    // that an upstream left unanswered may be carried out after a release.
    GIVEN("a takeover while keys move from one upstream to another")
    {
        const RangeGrantorSettings settings;
        Instant now{seconds{100}};
        UpstreamEntry first;
        first.id = UpstreamId{"a"};
        auto second = first;
        second.id = UpstreamId{"b"};
        const auto holderOf = [](const UpstreamEntry &entry) {
            return RangeHolder{entry.id, entry.incarnation, entry.address};
        };
        RangeRecord record;
        record.rows = {RangeRow{KeyRange{0, 65535}, holderOf(second), {holderOf(first)}}};
        RangeGrantor grantor(settings, 2);
        grantor.setAuthorityEnd(now + seconds{60});
        grantor.setUpstreams({first, second}, now);
        grantor.adopt(record, now);
        const auto takenOverAt = now;
        grantor.advance(now);
        const auto released = grantor.takeOrders();
        REQUIRE(released.size() == 1);
        REQUIRE(released[0].kind == RangeOrder::Kind::Release);
        WHEN("the upstream that is to lose them has released them")
        {
            grantor.onOrderEnd({released[0].call, RangeOrderEnd::Kind::Accepted, ""}, now);
            THEN("the other one gets them once the longest grants have run out")
            {
                std::optional<Instant> grantedAt;
                while (!grantedAt && now < takenOverAt + seconds{20}) {
                    now += milliseconds{50};
                    grantor.advance(now);
                    for (const auto &order : grantor.takeOrders()) {
                        grantedAt =
                            order.kind == RangeOrder::Kind::Grant ? std::optional(now) : grantedAt;
                    }
                }
                REQUIRE(grantedAt.has_value());
                CHECK(*grantedAt - takenOverAt >= settings.longestHoldTime);
                CHECK(*grantedAt - takenOverAt < settings.longestHoldTime + seconds{1});
            }
        }
    }
}

// An earlier grantor may have ordered a release, too: an answer to a further one doesn't tell that
// the work on the keys has ended.
SCENARIO("RangeGrantor waits for the holds of earlier owners after a takeover, also where releases "
         "raise fences",
         "[keyranges]")
{
    GIVEN("a takeover while keys move from one upstream to another")
    {
        RangeGrantorSettings settings;
        settings.doReleasesRaiseFences = true;
        Instant now{seconds{100}};
        std::vector<UpstreamEntry> entries(2);
        std::vector<RangeHolder> holders;
        for (std::size_t index = 0; index < entries.size(); ++index) {
            entries[index].id = UpstreamId{std::string(1, static_cast<char>('a' + index))};
            holders.push_back(RangeHolder{entries[index].id, {}, {}});
        }
        RangeRecord record;
        record.rows = {RangeRow{KeyRange{0, 65535}, holders[1], {holders[0]}}};
        RangeGrantor grantor(settings, 2);
        grantor.setAuthorityEnd(now + seconds{60});
        grantor.setUpstreams(entries, now);
        grantor.adopt(record, now);
        const auto takenOverAt = now;
        grantor.advance(now);
        const auto first = grantor.takeOrders();
        REQUIRE(first.size() == 1);
        REQUIRE(first[0].kind == RangeOrder::Kind::Release);
        REQUIRE(first[0].upstream == holders[0].id);
        WHEN("the earlier owner doesn't answer, and is asked again")
        {
            grantor.onOrderEnd({first[0].call, RangeOrderEnd::Kind::NoAnswer, ""}, now);
            now += settings.retryPause;
            grantor.advance(now);
            const auto next = grantor.takeOrders();
            REQUIRE(next.size() == 1);
            CHECK(next[0].kind == RangeOrder::Kind::Release);
            CHECK(next[0].fence > first[0].fence);
            grantor.onOrderEnd({next[0].call, RangeOrderEnd::Kind::Accepted, ""}, now);
            THEN("the other one is granted the keys once the longest grants have run out")
            {
                std::vector<RangeOrder> granted;
                while (granted.empty() && now < takenOverAt + seconds{20}) {
                    now += milliseconds{10};
                    grantor.advance(now);
                    granted = grantor.takeOrders();
                }
                REQUIRE(granted.size() == 1);
                CHECK(granted[0].kind == RangeOrder::Kind::Grant);
                CHECK(granted[0].upstream == holders[1].id);
                CHECK(granted[0].fence > next[0].fence);
                CHECK(now - takenOverAt >= settings.longestHoldTime);
                CHECK(now - takenOverAt < settings.longestHoldTime + seconds{1});
            }
        }
        WHEN("another upstream answers at its address, so that it has ended with its work")
        {
            grantor.onOrderEnd({first[0].call, RangeOrderEnd::Kind::OtherUpstream, ""}, now);
            THEN("the other one is granted the keys at once")
            {
                grantor.advance(now);
                const auto granted = grantor.takeOrders();
                REQUIRE(granted.size() == 1);
                CHECK(granted[0].kind == RangeOrder::Kind::Grant);
                CHECK(granted[0].upstream == holders[1].id);
                CHECK(granted[0].fence > first[0].fence);
            }
        }
    }
    GIVEN("a takeover while keys move from two upstreams, one after the other, to a third")
    {
        RangeGrantorSettings settings;
        settings.doReleasesRaiseFences = true;
        Instant now{seconds{100}};
        std::vector<UpstreamEntry> entries(3);
        std::vector<RangeHolder> holders;
        for (std::size_t index = 0; index < entries.size(); ++index) {
            entries[index].id = UpstreamId{std::string(1, static_cast<char>('a' + index))};
            holders.push_back(RangeHolder{entries[index].id, {}, {}});
        }
        RangeRecord record;
        record.rows = {RangeRow{KeyRange{0, 65535}, holders[2], {holders[0], holders[1]}}};
        RangeGrantor grantor(settings, 2);
        grantor.setAuthorityEnd(now + seconds{60});
        grantor.setUpstreams(entries, now);
        grantor.adopt(record, now);
        grantor.advance(now);
        const auto first = grantor.takeOrders();
        REQUIRE(first.size() == 1);
        REQUIRE(first[0].upstream == holders[0].id);
        WHEN("the first has ended, and the second doesn't answer")
        {
            grantor.onOrderEnd({first[0].call, RangeOrderEnd::Kind::OtherUpstream, ""}, now);
            const auto second = grantor.takeOrders();
            REQUIRE(second.size() == 1);
            REQUIRE(second[0].upstream == holders[1].id);
            grantor.onOrderEnd({second[0].call, RangeOrderEnd::Kind::NoAnswer, ""}, now);
            THEN("it is asked again, and nobody is granted the keys")
            {
                now += settings.retryPause;
                grantor.advance(now);
                const auto next = grantor.takeOrders();
                REQUIRE(next.size() == 1);
                CHECK(next[0].kind == RangeOrder::Kind::Release);
                AND_THEN("its answer changes nothing before the longest grants have run out")
                {
                    grantor.onOrderEnd({next[0].call, RangeOrderEnd::Kind::Accepted, ""}, now);
                    now += settings.longestHoldTime - settings.retryPause;
                    grantor.advance(now);
                    CHECK(grantor.takeOrders().empty());
                    now += seconds{1};
                    grantor.advance(now);
                    grantor.advance(now);
                    const auto granted = grantor.takeOrders();
                    REQUIRE(granted.size() == 1);
                    CHECK(granted[0].kind == RangeOrder::Kind::Grant);
                    CHECK(granted[0].upstream == holders[2].id);
                    CHECK(granted[0].fence > next[0].fence);
                }
            }
        }
    }
}

SCENARIO("RangeGrantor changes no owner without the store", "[keyranges]")
{
    RangeSimulation simulation(5, 5, {});
    simulation.run(seconds{3});
    GIVEN("a store that is down")
    {
        simulation.setStoreDown(true);
        WHEN("an upstream is draining meanwhile")
        {
            simulation.drain(1);
            simulation.run(seconds{2});
            THEN("its keys are not served until the store answers again")
            {
                CHECK(simulation.servedKeyCount() < keyCount);
                simulation.setStoreDown(false);
                simulation.run(recoveryTimeLimit);
                CHECK(simulation.servedKeyCount() == keyCount);
                CHECK(simulation.doubleOwnerCount() == 0);
            }
        }
    }
}

SCENARIO("RangeGrantor never gives a key two owners under random faults", "[keyranges]")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        GIVEN("seed " + std::to_string(seed))
        {
            RangeSimulation simulation(seed, 8, {0.2, 0.2});
            std::mt19937_64 random(seed * 77);
            simulation.run(seconds{3});
            for (auto round = 0; round < 12; ++round) {
                switch (random() % 5) {
                case 0:
                    simulation.replaceGrantor(milliseconds{random() % 3000});
                    break;
                case 1:
                    simulation.crash(static_cast<int>(random() % 8), milliseconds{random() % 4000});
                    break;
                case 2:
                    simulation.setHotKeys(KeyRange{20'000, 20'199}, 200);
                    break;
                case 3:
                    simulation.setHotKeys(KeyRange{40'000, 40'059}, 150);
                    break;
                default:
                    simulation.setStoreDown(random() % 2 == 0);
                    break;
                }
                simulation.run(milliseconds{500 + random() % 2500});
            }
            simulation.setStoreDown(false);
            simulation.setFaults({});
            simulation.setHotKeys(KeyRange{0, 0}, 0);
            // The longest grant of an earlier grantor, and the time limit for a lost upstream.
            simulation.run(seconds{10} + recoveryTimeLimit);
            THEN("no key ever had two owners, fences rose, and all keys are served at the end")
            {
                CHECK(simulation.doubleOwnerCount() == 0);
                CHECK(simulation.lowFenceCount() == 0);
                CHECK(simulation.servedKeyCount() == keyCount);
            }
        }
    }
}

SCENARIO("RangePlanner splits a range of keys that turns hot", "[keyranges][hotkeys]")
{
    GIVEN("12 upstreams for 37 requests per second each, and 200 keys that get 200 per second")
    {
        RangeSimulation simulation(3, 12, {});
        simulation.run(seconds{4});
        const KeyRange hot{30'000, 30'199};
        simulation.setHotKeys(hot, 200);
        WHEN("two seconds have passed")
        {
            simulation.run(seconds{2});
            THEN("at least five upstreams own them, and no key had two owners")
            {
                CHECK(simulation.ownerCountOf(hot) >= 5);
                CHECK(simulation.doubleOwnerCount() == 0);
            }
        }
        WHEN("it has been hot for twenty seconds")
        {
            simulation.run(seconds{20});
            THEN("there are fewer than 100 ranges")
            {
                CHECK(simulation.rangeCount() < 100);
            }
        }
    }
}

SCENARIO("RangeRecord is decoded as it was encoded, and malformed or overlapping rows are rejected",
         "[keyranges]")
{
    RangeRecord record;
    record.rows = {
        RangeRow{KeyRange{0, 9},
                 RangeHolder{UpstreamId{"a"}, Incarnation{7}, {"1.2.3.4:5"}},
                 {RangeHolder{UpstreamId{"b"}, Incarnation{8}, {"1.2.3.4:6"}}}},
        RangeRow{KeyRange{10, 65535}, RangeHolder{UpstreamId{"c"}, {}, {"1.2.3.4:7"}}, {}, true}};
    CHECK(decodeRangeRecord(encodeRangeRecord(record)) == record);
    CHECK_FALSE(decodeRangeRecord("{}").has_value());
    CHECK_FALSE(decodeRangeRecord("nonsense").has_value());
    record.rows[1].range.first = 9;
    CHECK_FALSE(decodeRangeRecord(encodeRangeRecord(record)).has_value());
}
