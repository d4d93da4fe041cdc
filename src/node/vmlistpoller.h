#pragma once

#include "protocol/outbox.h"
#include "protocol/types/storemessages.h"

#include <optional>
#include <vector>

namespace gooseberrywall {

/// Reads the platform's list of VMs: often while this daemon coordinates the cell, rarely while it
/// has no table yet, else never, so that the store sees cells and not daemons.
class VmListPoller
{
public:
    /// @param coordinating this daemon is the active coordinator
    /// @param hasTable this daemon knows its cell's table
    auto tick(Instant now, bool isCoordinator, bool hasTable, Outbox &out) -> void;

    /// @returns false where the call isn't this poller's
    auto onStoreAnswer(CallId call, const StoreAnswer &answer) -> bool;

    /// @returns a list that was not taken yet
    [[nodiscard]] auto takeList() -> std::optional<std::vector<VmEntry>>;

private:
    std::optional<CallId> pendingCall;
    Instant nextPoll{};
    std::optional<std::vector<VmEntry>> list;
};

} // namespace gooseberrywall
