#include "edge/tests/leavingcell.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// After this time an upstream that has left may get no request.
constexpr Duration drainTime = seconds{2};
constexpr auto daemonCount = 10;
constexpr auto upstreamCount = 12;

/// @param sendInterval between two requests of a daemon
/// @param offset of the refusal
/// @returns whether requests were sent without a permit
auto checkRefusal(const StoreRefusal &refusal, Duration sendInterval, Duration offset,
                  Duration answerDelay) -> bool
{
    LeavingCell cell{daemonCount, upstreamCount};
    cell.setSendInterval(sendInterval);
    cell.run(seconds{5});
    REQUIRE(cell.hasGrantor());
    // Each daemon has read the upstreams once, some time before the refusal.
    cell.silenceGrantors(seconds{2});
    cell.run(seconds{8} + offset);
    REQUIRE(cell.hasGrantor());
    cell.resetCounts();
    // The grantor knows that these leave; a daemon that isn't grantor doesn't.
    cell.leave(upstreamCount - 1, LeaveKind::Removed);
    cell.leave(upstreamCount - 2, LeaveKind::Draining);
    cell.run(seconds{1});
    cell.store.answerDelay = answerDelay;
    cell.refuseDaemons(refusal);
    auto left = 0;
    for (auto passed = Duration{0}; passed < refusal.time; passed += milliseconds{250}) {
        cell.run(milliseconds{20});
        if (left < upstreamCount / 3) {
            cell.leave(left, left % 2 == 0 ? LeaveKind::Removed : LeaveKind::Draining);
            ++left;
        }
        cell.run(milliseconds{230});
    }
    cell.run(seconds{6});
    INFO((refusal.kind == RefusalKind::Silent ? "silent" : "reset")
         << ", " << refusal.reachingCount << " daemons reach the store"
         << (refusal.isOtherGrantorReaching ? " and another service's grantor" : "")
         << ", refused for " << refusal.time / milliseconds{1} << " ms, offset "
         << offset / milliseconds{1} << " ms, answers after " << answerDelay / milliseconds{1}
         << " ms: " << cell.worstLeave() << ", " << cell.sentDirectly() << " of "
         << cell.sentCount() << " without a permit, " << cell.unsentCount() << " not sent");
    CHECK(cell.longestUseAfterLeave() <= drainTime);
    CHECK(cell.hasGrantor());
    return cell.sentDirectly() > 0;
}

/// Checks refusals of several lengths.
/// @returns in how many of them requests were sent without a permit
auto checkRefusals(int reachingCount, bool isOtherGrantorReaching, Duration sendInterval) -> int
{
    auto directCount = 0;
    for (const auto kind : {RefusalKind::Silent, RefusalKind::Reset}) {
        for (const auto answerMs : {0, 60}) {
            for (const auto refusalMs : {1500, 2000, 3000}) {
                for (const auto offsetMs : {0, 130, 390}) {
                    const StoreRefusal refusal{kind, milliseconds{refusalMs}, reachingCount,
                                               isOtherGrantorReaching};
                    directCount += checkRefusal(refusal, sendInterval, milliseconds{offsetMs},
                                                milliseconds{answerMs})
                                       ? 1
                                       : 0;
                }
            }
        }
    }
    return directCount;
}

} // namespace

// Guards against requests without a permit to upstreams that have left while the store refused the
// daemons, whose grantor was cut off.
SCENARIO("UpstreamWatch: given a store that refuses the daemons until they have no grantor, "
         "upstreams that leave meanwhile aren't used any more within the time allowed",
         "[edge][leaves][longrefusal][nograntor]")
{
    // With twelve upstreams, most of them get no request of a certain daemon within the drain time.
    for (const auto intervalMs : {40, 300}) {
        CHECK(checkRefusals(0, true, milliseconds{intervalMs}) > 0);
        CHECK(checkRefusals(1, true, milliseconds{intervalMs}) > 0);
    }
}

// Guards against permits of a grantor that is elected after a refusal, and has read the upstreams
// long before.
SCENARIO("UpstreamWatch: given a store that refuses the daemons, a grantor that is elected then "
         "doesn't use upstreams that have left meanwhile beyond the time allowed",
         "[edge][leaves][longrefusal][newgrantor]")
{
    checkRefusals(0, false, milliseconds{20});
    checkRefusals(1, false, milliseconds{20});
}

// Guards against callers who are refused in an outage that all daemons see, in which the grantor is
// lost, too: the entries are old then, and the upstreams stay.
SCENARIO("UpstreamWatch: given an outage of the store in which the grantor is lost, upstreams that "
         "have been read long before stay in use",
         "[edge][leaves][longrefusal][outageuse]")
{
    // A daemon stops watching 3 s after its last request without a permit, and trusts the entries
    // anew only some time after the next one.
    for (const auto intervalMs : {40, 300, 1000}) {
        LeavingCell cell{daemonCount, upstreamCount};
        cell.setSendInterval(milliseconds{intervalMs});
        cell.run(seconds{5});
        REQUIRE(cell.hasGrantor());
        cell.silenceGrantors(seconds{4});
        cell.run(seconds{12});
        REQUIRE(cell.hasGrantor());
        cell.stopStore();
        cell.killGrantor();
        cell.run(seconds{3});
        cell.resetCounts();
        cell.run(seconds{5});
        INFO("a request each " << intervalMs << " ms: " << cell.sentDirectly() << " sent, "
                               << cell.unsentCount() << " not sent");
        CHECK(cell.sentDirectly() > 0);
        CHECK(cell.unsentCount() == 0);
    }
}
