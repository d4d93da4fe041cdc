#pragma once

#include "protocol/outbox.h"
#include "protocol/types/storemessages.h"

#include <optional>
#include <vector>

namespace gooseberrywall {

/// Polls the platform's list of VMs: often while this daemon coordinates the cell, less often while
/// it has no table yet, and otherwise never, so that the load of the store grows with the number of
/// cells and not of daemons.
class VmListPoller
{
public:
    /// Sends a call to the store if a poll is due and none is pending.
    /// @param isCoordinator whether this daemon is the active coordinator
    /// @param hasTable whether this daemon has the table of its cell
    auto tick(Instant now, bool isCoordinator, bool hasTable, Outbox &out) -> void;

    /// @returns false if the call isn't one of this poller
    auto onStoreAnswer(CallId call, const StoreAnswer &answer) -> bool;

    /// @returns the latest list if it wasn't taken yet
    [[nodiscard]] auto takeList() -> std::optional<std::vector<VmEntry>>;

private:
    std::optional<CallId> pendingCall;
    Instant nextPoll{};
    std::optional<std::vector<VmEntry>> list;
};

} // namespace gooseberrywall
