#include "keyranges/rangeplanner.h"
#include "keyranges/tests/grantorofthree.h"
#include "keyranges/tests/rangesimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr KeyRange firstHalf{0, 32767};
constexpr KeyRange secondHalf{32768, 65535};

/// A grantor whose keys are owned by "a" (the first half) and "b" (the second).
struct EvacuatedGrantor : GrantorOfThree
{
    std::vector<RangeOrder> orders;

    EvacuatedGrantor()
    {
        this->grantor.adopt(RangeRecord{}, this->now);
        this->run(seconds{12});
        this->grantor.move(
            {RangeMove{firstHalf, UpstreamId{"a"}}, RangeMove{secondHalf, UpstreamId{"b"}}},
            this->now);
        this->run(seconds{1});
        REQUIRE(this->ownerOf(7) == "a");
        REQUIRE(this->ownerOf(40'000) == "b");
        this->orders.clear();
    }

    /// Accepts all orders and stores all records.
    auto run(Duration time) -> void
    {
        for (const auto end = this->now + time; this->now < end; this->now += milliseconds{10}) {
            this->grantor.setAuthorityEnd(this->now + seconds{60});
            this->step();
        }
    }

    auto step() -> void
    {
        this->grantor.advance(this->now);
        this->storeRecord();
        for (const auto &order : this->grantor.takeOrders()) {
            this->orders.push_back(order);
            this->grantor.onOrderEnd({order.call, RangeOrderEnd::Kind::Accepted, "state"},
                                     this->now);
        }
    }

    auto setEvacuated(const std::vector<std::string> &ids) -> void
    {
        for (auto &entry : this->entries) {
            entry.isEvacuated = std::find(ids.begin(), ids.end(), entry.id.value) != ids.end();
            entry.evacuatedAt = entry.isEvacuated ? this->now : Instant{};
        }
        this->grantor.setUpstreams(this->entries, this->now);
    }

    [[nodiscard]] auto ownerOf(KeyPosition key) const -> std::string
    {
        for (const auto &owned : this->grantor.owners(this->now)) {
            if (owned.keys.contains(key)) {
                return owned.owner.value_or(UpstreamId{}).value;
            }
        }
        return "";
    }

    [[nodiscard]] auto grantsTo(const std::string &id) const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(this->orders.begin(), this->orders.end(), [&](const RangeOrder &order) {
                return order.kind == RangeOrder::Kind::Grant && order.upstream.value == id;
            }));
    }
};

auto statusOf(const std::string &id, bool isEvacuated) -> UpstreamStatus
{
    UpstreamStatus status;
    status.id = UpstreamId{id};
    status.slots = 3;
    status.expectedLatency = milliseconds{80};
    status.isUsable = !isEvacuated;
    status.isEvacuated = isEvacuated;
    return status;
}

} // namespace

// Guards against keys without an owner for the whole move, and against an evacuated holder that is
// named as owner although its move takes longer than it may be used.
SCENARIO("RangeGrantor: given an evacuated holder, it owns its ranges until they move, for at most "
         "2.5 s",
         "[keyranges][evacuation]")
{
    EvacuatedGrantor trial;
    trial.setEvacuated({"a"});
    THEN("an owner is to be chosen for its ranges only, and it is named as owner meanwhile")
    {
        CHECK(trial.grantor.hasUnowned());
        for (const auto &view : trial.grantor.views()) {
            const auto isOfEvacuated = firstHalf.contains(view.range.first);
            CHECK(view.owner.has_value() != isOfEvacuated);
            CHECK(view.isEvacuated == isOfEvacuated);
        }
        trial.run(milliseconds{2400});
        CHECK(trial.ownerOf(7) == "a");
        trial.run(milliseconds{200});
        CHECK(trial.ownerOf(7).empty());
        CHECK(trial.ownerOf(40'000) == "b");
    }
    THEN("its grants are renewed, so that a late move still hands over what it holds")
    {
        trial.run(seconds{6});
        CHECK(trial.grantsTo("a") >= 3);
        for (const auto &order : trial.orders) {
            CHECK(order.kind == RangeOrder::Kind::Grant);
        }
    }
    THEN("a range moves by release and grant with hand-over, and no key goes back")
    {
        trial.grantor.move({RangeMove{firstHalf, UpstreamId{"c"}}}, trial.now);
        trial.run(milliseconds{100});
        CHECK(trial.ownerOf(7) == "c");
        REQUIRE(trial.orders.size() >= 2);
        CHECK(trial.orders[0].kind == RangeOrder::Kind::Release);
        CHECK(trial.orders[0].upstream == UpstreamId{"a"});
        CHECK(trial.orders[1].kind == RangeOrder::Kind::Grant);
        CHECK(trial.orders[1].handover == "state");
        CHECK(trial.orders[1].fence > trial.orders[0].fence);
        trial.grantor.move({RangeMove{secondHalf, UpstreamId{"a"}}}, trial.now);
        trial.run(seconds{3});
        CHECK(trial.ownerOf(40'000) == "b");
        CHECK(trial.grantsTo("a") == 0);
    }
    THEN("releases are ordered in the order of the moves, so that the hottest range goes first")
    {
        trial.grantor.move({RangeMove{KeyRange{20'000, 29'999}, UpstreamId{"c"}},
                            RangeMove{KeyRange{0, 9999}, UpstreamId{"b"}}},
                           trial.now);
        const auto first = trial.grantor.takeOrders();
        REQUIRE(first.size() == 2);
        CHECK(first[0].range == KeyRange{20'000, 29'999});
        CHECK(first[1].range == KeyRange{0, 9999});
    }
    THEN("it is named again at once when the evacuation is withdrawn")
    {
        trial.run(seconds{4});
        REQUIRE(trial.ownerOf(7).empty());
        trial.setEvacuated({});
        CHECK(trial.ownerOf(7) == "a");
        CHECK_FALSE(trial.grantor.hasUnowned());
    }
}

// Guards against a grant that was decided before the evacuation became known.
SCENARIO("RangeGrantor: given a target that is evacuated during a move, it isn't granted the range",
         "[keyranges][evacuation]")
{
    EvacuatedGrantor trial;
    trial.grantor.move({RangeMove{firstHalf, UpstreamId{"c"}}}, trial.now);
    const auto releases = trial.grantor.takeOrders();
    REQUIRE(releases.size() == 1);
    trial.setEvacuated({"c"});
    trial.grantor.onOrderEnd({releases[0].call, RangeOrderEnd::Kind::Accepted, ""}, trial.now);
    trial.run(seconds{1});
    CHECK(trial.grantsTo("c") == 0);
    CHECK(trial.ownerOf(7).empty());
    CHECK(trial.grantor.hasUnowned());
}

// Guards against hot keys that are moved last, and against keys that are moved from one evacuated
// upstream to another.
SCENARIO("RangePlanner: given evacuated holders, their ranges are placed elsewhere, hottest first",
         "[keyranges][evacuation]")
{
    RangePlanner planner(RangePlannerSettings{});
    Instant now{seconds{100}};
    for (auto round = 0; round < 40; ++round, now += milliseconds{300}) {
        planner.observe({{100, 3}, {30'100, 30}, {50'100, 9}}, now);
    }
    std::vector<RangeView> views{
        RangeView{KeyRange{0, 19'999}, std::nullopt, true, now, true},
        RangeView{KeyRange{20'000, 29'999}, UpstreamId{"c"}, true, now},
        RangeView{KeyRange{30'000, 39'999}, std::nullopt, true, now, true},
        RangeView{KeyRange{40'000, 49'999}, UpstreamId{"d"}, true, now},
        RangeView{KeyRange{50'000, 65'535}, std::nullopt, true, now, true}};
    GIVEN("two evacuated holders, and two upstreams elsewhere")
    {
        const std::vector<UpstreamStatus> statuses{statusOf("a", true), statusOf("b", true),
                                                   statusOf("c", false), statusOf("d", false)};
        const auto moves = planner.plan(views, statuses, now);
        THEN("all keys of the evacuated ones are placed on the others")
        {
            std::uint32_t placed = 0;
            for (const auto &move : moves) {
                CHECK((move.target == UpstreamId{"c"} || move.target == UpstreamId{"d"}));
                placed += move.range.size();
            }
            CHECK(placed == 20'000 + 10'000 + 15'536);
        }
        THEN("the range with the most requests comes first, and the one with the fewest last")
        {
            REQUIRE_FALSE(moves.empty());
            CHECK(KeyRange{30'000, 39'999}.contains(moves.front().range.first));
            CHECK(KeyRange{0, 19'999}.contains(moves.back().range.first));
        }
    }
    GIVEN("that all upstreams are evacuated")
    {
        const std::vector<UpstreamStatus> statuses{statusOf("a", true), statusOf("c", true)};
        THEN("no key is moved")
        {
            CHECK(planner.plan(views, statuses, now).empty());
        }
    }
}

// Guards against an evacuation under load in which some ranges move too late or nobody gets them.
SCENARIO("RangeGrantor: given the evacuation of half of the upstreams, the others own all keys "
         "before 2.5 s have passed",
         "[keyranges][evacuation]")
{
    RangeSimulation simulation(7, 8, {});
    simulation.setHotKeys(KeyRange{20'000, 20'199}, 100);
    simulation.run(seconds{5});
    REQUIRE(simulation.servedKeyCount() == allKeys.size());
    for (auto index = 0; index < 4; ++index) {
        simulation.setEvacuated(index, true);
    }
    CHECK(simulation.servedKeyCount() == allKeys.size());
    simulation.run(milliseconds{2500});
    CHECK(simulation.servedKeyCount() == allKeys.size());
    CHECK(simulation.ownerCountOf(allKeys) <= 4);
    for (auto index = 0; index < 4; ++index) {
        simulation.setEvacuated(index, false);
    }
    simulation.run(seconds{10});
    CHECK(simulation.servedKeyCount() == allKeys.size());
    CHECK(simulation.ownerCountOf(allKeys) > 4);
    CHECK(simulation.doubleOwnerCount() == 0);
}

// Guards against a key with two owners where evacuations begin and end while orders are lost,
// upstreams restart and grantors are replaced.
SCENARIO("RangeGrantor: given evacuations under random faults, no key ever has two owners",
         "[keyranges][evacuation]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
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
                default: {
                    const auto isEvacuated = random() % 3 != 0;
                    const auto first = static_cast<int>(random() % 2) * 4;
                    for (auto index = first; index < first + 4; ++index) {
                        simulation.setEvacuated(index, isEvacuated);
                    }
                    break;
                }
                }
                simulation.run(milliseconds{500 + random() % 2500});
            }
            simulation.setFaults({});
            simulation.setHotKeys(KeyRange{0, 0}, 0);
            for (auto index = 0; index < 8; ++index) {
                simulation.setEvacuated(index, index < 4);
            }
            // The longest grant of an earlier grantor, and the time limit for a lost upstream.
            simulation.run(seconds{20});
            THEN("no key ever had two owners, fences rose, and the others own all keys at the end")
            {
                CHECK(simulation.doubleOwnerCount() == 0);
                CHECK(simulation.lowFenceCount() == 0);
                CHECK(simulation.servedKeyCount() == allKeys.size());
                CHECK(simulation.ownerCountOf(allKeys) <= 4);
            }
        }
    }
}
