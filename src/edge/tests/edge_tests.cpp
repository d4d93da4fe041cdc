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

SCENARIO("UpstreamDirectory follows the store except around outages", "[edge]")
{
    const Instant start{seconds{100}};
    UpstreamDirectory directory(UpstreamDirectorySettings{});
    directory.update(entries({1, 2, 3, 4, 5, 6}), UpstreamReading{}, start);
    GIVEN("a store without failed calls")
    {
        directory.update(entries({1, 2, 3, 4, 5}), UpstreamReading{}, start);
        THEN("an entry that the store no longer shows is dropped at once")
        {
            CHECK(directory.entries().size() == 5);
        }
    }
    const auto answer = [&directory](int number, LeaveHint hint, Instant at) {
        const UpstreamProcess process{UpstreamId{"u" + std::to_string(number)}, Incarnation{}};
        return directory.onLeaveHint(process, hint, at, at);
    };
    GIVEN("an entry that expired in an outage of the store, of an upstream that answers")
    {
        const UpstreamReading reading{start, start - seconds{1}, start};
        answer(6, LeaveHint::Stays, start);
        directory.update(entries({1, 2, 3, 4, 5}), reading, start);
        CHECK(directory.entries().size() == 6);
        THEN("it is kept if it appears again in time")
        {
            directory.update(entries({1, 2, 3, 4, 5, 6}), reading, start + seconds{1});
            directory.advance(start + seconds{10});
            CHECK(directory.entries().size() == 6);
        }
        THEN("it is dropped if it doesn't appear again in time")
        {
            answer(6, LeaveHint::Stays, start + seconds{1});
            directory.advance(start + seconds{2});
            CHECK(directory.entries().size() == 6);
            directory.advance(start + seconds{3});
            CHECK(directory.entries().size() == 5);
        }
        THEN("it is dropped some time after its last answer")
        {
            directory.advance(start + milliseconds{1590});
            CHECK(directory.entries().size() == 6);
            directory.advance(start + milliseconds{1600});
            CHECK(directory.entries().size() == 5);
        }
        THEN("it is dropped at once if an answer hints that it leaves")
        {
            CHECK(answer(6, LeaveHint::MayLeave, start + milliseconds{100}));
            CHECK(directory.entries().size() == 5);
        }
        THEN("it is dropped at once if another upstream has its address")
        {
            auto next = entries({1, 2, 3, 4, 5, 7});
            next.back().address = Address{"10.0.0.6:80"};
            directory.update(next, reading, start + milliseconds{100});
            CHECK(directory.entries().size() == 6);
            CHECK(directory.entries().back().id.value == "u7");
        }
    }
    GIVEN("an entry that is removed seconds after the store has come back")
    {
        // Guards against requests to an upstream that has left while its entry is taken for one
        // that expired in the outage: such an entry would be back by then.
        for (auto sinceFailure = milliseconds{2000}; sinceFailure < seconds{5};
             sinceFailure += milliseconds{100}) {
            UpstreamDirectory after(UpstreamDirectorySettings{});
            const UpstreamReading reading{start + milliseconds{5}, start, start + milliseconds{5}};
            after.update(entries({1, 2, 3, 4, 5, 6}), reading, start + milliseconds{10});
            after.update(entries({1, 2, 3, 4, 5}), reading, start + sinceFailure);
            INFO(sinceFailure.count());
            CHECK(after.entries().size() == 5);
        }
    }
    GIVEN("answers that hint that an upstream leaves, while the store isn't reached")
    {
        directory.confirm(start);
        const auto isDraining = [&directory] { return directory.entries().front().isDraining; };
        CHECK_FALSE(answer(1, LeaveHint::MayLeave, start + milliseconds{500}));
        THEN("it gets no requests some time after it was last known to stay")
        {
            CHECK(directory.nextDue() == start + milliseconds{1600});
            directory.advance(start + milliseconds{1600});
            CHECK(isDraining());
            AND_THEN("a later answer without a hint ends that")
            {
                CHECK(answer(1, LeaveHint::Stays, start + seconds{2}));
                CHECK_FALSE(isDraining());
            }
            AND_THEN("a later list of the store ends that")
            {
                CHECK(directory.confirm(start + seconds{2}));
                CHECK_FALSE(isDraining());
            }
        }
        THEN("an answer to an earlier request refutes nothing")
        {
            directory.onLeaveHint(UpstreamProcess{UpstreamId{"u1"}, Incarnation{}},
                                  LeaveHint::Stays, start + milliseconds{400},
                                  start + milliseconds{600});
            directory.advance(start + milliseconds{1600});
            CHECK(isDraining());
        }
        THEN("an answer before it was due to be held refutes it")
        {
            answer(1, LeaveHint::Stays, start + seconds{1});
            directory.advance(start + seconds{10});
            CHECK_FALSE(isDraining());
        }
    }
    GIVEN("half of the entries missing at once")
    {
        directory.update(entries({1, 2, 3}), UpstreamReading{}, start);
        THEN("it counts as an outage, and they are kept")
        {
            CHECK(directory.entries().size() == 6);
        }
    }
    GIVEN("an upstream whose entry was listed after the outage")
    {
        const UpstreamReading reading{start - milliseconds{900}, start - seconds{1},
                                      start - milliseconds{900}};
        directory.update(entries({1, 2, 3, 4, 5, 6}), reading, start - milliseconds{900});
        directory.update(entries({1, 2, 3, 4, 5}), reading, start);
        THEN("its removal is a leave, and it is dropped at once")
        {
            CHECK(directory.entries().size() == 5);
        }
    }
    GIVEN("an entry that is missed some time after the outage has ended")
    {
        const UpstreamReading reading{start, start - seconds{2}, start - seconds{2}};
        answer(6, LeaveHint::Stays, start);
        directory.update(entries({1, 2, 3, 4, 5}), reading, start);
        CHECK(directory.entries().size() == 6);
        THEN("the time to register again counts from the end of the outage")
        {
            directory.advance(start + milliseconds{400});
            CHECK(directory.entries().size() == 5);
        }
    }
    GIVEN("a draining upstream whose entry disappears around a failed store call")
    {
        auto draining = entries({1, 2, 3, 4, 5, 6});
        draining.back().isDraining = true;
        const UpstreamReading reading{start, start, start};
        directory.update(draining, reading, start);
        directory.update(entries({1, 2, 3, 4, 5}), reading, start);
        THEN("it is dropped at once")
        {
            CHECK(directory.entries().size() == 5);
        }
    }
}

// Guards against requests to upstreams that have left, after the store has come back from a copy in
// which they haven't.
SCENARIO("UpstreamDirectory: given an upstream that has started to drain, it isn't ready again",
         "[edge][restored]")
{
    const Instant start{seconds{100}};
    UpstreamDirectory directory(UpstreamDirectorySettings{});
    auto draining = entries({1, 2, 3});
    draining[0].isDraining = true;
    directory.update(entries({1, 2, 3}), UpstreamReading{}, start);
    directory.update(draining, UpstreamReading{}, start + seconds{1});
    GIVEN("a store that shows it as ready again")
    {
        directory.update(entries({1, 2, 3}), UpstreamReading{}, start + seconds{2});
        CHECK(directory.entries()[0].isDraining);
    }
    GIVEN("a store that shows it as ready again after it had gone")
    {
        directory.update(entries({2, 3}), UpstreamReading{}, start + seconds{2});
        directory.update(entries({1, 2, 3}), UpstreamReading{}, start + seconds{3});
        REQUIRE(directory.entries().size() == 3);
        CHECK(directory.entries()[0].isDraining);
    }
    GIVEN("its next incarnation")
    {
        auto restarted = entries({1, 2, 3});
        restarted[0].incarnation = Incarnation{7};
        directory.update(restarted, UpstreamReading{}, start + seconds{2});
        CHECK_FALSE(directory.entries()[0].isDraining);
    }
}

// Guards against requests to upstreams that have stated that they leave, while the store shows them
// as ready.
SCENARIO("UpstreamDirectory: given an upstream that has stated that it leaves, it drains until it "
         "has another incarnation",
         "[edge][leaving]")
{
    const Instant start{seconds{100}};
    UpstreamDirectory directory(UpstreamDirectorySettings{});
    directory.update(entries({1, 2, 3}), UpstreamReading{}, start);
    const auto id = entries({1})[0].id;
    CHECK(directory.setLeaving(id, Incarnation{0}, start));
    CHECK(directory.entries()[0].isDraining);
    CHECK_FALSE(directory.setLeaving(id, Incarnation{0}, start));
    GIVEN("a store that shows it as ready, also after a long time without changes")
    {
        directory.update(entries({1, 2, 3}), UpstreamReading{}, start + seconds{300});
        CHECK(directory.entries()[0].isDraining);
    }
    GIVEN("a store that shows it as ready after its entry had gone for a while")
    {
        directory.update(entries({2, 3}), UpstreamReading{}, start + seconds{1});
        directory.update(entries({1, 2, 3}), UpstreamReading{}, start + seconds{50});
        CHECK(directory.entries()[0].isDraining);
    }
    GIVEN("its next incarnation")
    {
        auto restarted = entries({1, 2, 3});
        restarted[0].incarnation = Incarnation{7};
        directory.update(restarted, UpstreamReading{}, start + seconds{1});
        CHECK_FALSE(directory.entries()[0].isDraining);
        THEN("a late statement of the earlier one changes nothing")
        {
            CHECK_FALSE(directory.setLeaving(id, Incarnation{0}, start + seconds{2}));
            CHECK_FALSE(directory.entries()[0].isDraining);
        }
        THEN("a store that shows the earlier one once more shows it as draining")
        {
            directory.update(entries({1, 2, 3}), UpstreamReading{}, start + seconds{2});
            CHECK(directory.entries()[0].isDraining);
        }
    }
    GIVEN("an address")
    {
        const auto address = entries({1})[0].address;
        CHECK(directory.incarnationOf(id, address) == Incarnation{0});
        CHECK(!directory.incarnationOf(id, entries({2})[0].address));
    }
}

SCENARIO("metricsText shows the daemon's own metrics", "[edge]")
{
    EdgeMetrics metrics;
    metrics.grantedServices = 2;
    metrics.grantedBusiestPercent = 119;
    const auto text = metricsText(CounterSnapshot{}, {}, metrics);
    CHECK(text.find("gooseberrywall_limited_upstreams 0\n") != std::string::npos);
    for (const auto *name :
         {"leaving_upstreams", "paused_upstreams", "granted_leaving_upstreams",
          "granted_paused_upstreams", "held_by_leaving_total", "held_by_pause_total"}) {
        CHECK(text.find("gooseberrywall_" + std::string(name) + " 0\n") != std::string::npos);
    }
    CHECK(text.find("gooseberrywall_granted_services 2\n") != std::string::npos);
    CHECK(text.find("gooseberrywall_granted_busiest_upstream_percent 119\n") != std::string::npos);
}
