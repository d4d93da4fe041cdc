#include "celloptions.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

/// Time for which each run injects faults.
constexpr Duration faultTime = 60s;

/// Begins one random fault, ends one, or plans a move.
auto injectFault(VirtualCell &cell, std::mt19937_64 &random, const VirtualCellOptions &options)
    -> void
{
    const auto pick = [&](int count) {
        return std::uniform_int_distribution<int>(0, count - 1)(random);
    };
    const auto daemon = pick(options.daemons);
    const auto upstream = pick(options.upstreams);
    const auto time = std::chrono::milliseconds{pick(8000)};
    switch (pick(12)) {
    case 0:
        return cell.killDaemon(daemon);
    case 1:
        return cell.restartDaemon(daemon);
    case 2:
    case 3:
        return cell.pauseDaemon(daemon, time);
    case 4:
        return cell.crashUpstream(upstream);
    case 5:
        return cell.restartUpstream(upstream);
    case 6:
    case 7:
        return cell.freezeUpstream(upstream, time);
    case 8:
        return cell.setIsolation(daemon, static_cast<Isolation>(pick(3)));
    case 9:
        cell.storeDown = pick(3) == 0;
        return;
    case 10:
        cell.writeFaults[cell.writeNumber + pick(3)] =
            static_cast<StoreFault>(pick(static_cast<int>(StoreFault::Late)) + 1);
        return;
    default:
        break;
    }
    const auto record = cell.record();
    if (!record.shards.empty()) {
        const auto &shard =
            record.shards[static_cast<std::size_t>(pick(static_cast<int>(record.shards.size())))];
        cell.extraPlan->moves = {{shard.id, otherUpstream(record, shard)}};
    }
}

struct UpstreamKind
{
    std::string name;
    bool checksSender;
    bool grantsExpire;
    Duration authority;
};

} // namespace

SCENARIO("Coordinator: given random faults, no shard has two owners", "[Coordinator][Grantor]")
{
    const auto kind =
        GENERATE(UpstreamKind{"checks sender, grants expire", true, true, 0s},
                 UpstreamKind{"checks sender, grants don't expire", true, false, 0s},
                 UpstreamKind{"doesn't check sender, round trip", false, true, 0s},
                 UpstreamKind{"doesn't check sender, authority 1 s", false, true, 1s});
    GIVEN("upstreams of this kind: " + kind.name)
    {
        auto recordVersions = std::uint64_t{0};
        auto worst = Duration{0};
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            auto options = smallCell(seed);
            options.dropProbability = 0.01;
            options.duplicateProbability = 0.01;
            options.maxJitter = 5ms;
            for (auto &service : options.services) {
                service.checksSender = kind.checksSender;
                service.grantsExpire = kind.grantsExpire;
                service.grantorAuthority = kind.authority;
            }
            VirtualCell cell(options);
            std::mt19937_64 random(seed);
            REQUIRE(cell.runUntilServed(20s).has_value());
            const auto faultsEnd = cell.now + faultTime;
            while (cell.now < faultsEnd) {
                cell.run(
                    std::chrono::milliseconds{std::uniform_int_distribution<int>(1, 1200)(random)});
                injectFault(cell, random, options);
            }
            cell.endFaults();
            INFO("seed " << seed);
            const auto time = cell.runUntilServed(60s);
            CHECK(time.has_value());
            worst = std::max(worst, time.value_or(60s));
            recordVersions += cell.record().version.value;
            for (const auto &violation : cell.violations) {
                FAIL_CHECK(violation);
            }
        }
        THEN("the record changed often, and all shards are served after the faults end")
        {
            printDuration("random faults, " + kind.name + ": all served after", worst);
            std::cout << "versions of the record: " << recordVersions << "\n";
            CHECK(recordVersions > 100);
        }
    }
}
