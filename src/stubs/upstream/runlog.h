#pragma once

#include "stubs/upstream/types/runrecord.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Position of a run in the order in which runs started, from 1.
using RunNumber = Number<struct RunNumberTag>;

/// Counts the runs of one upstream and keeps the records of the latest ones. It survives crashes
/// and restarts of the model, since it belongs to the test and not to the upstream.
class RunLog
{
public:
    /// Called when a run starts and, if its record is still kept, when it ends.
    using Observer = std::function<void(RunNumber, const RunRecord &)>;

    /// @param capacity maximum number of kept records
    explicit RunLog(std::size_t capacity = defaultCapacity);

    /// @param newObserver called for all runs from now on, before they are answered
    auto observe(Observer newObserver) -> void { this->observer = std::move(newObserver); }

    auto start(RunRecord record) -> RunNumber;
    auto finish(RunNumber run, Instant end, RunStatus status, bool effect) -> void;

    /// @returns the kept records, oldest first
    [[nodiscard]] auto records() const -> const std::deque<RunRecord> & { return this->kept; }

    /// @returns how many runs were started
    [[nodiscard]] auto started() const -> std::uint64_t { return this->startedCount; }

    /// @returns how many runs took effect
    [[nodiscard]] auto effects() const -> std::uint64_t { return this->effectCount; }

    /// @returns how many records were dropped because the log was full
    [[nodiscard]] auto dropped() const -> std::uint64_t { return this->droppedCount; }

    /// @returns the ids of non-idempotent requests that were started more than once among the kept
    ///          runs, each id once
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
