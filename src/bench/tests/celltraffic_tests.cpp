#include "bench/celltraffic.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <string>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

/// Required limit of a daemon's control traffic, in bytes per second.
constexpr double bytesLimit = 26'000.0;
/// A cell's share of store calls per second: a hundred cells share 200 writes and 2,000 reads.
constexpr double writesLimit = 2.0;
constexpr double readsLimit = 20.0;
constexpr Duration servedAgainLimit = 5s;

/// Prints the traffic since the last reset.
/// @returns the highest peer traffic of a daemon, in bytes per second
auto report(const CellTraffic &cell, const std::string &what, int seconds) -> double
{
    DaemonTraffic sum;
    DaemonTraffic highest;
    std::uint64_t highestTotalBytes = 0;
    for (const auto &daemon : cell.traffic()) {
        sum.messages += daemon.messages;
        sum.peerBytes += daemon.peerBytes;
        sum.storeCalls += daemon.storeCalls;
        sum.upstreamCalls += daemon.upstreamCalls;
        sum.storeBytes += daemon.storeBytes;
        sum.upstreamBytes += daemon.upstreamBytes;
        sum.processorTime += daemon.processorTime;
        highestTotalBytes = std::max(highestTotalBytes, daemon.allBytes());
        highest.messages = std::max(highest.messages, daemon.messages);
        highest.peerBytes = std::max(highest.peerBytes, daemon.peerBytes);
        highest.processorTime = std::max(highest.processorTime, daemon.processorTime);
    }
    const auto daemons = static_cast<double>(cell.traffic().size());
    const auto mean = [&](std::uint64_t total) {
        return static_cast<double>(total) / daemons / seconds;
    };
    const auto &store = cell.storeCounts();
    const auto highestPeerBytes = static_cast<double>(highest.peerBytes) / seconds;
    const auto microseconds = [&](std::chrono::nanoseconds work) {
        return static_cast<double>(work.count()) / 1000.0 / seconds;
    };
    std::cout << what << ": daemons=" << daemons << " messages=" << mean(sum.messages)
              << " bytes=" << mean(sum.peerBytes) << " most_bytes=" << highestPeerBytes
              << " store_bytes=" << mean(sum.storeBytes)
              << " upstream_bytes=" << mean(sum.upstreamBytes)
              << " all_bytes=" << mean(sum.allBytes())
              << " most_all_bytes=" << static_cast<double>(highestTotalBytes) / seconds
              << " upstream_calls=" << mean(sum.upstreamCalls)
              << " work_us=" << microseconds(sum.processorTime) / daemons
              << " most_work_us=" << microseconds(highest.processorTime)
              << " cell_writes=" << static_cast<double>(store.writes()) / seconds
              << " cell_reads=" << static_cast<double>(store.reads()) / seconds
              << " leases=" << store.leases << " swaps=" << store.compareAndSwaps
              << " gets=" << store.gets << " lists=" << store.lists << " watches=" << store.watches
              << " vm_lists=" << store.vmLists << " seconds=" << seconds << "\n";
    return highestPeerBytes;
}

auto print(const std::string &what, int daemons, Duration outage) -> void
{
    std::cout << what << ": daemons=" << daemons
              << " longest_outage_ms=" << static_cast<double>(outage.count()) / 1000.0 << "\n";
}

/// @returns a grantor that is not the coordinator, or the coordinator if there is none
auto someGrantor(const CellTraffic &cell) -> int
{
    const auto counts = cell.upstreamsByGrantor();
    for (std::size_t index = 0; index < counts.size(); ++index) {
        if (counts[index] > 0 && static_cast<int>(index) != cell.coordinator()) {
            return static_cast<int>(index);
        }
    }
    return cell.coordinator();
}

auto printSpread(const std::string &what, const CellTraffic &cell) -> void
{
    const auto counts = cell.upstreamsByGrantor();
    const auto used =
        std::count_if(counts.begin(), counts.end(), [](int count) { return count > 0; });
    std::cout << what << ": daemons=" << counts.size() << " grantors=" << used
              << " most_upstreams=" << *std::max_element(counts.begin(), counts.end()) << "\n";
}

auto sizeFor(int daemons) -> CellSize
{
    return {daemons, daemons * 3 / 2, 1024};
}

} // namespace

SCENARIO("A daemon's control stays within its budget", "[celltraffic]")
{
    // The design's cell has about 30 daemons; larger cells show how the traffic grows.
    constexpr auto designDaemons = 30;
    for (const auto daemons : {9, 27, 30, 54, 100}) {
        GIVEN("a quiet cell of " + std::to_string(daemons) + " daemons")
        {
            CellTraffic cell(sizeFor(daemons));
            REQUIRE(cell.prepare(30s));
            cell.run(5s);
            printSpread("grantors", cell);
            cell.resetCounters();
            cell.run(20s);
            THEN("bytes and calls of the store stay within the limits")
            {
                const auto bytes = report(cell, "idle", 20);
                CHECK((daemons > designDaemons || bytes <= bytesLimit));
                CHECK(static_cast<double>(cell.storeCounts().writes()) / 20 <= writesLimit);
                CHECK(static_cast<double>(cell.storeCounts().reads()) / 20 <= readsLimit);
            }
        }
    }
}

SCENARIO("A lost grantor is replaced in time", "[losstraffic]")
{
    for (const auto daemons : {9, 27, 54, 100}) {
        GIVEN("a cell of " + std::to_string(daemons) + " daemons that loses a grantor")
        {
            CellTraffic cell(sizeFor(daemons));
            REQUIRE(cell.prepare(30s));
            cell.run(5s);
            cell.resetCounters();
            cell.loseDaemon(someGrantor(cell));
            const auto outage = cell.longestOutage(10s);
            THEN("all is served again in time, with few calls of the store")
            {
                print("daemon lost", daemons, outage);
                report(cell, "daemon lost", 10);
                CHECK(cell.isServed());
                CHECK(outage <= servedAgainLimit);
                CHECK(static_cast<double>(cell.storeCounts().reads()) / 10 <= readsLimit);
            }
        }
    }
}

SCENARIO("A daemon's bytes stay within the budget in the 10 s after the loss of a grantor",
         "[lossbytes]")
{
    GIVEN("a cell of 30 daemons")
    {
        CellTraffic cell(sizeFor(30));
        REQUIRE(cell.prepare(30s));
        cell.run(5s);
        cell.resetCounters();
        WHEN("a grantor is lost")
        {
            cell.loseDaemon(someGrantor(cell));
            cell.run(10s);
            THEN("no daemon needs more than its bytes")
            {
                CHECK(report(cell, "bytes after a loss", 10) <= bytesLimit);
            }
        }
        WHEN("a grantor restarts")
        {
            cell.restartDaemon(someGrantor(cell));
            cell.run(10s);
            THEN("no daemon needs more than its bytes")
            {
                CHECK(report(cell, "bytes after a restart", 10) <= bytesLimit);
            }
        }
    }
}

// Listed in KNOWN-RED.txt: most entries of the table change.
SCENARIO("A daemon's bytes stay within the budget in the 10 s after a failure domain is lost",
         "[knownred][!mayfail]")
{
    GIVEN("a cell of 30 daemons")
    {
        CellTraffic cell(sizeFor(30));
        REQUIRE(cell.prepare(30s));
        cell.run(5s);
        cell.resetCounters();
        WHEN("a failure domain is lost")
        {
            cell.loseDomain(1);
            cell.run(10s);
            THEN("no daemon needs more than its bytes")
            {
                CHECK(report(cell, "bytes after a domain", 10) <= bytesLimit);
            }
        }
    }
}

// Listed in KNOWN-RED.txt: each renewal lists each shard.
SCENARIO("All bytes of control stay within the budget", "[shardslope][!mayfail]")
{
    for (const auto shards : {64, 192, 400, 1024}) {
        GIVEN("a quiet cell of 30 daemons with " + std::to_string(shards) + " shards")
        {
            auto size = sizeFor(30);
            size.shards = shards;
            CellTraffic cell(size);
            REQUIRE(cell.prepare(30s));
            cell.run(5s);
            cell.resetCounters();
            cell.run(20s);
            THEN("messages, calls of upstreams and calls of the store together fit")
            {
                std::cout << "shards=" << shards << " ";
                report(cell, "idle", 20);
                for (const auto &daemon : cell.traffic()) {
                    CHECK(static_cast<double>(daemon.allBytes()) / 20 <= bytesLimit);
                }
            }
        }
    }
}

SCENARIO("A cell whose VMs all start at once is served", "[coldstart]")
{
    GIVEN("daemons and upstreams that are listed at once")
    {
        auto size = sizeFor(30);
        size.upstreamsAppearAfter = Duration{0};
        CellTraffic cell(size);
        THEN("all is served, and the spread of grantors is printed")
        {
            CHECK(cell.prepare(30s));
            cell.run(30s);
            printSpread("cold start, after 30 s", cell);
            CHECK(cell.isServed());
        }
    }
}

SCENARIO("Grantors spread over a cell whose VMs all start at once", "[grantorspread]")
{
    GIVEN("30 daemons and 45 upstreams that are listed at once")
    {
        auto size = sizeFor(30);
        size.upstreamsAppearAfter = Duration{0};
        CellTraffic cell(size);
        REQUIRE(cell.prepare(30s));
        cell.run(30s);
        THEN("no daemon has more than one upstream above its fair share")
        {
            const auto counts = cell.upstreamsByGrantor();
            const auto fairShare = (size.upstreams + size.daemons - 1) / size.daemons;
            CHECK(*std::max_element(counts.begin(), counts.end()) <= fairShare + 1);
        }
    }
}

SCENARIO("Losses of many VMs at once are repaired in time", "[losses]")
{
    GIVEN("a cell of 30 daemons in three failure domains")
    {
        CellTraffic cell(sizeFor(30));
        REQUIRE(cell.prepare(30s));
        cell.run(5s);
        cell.resetCounters();
        WHEN("a third of a failure domain is lost, as with a rack")
        {
            cell.loseRack(1, 3, 5);
            const auto outage = cell.longestOutage(10s);
            print("rack lost", 30, outage);
            report(cell, "rack lost", 10);
            THEN("all is served again in time")
            {
                CHECK(cell.isServed());
                CHECK(outage <= servedAgainLimit);
            }
        }
        WHEN("a failure domain is lost")
        {
            cell.loseDomain(1);
            const auto outage = cell.longestOutage(10s);
            print("domain lost", 30, outage);
            report(cell, "domain lost", 10);
            THEN("all is served again in time")
            {
                CHECK(cell.isServed());
                CHECK(outage <= servedAgainLimit);
            }
        }
        WHEN("a grantor restarts without its memory")
        {
            cell.restartDaemon(someGrantor(cell));
            const auto outage = cell.longestOutage(10s);
            print("daemon restarted", 30, outage);
            report(cell, "daemon restarted", 10);
            THEN("all is served again in time")
            {
                CHECK(cell.isServed());
                CHECK(outage <= servedAgainLimit);
            }
        }
    }
}
