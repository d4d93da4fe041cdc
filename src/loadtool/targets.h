#pragma once

#include "http/httppool.h"
#include "loadtool/types/callend.h"
#include "loadtool/types/loadsettings.h"
#include "loadtool/types/plannedrequest.h"
#include "upstreamclient/upstreamclient.h"

#include <concepts>
#include <functional>
#include <unordered_map>
#include <vector>

namespace gooseberrywall {

using CallDone = std::function<void(CallEnd)>;

/// A destination of the requests of a load run.
template<typename Target>
concept LoadTarget = requires(Target target, const PlannedRequest &request, int sent, CallDone done)
{
    target.prepare([](bool) {});
    target.send(request, sent, done);
    target.queryOutcome(request, done);
};

/// Sends requests to daemons in turn (round robin).
class DaemonTarget
{
public:
    /// @param base runs the calls; must outlive this
    /// @param daemons the daemons' caller addresses, at least one
    /// @param connections maximal connections to each daemon
    DaemonTarget(event_base *base, LoadSettings settings, std::vector<Address> daemons,
                 std::size_t connections);

    /// Does nothing, as daemons need no preparation.
    /// @param prepared called with true
    auto prepare(const std::function<void(bool)> &prepared) -> void { prepared(true); }

    /// @param sent number of times that the request was sent before
    auto send(const PlannedRequest &request, int sent, CallDone done) -> void;

    /// Queries the outcome of an earlier request.
    auto queryOutcome(const PlannedRequest &request, CallDone done) -> void;

private:
    auto call(const PlannedRequest &request, HttpRequest call, CallDone done) -> void;

    LoadSettings settings;
    std::vector<Address> daemons;
    HttpPool pool;
    std::size_t nextDaemon = 0;
};

/// Sends runs to upstream stand-ins without a daemon, as the grantor of one shard per upstream.
/// Keys are distributed over the upstreams by their hash.
class DirectTarget
{
public:
    /// @param base runs the calls; must outlive this
    /// @param upstreams the addresses of the stand-ins, at least one
    /// @param connections maximal connections to each upstream
    DirectTarget(event_base *base, LoadSettings settings, std::vector<Address> upstreams,
                 std::size_t connections);

    /// Grants each upstream its shard.
    /// @param prepared called with whether all upstreams have accepted their grant
    auto prepare(std::function<void(bool)> prepared) -> void;

    auto send(const PlannedRequest &request, int sent, CallDone done) -> void;

    /// Always answers Unknown, as stand-ins keep no outcomes.
    auto queryOutcome(const PlannedRequest &, const CallDone &done) -> void
    {
        done({CallEndKind::Unknown, ""});
    }

private:
    auto call(std::size_t upstream, UpstreamRequest request,
              std::function<void(const UpstreamAnswer &)> done) -> void;
    auto grant(std::size_t upstream, Incarnation incarnation) -> void;
    auto finishGrant(bool isGranted) -> void;
    [[nodiscard]] auto shardOf(std::size_t upstream) const -> ShardId;

    LoadSettings settings;
    std::vector<Address> upstreams;
    UpstreamClient client;
    std::unordered_map<CallId, std::function<void(const UpstreamAnswer &)>> calls;
    std::function<void(bool)> prepared;
    std::size_t answered = 0;
    bool allGranted = true;
    CallId lastCall;
};

} // namespace gooseberrywall
