#pragma once

#include "stubs/upstream/types/runrecord.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Identifies a run in the log for as long as the log keeps it.
using RunNumber = Number<struct RunNumberTag>;

/// Remembers the runs of one upstream, the latest ones in full. It outlives crashes and restarts
/// of the modelled upstream, since it belongs to the test and not to the upstream.
class RunLog
{
public:
    /// Hears of each run when it starts and when it ends.
    using Observer = std::function<void(RunNumber, const RunRecord &)>;

    /// @param capacity how many runs are kept in full
    explicit RunLog(std::size_t capacity = defaultCapacity);

    /// @param newObserver told of all runs from now on, before anything of them is answered
    auto observe(Observer newObserver) -> void { this->observer = std::move(newObserver); }

    auto start(RunRecord record) -> RunNumber;
    auto finish(RunNumber run, Instant end, RunStatus status, bool effect) -> void;

    /// @returns the latest runs, oldest first
    [[nodiscard]] auto records() const -> const std::deque<RunRecord> & { return this->kept; }

    /// @returns how many runs were started
    [[nodiscard]] auto started() const -> std::uint64_t { return this->startedCount; }

    /// @returns how many runs took effect
    [[nodiscard]] auto effects() const -> std::uint64_t { return this->effectCount; }

    /// @returns how many runs are not kept any more
    [[nodiscard]] auto dropped() const -> std::uint64_t { return this->droppedCount; }

    /// @returns the requests that may not be repeated but were started more than once among the
    ///          kept runs, each id once
    [[nodiscard]] auto doubleRuns() const -> std::vector<RequestId>;

    static constexpr std::size_t defaultCapacity = 200'000;

private:
    std::size_t capacity;
    Observer observer;
    std::deque<RunRecord> kept;
    std::uint64_t startedCount = 0;
    std::uint64_t effectCount = 0;
    std::uint64_t droppedCount = 0;
};

} // namespace gooseberrywall
