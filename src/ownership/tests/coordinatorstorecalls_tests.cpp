#include "celloptions.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

/// The design's budget of a cell's writes to the store: a few per second, tens at recovery.
constexpr double steadyWritesPerSecondLimit = 5.0;
constexpr double recoveryWritesPerSecondLimit = 50.0;

/// Store calls per second.
struct CallRates
{
    double steadyWrites = 0;
    double steadyReads = 0;
    double recoveryWrites = 0;
    double recoveryReads = 0;
};

/// @returns the number of writes, with lease calls
auto writesOf(const FakeStore &store) -> double
{
    return store.counters.writes + store.counters.leases;
}

auto measure(const VirtualCellOptions &options) -> CallRates
{
    constexpr auto steadySeconds = 20;
    constexpr auto recoverySeconds = 5;
    VirtualCell cell(options);
    REQUIRE(cell.runUntilServed(20s).has_value());
    cell.run(3s);
    cell.store.counters = {};
    cell.run(std::chrono::seconds{steadySeconds});
    CallRates rates;
    rates.steadyWrites = writesOf(cell.store) / steadySeconds;
    rates.steadyReads = static_cast<double>(cell.store.counters.gets) / steadySeconds;
    cell.store.counters = {};
    cell.loseDomain(2);
    cell.run(std::chrono::seconds{recoverySeconds});
    CHECK(cell.unserved().empty());
    CHECK(cell.violations.empty());
    rates.recoveryWrites = writesOf(cell.store) / recoverySeconds;
    rates.recoveryReads = static_cast<double>(cell.store.counters.gets) / recoverySeconds;
    return rates;
}

} // namespace

SCENARIO("Coordinator: given cells of several sizes, store calls stay within the budget",
         "[Coordinator]")
{
    struct Size
    {
        int daemons;
        int upstreams;
        std::uint32_t shards;
    };
    GIVEN("cells of several sizes that lose a failure domain")
    {
        THEN("the writes stay within the budget")
        {
            std::cout
                << "daemons upstreams shards: steady writes/s reads/s, in the 5 s after the loss "
                   "of a failure domain writes/s reads/s (writes with lease calls)\n";
            for (const auto &size :
                 {Size{27, 41, 192}, Size{54, 41, 192}, Size{100, 41, 192}, Size{27, 80, 192},
                  Size{27, 160, 192}, Size{27, 41, 768}, Size{27, 41, 3072}}) {
                auto options = todaysCell();
                options.daemons = size.daemons;
                options.upstreams = size.upstreams;
                for (auto &service : options.services) {
                    service.shardCount = size.shards / 3;
                }
                const auto rates = measure(options);
                std::cout << size.daemons << " " << size.upstreams << " " << size.shards << ": "
                          << rates.steadyWrites << " " << rates.steadyReads << ", "
                          << rates.recoveryWrites << " " << rates.recoveryReads << "\n";
                CHECK(rates.steadyWrites <= steadyWritesPerSecondLimit);
                CHECK(rates.recoveryWrites <= recoveryWritesPerSecondLimit);
            }
        }
    }
}
