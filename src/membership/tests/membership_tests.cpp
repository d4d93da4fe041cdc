#include "membership/tests/membershipcell.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

constexpr auto removalBound = 1500ms;
constexpr auto joinBound = 5s;

auto milliseconds(Duration time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// @returns a cell of three failure domains whose daemons know each other, with reset counters
auto settledCell(int size, std::uint64_t seed) -> MembershipCell
{
    MembershipCell cell(size, 3, 3, seed);
    REQUIRE(cell.runUntil(30s, [&cell] { return cell.agrees(); }) < 30s);
    cell.run(3s);
    cell.resetCounters();
    return cell;
}

/// @returns how often daemons refuted a suspicion, except for the one with index `excepted`
auto refutations(MembershipCell &cell, int excepted) -> std::uint64_t
{
    std::uint64_t count = 0;
    for (int index = 0; index < cell.size(); ++index) {
        const auto *own = cell.at(index).view().find(MembershipCell::idOf(index));
        count += index == excepted ? 0 : own->refutation;
    }
    return count;
}

auto isRemovedEverywhere(MembershipCell &cell, int subject) -> bool
{
    for (int observer = 0; observer < cell.size(); ++observer) {
        if (observer != subject && !cell.isDead(observer)
            && cell.state(observer, subject) != MemberState::Removed) {
            return false;
        }
    }
    return true;
}

} // namespace

SCENARIO("Membership finds all daemons from a few seeds", "[membership]")
{
    for (const auto size : {2, 3, 27, 100}) {
        GIVEN(std::to_string(size) + " daemons that start at once with two seeds")
        {
            MembershipCell cell(size, 3, 2, 7);
            WHEN("they run")
            {
                const auto elapsed = cell.runUntil(20s, [&cell] { return cell.agrees(); });
                THEN("each finds all others within the bound")
                {
                    std::cout << "join: daemons=" << size << " ms=" << milliseconds(elapsed)
                              << "\n";
                    CHECK(elapsed <= joinBound);
                    CHECK(cell.falseRemovals() == 0);
                }
            }
        }
    }
}

SCENARIO("Membership removes a lost daemon from all views in time", "[membership]")
{
    for (const auto size : {3, 27, 100}) {
        GIVEN("a settled cell of " + std::to_string(size))
        {
            WHEN("one daemon is lost, with several random seeds")
            {
                auto worst = Duration{0};
                auto falseRemovals = 0;
                for (std::uint64_t seed = 1; seed <= (size > 50 ? 5U : 20U); ++seed) {
                    auto cell = settledCell(size, seed);
                    cell.kill(1);
                    worst = std::max(worst, cell.runUntil(10s, [&cell] { return cell.agrees(); }));
                    falseRemovals += cell.falseRemovals();
                }
                THEN("all others remove it within the bound and nobody else")
                {
                    std::cout << "loss: daemons=" << size << " worst_ms=" << milliseconds(worst)
                              << "\n";
                    CHECK(worst <= removalBound);
                    CHECK(falseRemovals == 0);
                }
            }
        }
    }
    GIVEN("a settled cell of 27 in three failure domains")
    {
        WHEN("a whole failure domain is lost, with 30 random seeds")
        {
            auto worst = Duration{0};
            auto falseRemovals = 0;
            for (std::uint64_t seed = 1; seed <= 30; ++seed) {
                auto cell = settledCell(27, seed);
                for (int index = 0; index < 27; index += 3) {
                    cell.kill(index);
                }
                worst = std::max(worst, cell.runUntil(10s, [&cell] { return cell.agrees(); }));
                falseRemovals += cell.falseRemovals();
            }
            THEN("all nine are removed within the bound and nobody else")
            {
                std::cout << "domain loss: worst_ms=" << milliseconds(worst) << "\n";
                CHECK(worst <= removalBound);
                CHECK(falseRemovals == 0);
            }
        }
    }
}

SCENARIO("Membership does not flap when links fail in one direction", "[membership]")
{
    GIVEN("a settled cell of 27")
    {
        auto cell = settledCell(27, 11);
        const auto isolated = MembershipCell::idOf(5);
        const auto peer = MembershipCell::idOf(6);
        const auto domainOf = [&cell](const DaemonId &id) {
            return cell.domainOf(MembershipCell::indexOf(id));
        };
        WHEN("one daemon's messages to one other are lost")
        {
            cell.faults.cut = [&](const auto &from, const auto &to) {
                return from == isolated && to == peer;
            };
            cell.run(60s);
            THEN("nobody is removed")
            {
                CHECK(cell.falseRemovals() == 0);
            }
        }
        WHEN("the messages from one failure domain to another are lost")
        {
            cell.faults.cut = [&](const auto &from, const auto &to) {
                return domainOf(from) == 0 && domainOf(to) == 1;
            };
            const auto before = refutations(cell, -1);
            cell.run(60s);
            THEN("nobody is removed or suspected: the third domain relays")
            {
                CHECK(cell.falseRemovals() == 0);
                CHECK(refutations(cell, -1) == before);
            }
        }
        WHEN("one daemon receives no messages")
        {
            cell.faults.cut = [&](const auto &, const auto &to) { return to == isolated; };
            const auto removalTime =
                cell.runUntil(10s, [&] { return isRemovedEverywhere(cell, 5); });
            cell.run(60s);
            THEN("it alone is removed, once, and it removes nobody")
            {
                CHECK(removalTime <= removalBound);
                CHECK(cell.falseRemovals() == 26);
                cell.faults.cut = nullptr;
                CHECK(cell.runUntil(10s, [&cell] { return cell.agrees(); }) <= joinBound);
            }
        }
        WHEN("the messages of one daemon to all others are lost")
        {
            cell.faults.cut = [&](const auto &from, const auto &) { return from == isolated; };
            const auto removalTime =
                cell.runUntil(10s, [&] { return isRemovedEverywhere(cell, 5); });
            cell.run(60s);
            THEN("it alone is removed, once, and it removes nobody")
            {
                CHECK(removalTime <= removalBound);
                CHECK(cell.falseRemovals() == 26);
                cell.faults.cut = nullptr;
                CHECK(cell.runUntil(10s, [&cell] { return cell.agrees(); }) <= joinBound);
            }
        }
    }
}

SCENARIO("Membership tolerates pauses of daemons", "[membership]")
{
    GIVEN("a settled cell of 27")
    {
        auto cell = settledCell(27, 13);
        WHEN("one daemon is paused for 10 s and returns")
        {
            cell.pause(4, 10s);
            const auto removalTime =
                cell.runUntil(10s, [&] { return isRemovedEverywhere(cell, 4); });
            cell.run(11s - removalTime);
            const auto rejoinTime = cell.runUntil(10s, [&cell] { return cell.agrees(); });
            THEN("it was removed alone, removes nobody and rejoins in the same incarnation")
            {
                CHECK(removalTime <= removalBound);
                CHECK(cell.falseRemovals() == 26);
                CHECK(rejoinTime <= joinBound);
            }
        }
        WHEN("one daemon is paused for 300 ms again and again")
        {
            for (int round = 0; round < 20; ++round) {
                cell.pause(4, 300ms);
                cell.run(2s);
            }
            THEN("nobody is removed")
            {
                CHECK(cell.falseRemovals() == 0);
            }
        }
        WHEN("one daemon is paused again and again while answers are on their way")
        {
            cell.faults.jitter = 35ms;
            const auto before = refutations(cell, 4);
            for (int round = 0; round < 60; ++round) {
                cell.pause(4, 230ms);
                cell.run(1010ms);
            }
            THEN("it attributes missing answers to its own pauses and suspects nobody")
            {
                CHECK(cell.falseRemovals() == 0);
                CHECK(refutations(cell, 4) == before);
            }
        }
        WHEN("all daemons are paused at once for 10 s")
        {
            for (int index = 0; index < cell.size(); ++index) {
                cell.pause(index, 10s);
            }
            cell.run(20s);
            THEN("nobody is removed")
            {
                CHECK(cell.falseRemovals() == 0);
            }
        }
    }
}

SCENARIO("Membership tolerates faulty links", "[membership]")
{
    GIVEN("a settled cell of 27 whose links reorder, duplicate and delay messages")
    {
        auto cell = settledCell(27, 17);
        cell.faults.jitter = 40ms;
        cell.faults.duplicatePercent = 20;
        WHEN("it runs for a minute with one message in a hundred lost")
        {
            cell.faults.lossPercent = 1;
            cell.run(60s);
            THEN("nobody is removed")
            {
                CHECK(cell.falseRemovals() == 0);
            }
        }
        WHEN("a daemon is lost and returns with a new incarnation")
        {
            cell.kill(7);
            const auto removalTime = cell.runUntil(10s, [&cell] { return cell.agrees(); });
            cell.restart(7);
            const auto rejoinTime = cell.runUntil(10s, [&cell] { return cell.agrees(); });
            THEN("late claims about the earlier incarnation have no effect")
            {
                CHECK(removalTime < 3s);
                CHECK(rejoinTime <= joinBound);
                cell.run(10s);
                CHECK(cell.agrees());
                CHECK(cell.at(0).view().isPresent(MembershipCell::idOf(7), Incarnation{2}));
                CHECK_FALSE(cell.at(0).view().isPresent(MembershipCell::idOf(7), Incarnation{1}));
            }
        }
    }
}

SCENARIO("Membership announces a graceful leave", "[membership]")
{
    GIVEN("a settled cell of 27")
    {
        auto cell = settledCell(27, 19);
        WHEN("one daemon leaves and ends a second later")
        {
            cell.leave(3);
            cell.run(50ms);
            THEN("all see it leaving at once, and removed after its end, without suspicion")
            {
                for (int observer = 0; observer < cell.size(); ++observer) {
                    CHECK(cell.state(observer, 3) == MemberState::Leaving);
                }
                cell.run(1s);
                cell.kill(3);
                CHECK(cell.runUntil(10s, [&cell] { return cell.agrees(); }) <= removalBound);
            }
        }
    }
}

SCENARIO("Membership uses the VM list as a hint only", "[membership]")
{
    GIVEN("two daemons without a third one as relay")
    {
        auto cell = settledCell(2, 23);
        const VmEntry own{"d0", VmRole::Daemon, VmState::Live, {}, {}, Address{"10.0.0.0:7001"}};
        WHEN("the list lacks the other daemon, which answers")
        {
            cell.at(0).onVmList(cell.now, {own});
            cell.run(10s);
            THEN("it stays")
            {
                CHECK(cell.state(0, 1) == MemberState::Alive);
            }
        }
        WHEN("the other daemon is lost but still listed")
        {
            const VmEntry other{"d1", VmRole::Daemon,          VmState::Live, {},
                                {},   Address{"10.0.0.1:7001"}};
            cell.at(0).onVmList(cell.now, {own, other});
            cell.kill(1);
            cell.run(10s);
            THEN("the remaining daemon removes it only once the list lacks it")
            {
                CHECK(cell.state(0, 1) != MemberState::Removed);
                cell.at(0).onVmList(cell.now, {own});
                cell.run(1500ms);
                CHECK(cell.state(0, 1) == MemberState::Removed);
            }
        }
    }
}

SCENARIO("Membership stays within its traffic limit", "[membership][cost]")
{
    constexpr double boundBytes = 26.0 * 1024;
    for (const auto size : {27, 100, 300}) {
        GIVEN("a settled cell of " + std::to_string(size))
        {
            auto cell = settledCell(size, 29);
            WHEN("it runs for 20 s, then loses a daemon")
            {
                const auto begin = std::chrono::steady_clock::now();
                cell.run(20s);
                const std::chrono::duration<double, std::micro> spent =
                    std::chrono::steady_clock::now() - begin;
                std::uint64_t bytes = 0;
                std::uint64_t messages = 0;
                for (int index = 0; index < size; ++index) {
                    bytes = std::max(bytes, cell.trafficOf(index).bytes);
                    messages = std::max(messages, cell.trafficOf(index).messages);
                }
                cell.resetCounters();
                cell.kill(1);
                cell.run(5s);
                std::uint64_t lossBytes = 0;
                for (int index = 0; index < size; ++index) {
                    lossBytes = std::max(lossBytes, cell.trafficOf(index).bytes);
                }
                THEN("no daemon sends and receives more than the bound")
                {
                    std::cout << "cost: daemons=" << size << " bytes_a_second=" << bytes / 20
                              << " messages_a_second=" << messages / 20
                              << " bytes_a_second_at_loss=" << lossBytes / 5
                              << " microseconds_a_second=" << spent.count() / 20 / size << "\n";
                    CHECK(static_cast<double>(bytes) / 20 <= boundBytes);
                    CHECK(static_cast<double>(lossBytes) / 5 <= boundBytes);
                }
            }
        }
    }
}
