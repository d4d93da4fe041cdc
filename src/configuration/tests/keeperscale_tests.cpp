#include "configuration/tests/configurationcell.h"

#include "configuration/manifestcodec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

constexpr auto cellInForceLimit = 2s;
constexpr auto fullSizeInForceLimit = 16s;
/// Limit of the control traffic that one daemon may cause.
constexpr std::uint64_t daemonBytesPerSecondLimit = 26'000;
constexpr auto changesPerDay = 5500.0;
constexpr auto secondsPerDay = 86'400.0;
/// Reads per second that the platform's store can serve, and the share that the configuration may
/// use.
constexpr auto storeReadCapacityPerSecond = 2000.0;
constexpr auto allowedStoreShare = 0.1;

/// Time, messages and bytes that one change took.
struct ChangeCost
{
    Duration timeToInForce{0};
    std::uint64_t storeReads = 0;
    std::uint64_t updates = 0;
    std::uint64_t bytesTotal = 0;
    /// Maximum over all daemons of the bytes sent to peers and read from the store.
    std::uint64_t maximumDaemonBytes = 0;
};

auto bytesOf(const KeeperCounters &counters) -> std::uint64_t
{
    return counters.peerBytesSent + counters.storeBytes;
}

auto fitmentWith(int slots, std::uint64_t expected) -> EditRequest
{
    return setRequest("service fitment",
                      "[service fitment]\nowner = gaskets\nslots = " + std::to_string(slots) + "\n",
                      expected, gasketsToken);
}

auto measureChange(ConfigurationCell &cell, int change) -> ChangeCost
{
    auto before = std::vector<KeeperCounters>{};
    for (std::size_t daemon = 0; daemon < cell.size(); ++daemon) {
        before.push_back(cell.keeper(daemon).counters());
    }
    cell.store.resetCounts();
    const auto ended =
        cell.edit(cell.size() - 1, fitmentWith(4 + change, static_cast<std::uint64_t>(change) + 1));
    REQUIRE(ended.status == EditStatus::Done);
    const auto accepted = cell.now;
    REQUIRE(
        cell.runUntil(fullSizeInForceLimit, [&] { return cell.allHaveReached(ended.generation); }));
    auto cost = ChangeCost{};
    cost.timeToInForce = cell.now - accepted;
    cost.storeReads = cell.store.counts().reads();
    for (std::size_t daemon = 0; daemon < cell.size(); ++daemon) {
        const auto after = cell.keeper(daemon).counters();
        const auto bytes = bytesOf(after) - bytesOf(before[daemon]);
        cost.updates += after.updatesSent - before[daemon].updatesSent;
        cost.bytesTotal += bytes;
        cost.maximumDaemonBytes = std::max(cost.maximumDaemonBytes, bytes);
    }
    return cost;
}

auto worstCostOf(ConfigurationCell &cell, int changes) -> ChangeCost
{
    auto worst = ChangeCost{};
    for (auto change = 0; change < changes; ++change) {
        const auto cost = measureChange(cell, change);
        worst.timeToInForce = std::max(worst.timeToInForce, cost.timeToInForce);
        worst.storeReads = std::max(worst.storeReads, cost.storeReads);
        worst.updates = std::max(worst.updates, cost.updates);
        worst.bytesTotal = std::max(worst.bytesTotal, cost.bytesTotal);
        worst.maximumDaemonBytes = std::max(worst.maximumDaemonBytes, cost.maximumDaemonBytes);
    }
    return worst;
}

auto print(const char *name, std::size_t daemons, const ChangeCost &cost) -> void
{
    std::printf("%s daemons=%zu in_force_ms=%.1f store_reads=%llu updates=%llu bytes=%llu "
                "bytes_of_one=%llu\n",
                name, daemons, static_cast<double>(cost.timeToInForce.count()) / 1000.0,
                static_cast<unsigned long long>(cost.storeReads),
                static_cast<unsigned long long>(cost.updates),
                static_cast<unsigned long long>(cost.bytesTotal),
                static_cast<unsigned long long>(cost.maximumDaemonBytes));
}

/// Adds many sections to the document while the other daemons are paused, then resumes them.
auto addSections(ConfigurationCell &cell, int count) -> void
{
    for (std::size_t daemon = 1; daemon < cell.size(); ++daemon) {
        cell.pause(daemon);
    }
    writeExampleDocument(cell);
    for (auto number = 0; number < count; ++number) {
        const auto name = "callers group-" + std::to_string(number);
        const auto text = "[" + name + "]\nteam = gaskets\nmembers = shop-" + std::to_string(number)
                          + "\nservices = fitment, rate-look\nshare = 2\n";
        REQUIRE(cell.edit(0, setRequest(name, text, 0, gasketsToken)).status == EditStatus::Done);
    }
    for (std::size_t daemon = 1; daemon < cell.size(); ++daemon) {
        cell.resume(daemon);
    }
    const auto generation = cell.keeper(0).generation();
    REQUIRE(cell.runUntil(fullSizeInForceLimit, [&] { return cell.allHaveReached(generation); }));
}

} // namespace

SCENARIO("ConfigurationKeeper: given a cell of the current size, then a change is in force in time",
         "[keeperscale]")
{
    GIVEN("27 daemons, 20 changes one after another, and a store that answers in 5 ms")
    {
        auto cell = ConfigurationCell(27);
        auto faults = StoreFaults{};
        faults.answerDelay = 5ms;
        cell.store.setFaults(cell.now, faults);
        writeExampleDocument(cell);
        cell.run(3s);
        WHEN("no messages are lost")
        {
            const auto worst = worstCostOf(cell, 20);
            print("config_spread", cell.size(), worst);
            THEN("each change is in force in time, and each daemon gets one update")
            {
                CHECK(worst.timeToInForce <= cellInForceLimit);
                CHECK(worst.updates <= cell.size());
            }
        }
        WHEN("heartbeats stop")
        {
            cell.heartbeatInterval = std::chrono::hours{1};
            cell.run(500ms);
            const auto worst = worstCostOf(cell, 1);
            THEN("the tree alone distributes the change")
            {
                CHECK(worst.timeToInForce <= cellInForceLimit);
                CHECK(worst.updates >= cell.size() - 2);
            }
        }
        WHEN("20 percent of the messages are lost")
        {
            cell.peerFaults.lossPercent = 20;
            const auto worst = worstCostOf(cell, 20);
            print("config_spread_loss20", cell.size(), worst);
            THEN("each change is still in force in time")
            {
                CHECK(worst.timeToInForce <= cellInForceLimit);
            }
        }
    }
}

SCENARIO(
    "ConfigurationKeeper: given more cells, then the cost of a change per daemon stays limited",
    "[keeperscale]")
{
    for (const auto daemons : {100, 300, 1000, 3000}) {
        GIVEN(std::to_string(daemons) + " daemons in cells of 30 around one store")
        {
            const auto started = std::chrono::steady_clock::now();
            auto cell = ConfigurationCell(static_cast<std::size_t>(daemons));
            cell.keepLogs = false;
            cell.stepDuration = 2ms;
            auto faults = StoreFaults{};
            faults.answerDelay = 5ms;
            cell.store.setFaults(cell.now, faults);
            addSections(cell, 100);
            cell.run(1s);
            const auto worst = worstCostOf(cell, 2);
            print("config_spread_slope", cell.size(), worst);
            const auto elapsed = std::chrono::steady_clock::now() - started;
            std::printf(
                "config_spread_slope wall_ms=%lld\n",
                static_cast<long long>(
                    std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()));
            const auto changeRate = changesPerDay / secondsPerDay;
            CHECK(worst.timeToInForce <= fullSizeInForceLimit);
            CHECK(static_cast<double>(worst.maximumDaemonBytes) * changeRate
                  <= static_cast<double>(daemonBytesPerSecondLimit));
            CHECK(static_cast<double>(worst.storeReads) * changeRate
                  <= storeReadCapacityPerSecond * allowedStoreShare);
        }
    }
}

SCENARIO(
    "Manifest: given a large document, then its encoding stays within the readers' traffic limit",
    "[keeperscale]")
{
    for (const auto count : {100, 1000, 3000}) {
        GIVEN(std::to_string(count) + " sections of callers besides a team and a service")
        {
            auto manifest = Manifest{};
            auto sections = std::vector<SectionText>{
                {{"team gaskets"}, "[team gaskets]\n"},
                {{"service fitment"}, "[service fitment]\nowner = gaskets\n"}};
            for (auto number = 0; number < count; ++number) {
                const auto name = "callers group-" + std::to_string(number);
                sections.push_back({{name},
                                    "[" + name + "]\nteam = gaskets\nmembers = shop-"
                                        + std::to_string(number) + "\nservices = fitment\n"});
            }
            auto bytes = std::size_t{0};
            for (const auto &section : sections) {
                bytes += section.text.size();
                manifest = manifest.with(
                    {section.section, 1, sectionDigest(section.text), {"gaskets"}, false}, {"op"});
            }
            const auto encoded = encodeManifest(manifest).size();
            const auto started = std::chrono::steady_clock::now();
            auto parser = DocumentParser();
            const auto document = parser.parse(sections);
            const auto parseTime = std::chrono::steady_clock::now() - started;
            std::printf(
                "config_document sections=%zu text_bytes=%zu manifest_bytes=%zu "
                "parse_us=%lld\n",
                sections.size(), bytes, encoded,
                static_cast<long long>(
                    std::chrono::duration_cast<std::chrono::microseconds>(parseTime).count()));
            REQUIRE(document);
            CHECK(static_cast<double>(encoded) * changesPerDay / secondsPerDay
                  <= static_cast<double>(daemonBytesPerSecondLimit));
        }
    }
}
