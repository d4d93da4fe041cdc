#include "edge/tests/leavingcell.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Half of the time after which an upstream that has left may get no request.
constexpr Duration leaveBound = seconds{1};
constexpr auto daemonCount = 3;
constexpr auto stayingCount = 8;
constexpr auto leavingCount = 50;
constexpr Duration leaveEvery = milliseconds{250};

/// Lets one upstream after another leave, both ways in turn, and causes trouble meanwhile.
struct LeaveTrial
{
    LeavingCell cell{daemonCount, stayingCount + leavingCount};
    int nextLeaving = stayingCount;

    LeaveTrial()
    {
        this->cell.run(seconds{5});
        REQUIRE(this->cell.hasGrantor());
        this->cell.resetCounts();
    }

    /// @param offset of the leaves, less than leaveEvery
    auto leaveFor(Duration time, Duration offset = {}) -> void
    {
        for (auto passed = Duration{0}; passed < time; passed += leaveEvery) {
            this->cell.run(offset);
            const auto kind = this->nextLeaving % 2 == 0 ? LeaveKind::Removed : LeaveKind::Draining;
            this->cell.leave(this->nextLeaving++, kind);
            this->cell.run(leaveEvery - offset);
        }
    }

    auto check() -> void
    {
        this->cell.run(seconds{3});
        INFO(this->cell.worstLeave());
        CHECK(this->cell.longestUseAfterLeave() <= leaveBound);
        CHECK(this->cell.sentCount() > 0);
    }
};

const std::vector<int> offsetsMs{0, 50, 100, 150, 200};

} // namespace

// Guards against permits for an upstream that has removed its entry some seconds after an outage of
// the store.
SCENARIO("UpstreamWatch: given an outage of the store, leaves are in force in half of the time "
         "allowed",
         "[edge][leaves]")
{
    for (const auto offsetMs : offsetsMs) {
        LeaveTrial trial;
        const milliseconds offset{offsetMs};
        trial.leaveFor(milliseconds{1500}, offset);
        trial.cell.stopStore();
        trial.cell.run(seconds{2} + offset);
        trial.cell.startStore();
        trial.leaveFor(seconds{8}, offset);
        trial.check();
    }
}

// Guards against permits for an upstream that has left while the grantor claims its place again.
SCENARIO("UpstreamWatch: given a restored store, leaves are in force in half of the time allowed",
         "[edge][leaves][restored]")
{
    for (const auto offsetMs : offsetsMs) {
        LeaveTrial trial;
        const milliseconds offset{offsetMs};
        trial.cell.store.keepCopy();
        trial.cell.run(seconds{3});
        trial.cell.stopStore();
        trial.cell.run(seconds{2} + offset);
        trial.cell.restoreStore(milliseconds{1500});
        trial.leaveFor(seconds{9}, offset);
        trial.check();
    }
}

// Guards against requests to an upstream that has left around the loss of the grantor.
SCENARIO("UpstreamWatch: given a change of grantors, leaves are in force in half of the time "
         "allowed",
         "[edge][leaves]")
{
    for (const auto offsetMs : offsetsMs) {
        LeaveTrial trial;
        const milliseconds offset{offsetMs};
        trial.leaveFor(milliseconds{1000}, offset);
        trial.cell.killGrantor();
        trial.leaveFor(seconds{5}, offset);
        trial.cell.killGrantor();
        trial.leaveFor(seconds{5}, offset);
        trial.check();
    }
}

// Guards against permits of a new grantor that has read the upstreams' entries long before.
SCENARIO("UpstreamWatch: given a grantor that gives up its place, its successor grants no upstream "
         "that has left before",
         "[edge][leaves]")
{
    for (const auto offsetMs : offsetsMs) {
        LeaveTrial trial;
        const milliseconds offset{offsetMs};
        trial.cell.silenceGrantors(seconds{1});
        trial.cell.run(seconds{1});
        trial.cell.sendOnlyFromGrantor();
        trial.leaveFor(seconds{7}, offset);
        trial.cell.store.answerDelay = milliseconds{200};
        trial.cell.resignGrantor();
        trial.leaveFor(seconds{1}, offset);
        CHECK(trial.cell.hasGrantor());
        CHECK(trial.cell.leftUpstreamsInUse(leaveBound) == 0);
        trial.check();
    }
}

// Guards against requests without a permit to an upstream that has left.
SCENARIO("UpstreamWatch: given daemons that hear no grantor, leaves are in force in half of the "
         "time allowed",
         "[edge][leaves]")
{
    for (const auto offsetMs : offsetsMs) {
        LeaveTrial trial;
        const milliseconds offset{offsetMs};
        trial.leaveFor(milliseconds{1000}, offset);
        trial.cell.silenceGrantors(seconds{8});
        trial.leaveFor(seconds{8}, offset);
        trial.leaveFor(seconds{3}, offset);
        CHECK(trial.cell.sentDirectly() > 0);
        trial.check();
    }
}

// Guards against a single failed call that hides the leaves of the next seconds.
SCENARIO("UpstreamWatch: given a store that loses answers or is slow, leaves are in force in half "
         "of the time allowed",
         "[edge][leaves]")
{
    for (const auto offsetMs : offsetsMs) {
        const milliseconds offset{offsetMs};
        GIVEN("lost answers, offset " + std::to_string(offsetMs))
        {
            LeaveTrial trial;
            trial.cell.store.lostAnswerShare = 0.2;
            trial.cell.run(seconds{4});
            trial.cell.store.lostAnswerShare = 0;
            trial.leaveFor(seconds{8}, offset);
            trial.check();
        }
        GIVEN("slow answers, offset " + std::to_string(offsetMs))
        {
            LeaveTrial trial;
            trial.cell.store.answerDelay = milliseconds{150};
            trial.leaveFor(seconds{4}, offset);
            trial.cell.store.answerDelay = milliseconds{0};
            trial.leaveFor(seconds{4}, offset);
            trial.check();
        }
    }
}

// Guards against refusals while upstreams whose entries have expired in an outage register again.
SCENARIO("UpstreamWatch: given entries that have expired in an outage, their upstreams are used "
         "until they can have registered again",
         "[edge][leaves]")
{
    LeavingCell cell{daemonCount, stayingCount};
    cell.run(seconds{5});
    REQUIRE(cell.hasGrantor());
    cell.store.areLeasesPaused = true;
    cell.stopStore();
    cell.run(seconds{1});
    for (auto number = 0; number < stayingCount; ++number) {
        cell.loseEntry(number, milliseconds{2500});
    }
    cell.run(seconds{1});
    cell.startStore();
    cell.resetCounts();
    cell.run(seconds{4});
    CHECK(cell.sentCount() > 0);
    CHECK(cell.unsentCount() == 0);
}

// Guards against requests to an upstream that has left while the answer that tells so is lost, and
// other calls are answered.
SCENARIO("UpstreamWatch: given lost answers to the watch alone, leaves are in force in the time "
         "allowed",
         "[edge][leaves][lostwatch]")
{
    constexpr Duration drainTime = seconds{2};
    for (const auto offsetMs : offsetsMs) {
        LeaveTrial trial;
        const milliseconds offset{offsetMs};
        for (auto loss = 0; loss < 4; ++loss) {
            trial.leaveFor(milliseconds{1000}, offset);
            trial.cell.store.lostWatchPrefix = "upstreams/";
            trial.leaveFor(leaveEvery, offset);
            trial.cell.store.lostWatchPrefix.clear();
            trial.leaveFor(seconds{2}, offset);
            CHECK(trial.cell.leftUpstreamsInUse(drainTime) == 0);
        }
        trial.cell.run(seconds{3});
        INFO(trial.cell.worstLeave());
        CHECK(trial.cell.longestUseAfterLeave() <= drainTime);
    }
}

// Guards against an upstream that has left while the store refused the grantor alone, and is taken
// for one whose entry has expired.
SCENARIO("UpstreamWatch: given a store that refuses the grantor for 0.9 s, an upstream that leaves "
         "meanwhile isn't used any more within the time allowed",
         "[edge][leaves]")
{
    constexpr Duration drainTime = seconds{2};
    for (const auto offsetMs : offsetsMs) {
        LeavingCell cell{daemonCount, stayingCount};
        cell.run(seconds{5} + milliseconds{offsetMs});
        REQUIRE(cell.hasGrantor());
        cell.refuseGrantor(milliseconds{900});
        cell.run(milliseconds{100});
        cell.leave(0, LeaveKind::Removed);
        cell.run(drainTime + milliseconds{10});
        REQUIRE(cell.hasGrantor());
        CHECK(cell.leftUpstreamsInUse(drainTime) == 0);
    }
}

// Guards against an upstream that has left while the store refused the grantor for so long that
// entries might have expired in an outage.
SCENARIO(
    "UpstreamWatch: given a store that refuses the grantor for seconds, an upstream that leaves "
    "meanwhile isn't used any more within the time allowed",
    "[edge][leaves][longrefusal]")
{
    constexpr Duration drainTime = seconds{2};
    for (const auto refusalMs : {1600, 2000, 3000}) {
        for (const auto leaveMs : {100, 600, 1200}) {
            for (const auto offsetMs : offsetsMs) {
                LeavingCell cell{daemonCount, stayingCount};
                cell.run(seconds{5} + milliseconds{offsetMs});
                REQUIRE(cell.hasGrantor());
                cell.refuseGrantor(milliseconds{refusalMs});
                cell.run(milliseconds{leaveMs});
                cell.leave(0, LeaveKind::Removed);
                cell.run(drainTime + milliseconds{10});
                INFO("refused for " << refusalMs << " ms, left after " << leaveMs << " ms, offset "
                                    << offsetMs);
                CHECK(cell.leftUpstreamsInUse(drainTime) == 0);
                cell.run(seconds{3});
                CHECK(cell.longestUseAfterLeave() <= drainTime);
            }
        }
    }
}

// Guards against several upstreams that leave together while the store refuses their grantor, and
// are taken for ones whose entries have expired.
SCENARIO(
    "UpstreamWatch: given a store that refuses the grantor for 2 s, upstreams that leave together "
    "meanwhile aren't used any more within the time allowed",
    "[edge][leaves][longrefusal]")
{
    constexpr Duration drainTime = seconds{2};
    for (const auto offsetMs : offsetsMs) {
        LeavingCell cell{daemonCount, stayingCount};
        cell.run(seconds{5} + milliseconds{offsetMs});
        REQUIRE(cell.hasGrantor());
        cell.refuseGrantor(seconds{2});
        cell.run(milliseconds{100});
        for (auto number = 0; number < stayingCount / 2; ++number) {
            cell.leave(number, LeaveKind::Removed);
        }
        cell.run(drainTime + milliseconds{10});
        CHECK(cell.leftUpstreamsInUse(drainTime) == 0);
        cell.run(seconds{3});
        CHECK(cell.longestUseAfterLeave() <= drainTime);
    }
}

// Guards against live upstreams that are dropped after an outage in which only some entries expire.
SCENARIO(
    "UpstreamWatch: given a few entries that have expired in an outage, their upstreams are kept "
    "while they answer",
    "[edge][leaves][longrefusal]")
{
    LeavingCell cell{daemonCount, stayingCount};
    cell.run(seconds{5});
    REQUIRE(cell.hasGrantor());
    cell.store.areLeasesPaused = true;
    cell.stopStore();
    cell.run(seconds{1});
    cell.loseEntry(0, milliseconds{2500});
    cell.loseEntry(1, milliseconds{2500});
    cell.run(seconds{1});
    cell.startStore();
    cell.resetCounts();
    cell.run(milliseconds{1400});
    CHECK(cell.isGrantorUsing(0));
    CHECK(cell.isGrantorUsing(1));
    cell.run(seconds{2});
    CHECK(cell.unsentCount() == 0);
    CHECK(cell.isGrantorUsing(0));
}
