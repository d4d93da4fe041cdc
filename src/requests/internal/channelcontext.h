#pragma once

#include "insight/counters.h"
#include "insight/eventring.h"
#include "membership/types/membershipview.h"
#include "ownership/table.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"
#include "requests/crashtracker.h"
#include "requests/outcomememory.h"
#include "requests/types/dispatchersettings.h"

#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace gooseberrywall {

/// Type-erased access to the source of grants.
struct GrantAccess
{
    std::function<std::optional<Fence>(Instant now, const ShardId &shard)> fenceFor;
    std::function<bool(const UpstreamId &upstream)> isGrantorOf;
};

/// State that all channels of a dispatcher share.
struct ChannelContext
{
    DaemonIdentity self;
    DispatcherSettings settings;
    GrantAccess grants;
    Counters &counters;
    EventRing &events;
    std::mt19937_64 random;
    CrashTracker crashes;
    TablePointer table;
    MembershipView membership;
    std::vector<CompletedRun> completedRuns;
    UnixMillis wallClock = 0;
    Instant wallClockReadAt{};

    [[nodiscard]] auto outcomeTime(Instant now) const -> OutcomeTime
    {
        if (this->wallClock == 0) {
            return {now, 0};
        }
        const auto elapsed = now - this->wallClockReadAt;
        return {now, this->wallClock
                         + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()};
    }

    /// Sends a message to the coordinator and to all daemons of the cell.
    auto broadcast(const PeerMessage &message, Outbox &out) const -> void
    {
        for (const auto &member : this->membership.members) {
            if (member.id != this->self.id && member.state != MemberState::Removed) {
                out.toPeer(member.id, message);
            }
        }
        const auto &coordinator = this->table->record().coordinator;
        const bool isMember = this->membership.find(coordinator) != nullptr;
        if (!coordinator.empty() && (!isMember || coordinator == this->self.id)) {
            out.toPeer(coordinator, message);
        }
    }
};

} // namespace gooseberrywall
