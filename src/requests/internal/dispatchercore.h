#pragma once

#include "protocol/types/servicepolicy.h"
#include "requests/internal/channelcontext.h"
#include "requests/internal/seenattempts.h"
#include "requests/internal/shardmemories.h"
#include "requests/internal/upstreamchannel.h"
#include "requests/standbymirrors.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace gooseberrywall {

/// Implements Dispatcher, independent of the type of the source of grants.
class DispatcherCore
{
public:
    DispatcherCore(DaemonIdentity self, DispatcherSettings settings, GrantAccess grants,
                   Counters &counters, EventRing &events, std::uint64_t randomSeed);

    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &out)
        -> bool;
    auto onUpstreamAnswer(Instant now, CallId call, const UpstreamAnswer &answer, Outbox &out)
        -> bool;
    auto onTable(Instant now, TablePointer table, Outbox &out) -> void;
    auto onPolicies(const std::vector<ServicePolicy> &policies) -> void;
    auto onMembership(const MembershipView &view) -> void;
    auto onWallClock(UnixMillis wall) -> void;
    auto tick(Instant now, Outbox &out) -> void;
    auto beginShutdown(Instant now, Outbox &out) -> void;
    [[nodiscard]] auto isIdle() const -> bool;
    [[nodiscard]] auto takeRuns() -> std::vector<CompletedRun>;
    [[nodiscard]] auto upstreamLoads(Instant now) -> std::vector<UpstreamLoad>;

private:
    auto onForward(Instant now, const DaemonId &from, const ForwardRequest &message, Outbox &out)
        -> void;
    auto onQuery(Instant now, const DaemonId &from, const OutcomeQuery &message, Outbox &out)
        -> void;
    auto onCancel(Instant now, const DaemonId &from, AttemptId attempt, Outbox &out) -> void;
    auto onMirrorAnswer(Instant now, const DaemonId &from, const MirrorAnswer &message, Outbox &out)
        -> void;
    /// @returns the channel that serves the upstream under this term; nullptr where there is none
    [[nodiscard]] auto channelFor(const UpstreamId &upstream, Term term) -> UpstreamChannel *;
    /// @returns whether the record names this incarnation of this daemon as the upstream's grantor
    [[nodiscard]] auto isSelfGrantor(const UpstreamEntry &entry) const -> bool;
    /// @returns whether the message names the shard that holds its key in the current table
    [[nodiscard]] auto isCurrentShard(const ForwardRequest &message) const -> bool;
    auto refuse(const DaemonId &to, AttemptId attempt, Reason reason, Outbox &out) -> void;
    auto openChannel(Instant now, const UpstreamEntry &entry, const TablePointer &previous,
                     Outbox &out) -> void;
    auto applyPolicies(Instant now, Outbox &out) -> void;
    auto updateChannels(Instant now, const TablePointer &previous, Outbox &out) -> void;

    ChannelContext context;
    std::map<ServiceName, ServicePolicy> policies;
    ChannelMap channels;
    StandbyMirrors mirrors;
    ShardMemories memories;
    SeenAttempts seenAttempts;
    Instant lastTick{};
    bool policiesChanged = false;
    bool shuttingDown = false;
};

} // namespace gooseberrywall
