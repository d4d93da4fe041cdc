#pragma once

#include "requests/tests/endchecker.h"
#include "requests/tests/testcell.h"

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberrywall {

enum class Fault {
    GrantorLost,
    /// The stand-by takes over while the grantor is still alive.
    TakeOver,
    StandbyLost,
    MirrorCut,
    OwnerChange,
    /// Shards go to another owner and back, and the first grantor misses the version in between.
    OwnerBounce,
    /// The stand-by is replaced and misses that version, and then becomes grantor after all.
    StandbySwap,
    UpstreamRestart,
    UpstreamLost,
    UpstreamFrozen,
};

/// Runs a cell under load with faults drawn from a seed. Callers send requests that were refused or
/// ended unknown again under the same id.
class FaultyCell
{
public:
    FaultyCell(std::uint64_t seed, std::vector<Fault> kinds, LinkFaults links);
    [[nodiscard]] auto check() -> Violations;
    auto printResult(const std::string &name, std::uint64_t seed) -> void;

    TestCell cell;
    std::set<std::size_t> abandoned;
    /// @returns the share of request ids that got an answer
    [[nodiscard]] auto answeredShare() const -> double;

private:
    /// @returns a random number from zero to count - 1
    auto randomBelow(int count) -> int;
    auto aliveDaemon() -> int;
    auto sinceStart() const -> Duration { return this->cell.now().time_since_epoch(); }

    auto after(Duration delay, std::function<void()> action) -> void;
    auto arrive() -> void;
    auto send(Request request, int tries) -> void;
    auto inject() -> void;
    auto indexOf(const DaemonId &id) const -> int { return std::stoi(id.value.substr(1)); }

    auto loseDaemon(int daemon) -> void;
    auto takeOverFromAliveGrantor(std::size_t index) -> void;
    auto replaceLostDaemons() -> void;
    auto randomSkippedDaemons() -> std::set<int>;
    auto aliveDaemonOtherThan(int daemon) -> int;
    auto cutMirror(int grantor, int standby) -> void;
    auto changeOwner() -> void;
    auto moveShardsAwayAndBack(std::size_t index) -> void;
    auto swapStandby(std::size_t index) -> void;
    auto restartUpstream(std::size_t index) -> void;

    /// Crashes an upstream; its shards go to another one, and it restarts without shards.
    auto loseUpstream(std::size_t index) -> void;

    std::mt19937_64 random;
    std::vector<Fault> kinds;
    bool arriving = true;
    int lastRequest = 0;
    int lostDaemons = 0;
};

} // namespace gooseberrywall
