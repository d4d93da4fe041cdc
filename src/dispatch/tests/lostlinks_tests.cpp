#include "dispatch/tests/brokersimulation.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t vmCount = 27;
constexpr std::size_t upstreamCount = 24;
/// Requests of 80 ms that these upstreams, of three slots each, serve per second.
constexpr double capacity = 900;

/// Callers that come without a pause, equally at all VMs; nobody retries.
/// @param load share of the capacity
auto simulationOf(bool isSharded, double load = 0.6) -> BrokerSimulation
{
    RequestClass requests{load * capacity};
    requests.retriesOnce = false;
    BrokerSimulation simulation(1, std::vector<double>(upstreamCount, 1.0), {requests}, isSharded);
    simulation.setVms(vmCount);
    simulation.run(seconds{5});
    simulation.resetCounts();
    return simulation;
}

} // namespace

// Guards against one VM's lost links that block upstreams for all others, and against callers of
// VMs without links that are served far worse than the others (issue 33, second matter).
SCENARIO("SlotBroker: given VMs that lose their links to all upstreams, others forward for them",
         "[dispatch][lostlinks]")
{
    const auto isSharded = GENERATE(false, true);
    const auto kind = GENERATE(LostLinks::Refused, LostLinks::ConnectTimeout, LostLinks::Hanging,
                               LostLinks::PartlyRefused, LostLinks::PartlyHanging);
    const auto lost = GENERATE(8U, 24U);
    CAPTURE(isSharded, static_cast<int>(kind), lost);
    auto simulation = simulationOf(isSharded);
    simulation.run(seconds{4});
    const auto before = simulation.firstTries(false).share();
    CHECK(before >= 0.99);
    simulation.loseLinks(lost, kind);
    simulation.run(seconds{1});
    simulation.resetCounts();
    simulation.run(seconds{11});
    const auto others = simulation.firstTries(false);
    const auto isolated = simulation.firstTries(true);
    CAPTURE(others.share(), isolated.share(), simulation.forwarded());
    CHECK(others.share() >= 0.97 * before);
    CHECK(isolated.share() >= 2.0 / 3 * others.share());
    THEN("no VM forwards more than it may, and no path is used that is known as lost")
    {
        CHECK(simulation.maxForwarded() <= EntryPathsSettings{}.forwarderLimit);
        CHECK(simulation.directSendsOnLostPaths() == 0);
        CHECK(simulation.maxOvercommit() <= 0);
    }
    THEN("the VMs send their requests themselves when their links are back")
    {
        simulation.restoreLinks();
        simulation.run(seconds{1});
        simulation.resetCounts();
        simulation.run(seconds{5});
        CHECK(simulation.forwarded() == 0);
        CHECK(simulation.firstTries(false).share() >= 0.97 * before);
    }
}

SCENARIO("SlotBroker: given VMs without links that don't state it, failed connections suffice",
         "[dispatch][lostlinks]")
{
    const auto isSharded = GENERATE(false, true);
    const auto kind = GENERATE(LostLinks::Refused, LostLinks::ConnectTimeout,
                               LostLinks::PartlyRefused, LostLinks::PartlyHanging);
    const auto lost = GENERATE(8U, 24U);
    CAPTURE(isSharded, static_cast<int>(kind), lost);
    auto simulation = simulationOf(isSharded);
    simulation.loseLinks(lost, kind, seconds{60});
    simulation.run(seconds{1});
    simulation.resetCounts();
    simulation.run(seconds{11});
    const auto others = simulation.firstTries(false);
    const auto isolated = simulation.firstTries(true);
    CAPTURE(others.share(), isolated.share(), simulation.forwarded());
    CHECK(others.share() >= 0.95);
    CHECK(isolated.share() >= 2.0 / 3 * others.share());
    CHECK(simulation.directSendsOnLostPaths() == 0);
}

// Guards against upstreams that are blocked for all VMs where each is unreachable for some.
SCENARIO("SlotBroker: given upstreams that some VMs don't reach, other VMs use or forward to them",
         "[dispatch][lostlinks]")
{
    const auto isSharded = GENERATE(false, true);
    CAPTURE(isSharded);
    auto simulation = simulationOf(isSharded);
    simulation.losePaths(0.3);
    // Each VM finds each lost path with a request that waits for the connect time-out.
    simulation.run(seconds{10});
    simulation.resetCounts();
    simulation.run(seconds{10});
    CHECK(simulation.firstTries(false).share() >= 0.95);
    CHECK(simulation.maxForwarded() <= EntryPathsSettings{}.forwarderLimit);
}

// Guards against forwarded requests that lose to others where the capacity isn't enough for all.
SCENARIO("SlotBroker: given VMs without links under overload, all VMs are served alike",
         "[dispatch][lostlinks][overload]")
{
    const auto isSharded = GENERATE(false, true);
    const auto load = GENERATE(0.9, 1.5);
    const auto lost = GENERATE(8U, 24U);
    CAPTURE(isSharded, load, lost);
    auto simulation = simulationOf(isSharded, load);
    simulation.run(seconds{4});
    const auto before = simulation.firstTries(false).share();
    simulation.loseLinks(lost, LostLinks::Hanging);
    simulation.run(seconds{1});
    simulation.resetCounts();
    simulation.run(seconds{11});
    const auto others = simulation.firstTries(false);
    const auto isolated = simulation.firstTries(true);
    CHECK(isolated.share() >= 2.0 / 3 * others.share());
    CHECK(others.share() + isolated.share() >= 0.9 * 2 * before);
}

SCENARIO("SlotBroker: given a forwarder that freezes, it gets no more requests after a second",
         "[dispatch][lostlinks]")
{
    const auto isSharded = GENERATE(false, true);
    const auto lost = GENERATE(8U, 24U);
    CAPTURE(isSharded, lost);
    auto simulation = simulationOf(isSharded);
    simulation.loseLinks(lost, LostLinks::ConnectTimeout);
    simulation.run(seconds{2});
    simulation.resetCounts();
    simulation.freezeVm(vmCount - 1);
    simulation.run(seconds{1});
    CHECK(simulation.firstTries(true).share() >= 2.0 / 3 * simulation.firstTries(false).share());
    simulation.resetCounts();
    simulation.run(seconds{8});
    CHECK(simulation.firstTries(true).share() >= 0.97);
    CHECK(simulation.firstTries(false).share() >= 0.95);
}

SCENARIO("SlotBroker: given a new grantor while most VMs have no links, it finds those that have",
         "[dispatch][lostlinks]")
{
    const auto isSharded = GENERATE(false, true);
    CAPTURE(isSharded);
    auto simulation = simulationOf(isSharded);
    simulation.loseLinks(24, LostLinks::ConnectTimeout);
    simulation.run(seconds{2});
    simulation.replaceBroker();
    simulation.run(milliseconds{500});
    simulation.resetCounts();
    simulation.run(seconds{5});
    CHECK(simulation.firstTries(false).share() >= 0.95);
    CHECK(simulation.firstTries(true).share() >= 2.0 / 3 * simulation.firstTries(false).share());
}

// Guards against requests that wait until their deadline for a daemon that could forward them.
SCENARIO("SlotBroker: given no VM with links, requests are refused at once",
         "[dispatch][lostlinks]")
{
    const auto isSharded = GENERATE(false, true);
    CAPTURE(isSharded);
    auto simulation = simulationOf(isSharded);
    simulation.loseLinks(vmCount, LostLinks::Hanging);
    simulation.run(seconds{2});
    simulation.resetCounts();
    simulation.run(seconds{4});
    const auto tries = simulation.firstTries(true);
    CHECK(tries.unreachable == tries.asked);
    CHECK(tries.longestRefusal == Duration{0});
    THEN("they are served again when the links are back")
    {
        simulation.restoreLinks();
        simulation.run(seconds{1});
        simulation.resetCounts();
        simulation.run(seconds{5});
        CHECK(simulation.firstTries(false).share() >= 0.97);
    }
}

SCENARIO("SlotBroker: given an upstream that refuses the connections of all VMs, it gets few "
         "requests",
         "[dispatch][lostlinks]")
{
    const auto isSharded = GENERATE(false, true);
    const auto lost = GENERATE(0U, 8U, 24U);
    CAPTURE(isSharded, lost);
    auto simulation = simulationOf(isSharded);
    simulation.loseLinks(lost, LostLinks::Refused);
    simulation.run(seconds{1});
    simulation.stopUpstream(0);
    simulation.resetCounts();
    simulation.run(milliseconds{500});
    CHECK(simulation.sentTo(0) <= 4);
    simulation.resetCounts();
    simulation.run(seconds{6});
    CHECK(simulation.sentTo(0) <= 12);
    // The requests with its keys can't be served.
    const auto servable = isSharded ? 1 - 1.0 / upstreamCount : 1.0;
    CHECK(simulation.firstTries(false).share() >= 0.97 * servable);
}
