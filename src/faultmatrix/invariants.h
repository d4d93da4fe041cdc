#pragma once

#include "faultmatrix/world.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gooseberrywall {

/// Checks the promises in a world after each event and at the end. Shares no logic with the core:
/// it compares the contents of the store, the ownership and runs at the upstreams, the tables and
/// documents of the daemons, and the answers to the callers.
class Invariants
{
public:
    /// @param world must outlive the checker
    /// @param storeAwayTime how long the store is unavailable: meanwhile no shard can leave its
    /// owner
    Invariants(World &world, Duration storeAwayTime);

    /// Checks the promises that hold at all times. Must be called after each event.
    auto check() -> void;
    /// Checks how requests, runs and edits ended. Must be called after all of them have ended.
    auto checkEnd() -> void;

    /// @returns the broken promises in the order of detection, up to a limit; empty if all were
    /// kept
    [[nodiscard]] auto violations() const -> const std::vector<std::string> &
    {
        return this->found;
    }
    /// @returns the longest time for which a request for some key waited until the key's next
    /// answer
    [[nodiscard]] auto longestUnavailability() const -> Duration;
    /// Time after which a leaving upstream gets no new work.
    static constexpr Duration drainLimit = std::chrono::seconds{5};

private:
    auto report(const std::string &what) -> void;
    auto checkOwners() -> void;
    auto checkStore() -> void;
    auto checkTables() -> void;
    auto checkConfiguration() -> void;
    auto checkCaller(const CallerRecord &caller, const std::vector<RunRecord> &runs) -> void;
    auto allRuns() -> std::map<RequestId, std::vector<RunRecord>>;

    World &world;
    Duration storeAwayTime;
    std::vector<std::string> found;
    std::uint64_t seenRecordVersion = 0;
    /// Every version of the record that the store held, as bytes.
    std::map<std::uint64_t, std::string> recordHistory;
    std::map<ShardId, Fence> highestFences;
    std::uint64_t acceptedGeneration = 0;
    struct SeenDaemon
    {
        std::uint64_t incarnationNumber = 0;
        std::uint64_t tableVersion = 0;
        std::uint64_t generation = 0;
    };
    std::vector<SeenDaemon> seenDaemons;
};

} // namespace gooseberrywall
