#include "keyranges/releaseround.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start{seconds{100}};

auto holder(const std::string &id, std::uint64_t incarnation = 1) -> RangeHolder
{
    return RangeHolder{UpstreamId{id}, Incarnation{incarnation}, Address{id + ":80"}};
}

struct ReleaseRoundFixture
{
    ReleaseRound round{ReleaseRoundSettings{}};
    std::uint64_t nextCall = 1;

    ReleaseRoundFixture()
    {
        this->round.start(7);
        this->round.addUpstream(holder("a"));
        this->round.addUpstream(holder("b"));
        this->round.setRanges({{KeyRange{0, 99}, UpstreamId{"a"}},
                               {KeyRange{100, 199}, UpstreamId{"b"}},
                               {KeyRange{200, 65535}, std::nullopt}});
    }

    auto takeOrders(Instant now) { return this->round.takeOrders(this->nextCall, now); }

    auto end(const RangeOrder &order, RangeOrderEnd::Kind kind, Instant now) -> void
    {
        this->round.onOrderEnd(RangeOrderEnd{order.call, kind, ""}, now);
    }
};

} // namespace

SCENARIO("ReleaseRound has upstreams release what they aren't likely to own", "[releaseround]")
{
    GIVEN("two upstreams that own a range each, and a range without a likely owner")
    {
        ReleaseRoundFixture fixture;
        const auto orders = fixture.takeOrders(start);
        REQUIRE(orders.size() == 3);
        THEN("each is ordered to release the rest, with the fence of the round")
        {
            CHECK(orders[0].upstream.value == "a");
            CHECK(orders[0].range == KeyRange{100, 65535});
            CHECK(orders[1].range == KeyRange{0, 99});
            CHECK(orders[2].range == KeyRange{200, 65535});
            for (const auto &order : orders) {
                CHECK(order.kind == RangeOrder::Kind::Release);
                CHECK(order.fence == 7);
            }
            CHECK(fixture.takeOrders(start).empty());
            CHECK(fixture.round.unreleased(start) == std::vector{KeyRange{0, 65535}});
        }
        WHEN("one has answered")
        {
            fixture.end(orders[0], RangeOrderEnd::Kind::Accepted, start);
            THEN("only what the other may hold is left")
            {
                CHECK(fixture.round.unreleased(start)
                      == std::vector{KeyRange{0, 99}, KeyRange{200, 65535}});
            }
            AND_WHEN("the other's address belongs to another upstream")
            {
                fixture.end(orders[1], RangeOrderEnd::Kind::OtherUpstream, start);
                fixture.end(orders[2], RangeOrderEnd::Kind::OtherUpstream, start);
                THEN("all is released, until a likely owner may not keep its range")
                {
                    CHECK(fixture.round.unreleased(start).empty());
                    fixture.round.setRanges({{KeyRange{0, 99}, std::nullopt}});
                    const auto next = fixture.takeOrders(start);
                    REQUIRE(next.size() == 1);
                    CHECK(next[0].upstream.value == "a");
                    CHECK(next[0].range == KeyRange{0, 99});
                }
            }
        }
        WHEN("one doesn't answer")
        {
            fixture.end(orders[0], RangeOrderEnd::Kind::NoAnswer, start);
            THEN(
                "it is asked again after a pause, and no range that it may hold counts as released")
            {
                CHECK(fixture.round.silentUpstreams() == std::vector{UpstreamId{"a"}});
                CHECK(fixture.takeOrders(start + milliseconds{149}).empty());
                const auto next = fixture.takeOrders(start + milliseconds{150});
                REQUIRE(next.size() == 1);
                CHECK(next[0].range == orders[0].range);
            }
            AND_WHEN("a later incarnation of it is known")
            {
                auto later = holder("a", 2);
                later.address = Address{"elsewhere:80"};
                fixture.round.addUpstream(later);
                THEN("only that one has to answer, also where the earlier one is named once more")
                {
                    fixture.round.addUpstream(holder("a"));
                    CHECK(fixture.round.upstreamCount() == 2);
                    CHECK(fixture.round.silentUpstreams().empty());
                }
            }
        }
        WHEN("the round starts anew")
        {
            fixture.round.start(8);
            fixture.round.addUpstream(holder("a"));
            THEN("answers to earlier orders don't count")
            {
                fixture.end(orders[0], RangeOrderEnd::Kind::Accepted, start);
                CHECK(fixture.round.unreleased(start) == std::vector{KeyRange{100, 65535}});
            }
        }
    }
}

SCENARIO("ReleaseRound limits the orders on their way", "[releaseround]")
{
    GIVEN("more upstreams than orders may be open")
    {
        const ReleaseRoundSettings settings;
        ReleaseRound round(settings);
        round.start(1);
        for (std::size_t index = 0; index < 3 * settings.maxOpenOrders; ++index) {
            round.addUpstream(holder("u" + std::to_string(index)));
        }
        round.setRanges({{KeyRange{0, 65535}, std::nullopt}});
        std::uint64_t nextCall = 1;
        const auto first = round.takeOrders(nextCall, start);
        THEN("further orders follow answers")
        {
            CHECK(first.size() == settings.maxOpenOrders);
            CHECK(round.takeOrders(nextCall, start).empty());
            round.onOrderEnd(RangeOrderEnd{first[0].call, RangeOrderEnd::Kind::Accepted, ""},
                             start);
            CHECK(round.takeOrders(nextCall, start).size() == 1);
        }
    }
}

// Guards against keys that are given on while their holder is at work (OWNER, issue 33): the order
// that stayed unanswered had reached an upstream that had restarted and wasn't listed yet.
SCENARIO("ReleaseRound: given an upstream that is listed only after it has left a release "
         "unanswered, its next answer proves nothing",
         "[releaseround][workatrelease]")
{
    ReleaseRoundFixture fixture;
    fixture.round.setWorkTime(seconds{3});
    for (const auto &order : fixture.takeOrders(start)) {
        const auto isFromB = order.upstream.value == "b";
        fixture.end(order, isFromB ? RangeOrderEnd::Kind::NoAnswer : RangeOrderEnd::Kind::Accepted,
                    start);
    }
    fixture.round.addUpstream(holder("b", 2));
    for (const auto &order : fixture.takeOrders(start + seconds{1})) {
        fixture.end(order, RangeOrderEnd::Kind::Accepted, start + seconds{1});
    }
    CHECK(fixture.round.unreleased(start + seconds{3})
          == std::vector{KeyRange{0, 99}, KeyRange{200, 65535}});
}
