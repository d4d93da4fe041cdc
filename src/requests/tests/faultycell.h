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
    /// Another grantor takes over while the first one lives.
    TakeOver,
    StandbyLost,
    MirrorCut,
    OwnerChange,
    /// Shards go to another owner and back, and the first grantor doesn't hear of it meanwhile.
    OwnerBounce,
    /// The stand-by is replaced without hearing of it, and then becomes grantor all the same.
    StandbySwap,
    UpstreamRestart,
    UpstreamLost,
    UpstreamFrozen,
};

/// A cell under load whose faults are drawn from a seed. Callers send refused requests and those of
/// unknown outcome again under the same id.
class FaultyCell
{
public:
    FaultyCell(std::uint64_t seed, std::vector<Fault> kinds, LinkFaults links);
    [[nodiscard]] auto check() -> Violations;
    auto printResult(const std::string &name, std::uint64_t seed) -> void;

    TestCell cell;
    std::set<std::size_t> abandoned;
    [[nodiscard]] auto answeredShare() const -> double;

private:
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

    /// All shards of an upstream that is lost go to the others, and it comes back empty.
    auto loseUpstream(std::size_t index) -> void;

    std::mt19937_64 random;
    std::vector<Fault> kinds;
    bool arriving = true;
    int lastRequest = 0;
    int lostDaemons = 0;
};

} // namespace gooseberrywall
