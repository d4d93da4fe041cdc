#pragma once

#include "common/types/instant.h"
#include "soak/faultproxy.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace gooseberrywall {

/// Cuts daemons off from all upstreams and from nothing else, in series and overlapping, and
/// compares how often first tries are served there and at the other daemons.
class VmCuts
{
public:
    /// How a first try counts.
    struct Try
    {
        /// The span of time without a pause between cuts to which it belongs; zero: to none.
        int series = 0;
        bool isAtCutDaemon = false;
    };

    /// @param proxies those of all upstreams, which know each daemon by its index
    VmCuts(std::vector<std::unique_ptr<FaultProxy>> &proxies, std::size_t daemonCount,
           std::uint64_t seed);

    /// Ends the cuts that are due, and may begin others. At least one daemon stays uncut.
    /// @returns what has begun or ended; empty where nothing has
    auto advance(Instant now) -> std::string;
    /// Ends all cuts.
    auto clear(Instant now) -> void;

    /// @returns how a first try counts that is sent now to this daemon
    [[nodiscard]] auto classify(std::size_t daemon, Instant now) const -> Try;
    auto onEnd(const Try &ended, bool isServed) -> void;
    /// @returns the series of cuts in which first tries at daemons that are cut off were served far
    /// less often than at the others
    [[nodiscard]] auto violations() const -> std::vector<std::string>;

private:
    struct State
    {
        Instant begunAt{};
        /// Empty where the daemon isn't cut off.
        std::optional<Instant> endsAt;
        Instant lastEnd{};
    };
    struct Tally
    {
        int served = 0;
        int total = 0;
    };
    struct Series
    {
        Tally atCut;
        Tally atOthers;
    };

    [[nodiscard]] auto cutCount() const -> std::size_t;
    auto end(std::size_t daemon, Instant now) -> void;

    std::vector<std::unique_ptr<FaultProxy>> &proxies;
    std::vector<State> states;
    std::map<int, Series> series;
    int currentSeries = 0;
    std::mt19937_64 random;
};

} // namespace gooseberrywall
