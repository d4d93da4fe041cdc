#pragma once

#include "requests/internal/dispatchercore.h"

#include <concepts>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Source of the fences under which requests may be sent now, and of the upstreams for which this
/// daemon is the grantor.
template<typename Grants>
concept GrantSource = requires(const Grants &grants, Instant now, const ShardId &shard,
                               const UpstreamId &upstream)
{
    {
        grants.fenceFor(now, shard)
        } -> std::same_as<std::optional<Fence>>;
    {
        grants.isGrantorOf(upstream)
        } -> std::same_as<bool>;
};

/// Grantor side of requests: admits each request to its upstream's queue, runs it under the shard's
/// fence, remembers the outcomes of non-idempotent requests in a mirrored memory, and answers the
/// entry daemon. Refuses a request only if it has certainly not run.
/// @tparam Grants type of the source of fences
template<GrantSource Grants>
class Dispatcher
{
public:
    /// @param self this daemon
    /// @param grants source of fences; must outlive the dispatcher
    /// @param counters counts retries; must outlive the dispatcher
    /// @param events records what happens to each request; must outlive the dispatcher
    /// @param randomSeed for attempt ids; must differ between incarnations of a daemon
    Dispatcher(DaemonIdentity self, DispatcherSettings settings, const Grants &grants,
               Counters &counters, EventRing &events, std::uint64_t randomSeed)
        : core(std::move(self), settings,
               GrantAccess{
                   [&grants](Instant now, const ShardId &shard) {
                       return grants.fenceFor(now, shard);
                   },
                   [&grants](const UpstreamId &upstream) { return grants.isGrantorOf(upstream); }},
               counters, events, randomSeed)
    {
    }

    /// @returns whether the message was for the dispatcher alone; false for crash reports, which it
    ///          handles but other receivers need too
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &out)
        -> bool
    {
        return this->core.onMessage(now, from, message, out);
    }

    /// @returns whether the call was made by the dispatcher
    auto onUpstreamAnswer(Instant now, CallId call, const UpstreamAnswer &answer, Outbox &out)
        -> bool
    {
        return this->core.onUpstreamAnswer(now, call, answer, out);
    }

    /// Applies a newer version of the cell record; ignores older ones. To be called after the
    /// grants have been updated from the same version.
    auto onTable(Instant now, TablePointer table, Outbox &out) -> void
    {
        this->core.onTable(now, std::move(table), out);
    }

    /// Sets the policies of all services; upstreams of services that are new to the dispatcher are
    /// served from the next tick on.
    auto onPolicies(const std::vector<ServicePolicy> &policies) -> void
    {
        this->core.onPolicies(policies);
    }

    auto onMembership(Instant /*now*/, const MembershipView &view, Outbox & /*out*/) -> void
    {
        this->core.onMembership(view);
    }

    /// Sets the wall-clock time with which the times of issue in request ids are compared, with a
    /// tolerance of DispatcherSettings::clockSkew. To be called just before a tick, at least once a
    /// second.
    auto onWallClock(UnixMillis now) -> void { this->core.onWallClock(now); }

    /// To be called every 5 to 10 ms.
    auto tick(Instant now, Outbox &out) -> void { this->core.tick(now, out); }

    /// Starts no further runs: queued requests go back to the entry daemons, which hold them until
    /// there is another grantor. Runs in progress go on, and the stand-bys still receive outcomes.
    /// No other daemon should be made grantor before isIdle(), since an upstream may abort runs
    /// under the old fence.
    auto beginShutdown(Instant now, Outbox &out) -> void { this->core.beginShutdown(now, out); }

    /// @returns whether there are no jobs, no unacknowledged handovers, and no outcomes that a
    ///          reachable stand-by lacks
    [[nodiscard]] auto isIdle() const -> bool { return this->core.isIdle(); }

    /// @returns the requests completed since the last call
    [[nodiscard]] auto takeRuns() -> std::vector<CompletedRun> { return this->core.takeRuns(); }

    /// @returns the load of each upstream since the last call
    [[nodiscard]] auto upstreamLoads(Instant now) -> std::vector<UpstreamLoad>
    {
        return this->core.upstreamLoads(now);
    }

private:
    DispatcherCore core;
};

} // namespace gooseberrywall
