#pragma once

#include "ownership/table.h"
#include "ownership/types/grantorsettings.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"
#include "protocol/types/servicepolicy.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace gooseberrywall {

class AuthorityTracker;
class ServicePolicies;
class UpstreamSession;
struct SessionContext;

/// Orders and renews the grants of all upstreams whose entry in the cell's record names this daemon
/// and incarnation as grantor. It orders only what the record says, and reports to the coordinator
/// what has come to an end.
class Grantor
{
public:
    Grantor(DaemonIdentity self, GrantorSettings settings);
    ~Grantor();
    Grantor(const Grantor &) = delete;
    auto operator=(const Grantor &) -> Grantor & = delete;
    Grantor(Grantor &&) = delete;
    auto operator=(Grantor &&) -> Grantor & = delete;

    /// Takes a new version of the record.
    /// @param table newer than any earlier one
    auto onTable(Instant now, TablePointer table, Outbox &out) -> void;

    /// Takes the policies of the services, which say how upstreams treat grants.
    auto onPolicies(const std::vector<ServicePolicy> &policies) -> void;

    /// Sends what is due; call it every 10 ms or so.
    auto tick(Instant now, Outbox &out) -> void;

    /// @returns whether the call was one of this class
    auto onUpstreamAnswer(Instant now, CallId call, const UpstreamAnswer &answer, Outbox &out)
        -> bool;

    /// Handles AuthorityAnswer, ignores other messages.
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &out)
        -> void;

    /// @returns the fence under which a request may be sent to the shard's owner right now; nothing
    ///          where the owner isn't an upstream of this daemon, hasn't confirmed the grant, or
    ///          the grant or this daemon's authority may have ended
    [[nodiscard]] auto fenceFor(Instant now, const ShardId &shard) const -> std::optional<Fence>;

    /// @returns whether the record names this daemon and incarnation as the upstream's grantor
    [[nodiscard]] auto isGrantorOf(const UpstreamId &upstream) const -> bool;

private:
    [[nodiscard]] auto isMine(const UpstreamEntry &entry) const -> bool;
    [[nodiscard]] auto contextFor(Instant now, const UpstreamSession &session) const
        -> SessionContext;
    auto updateSession(Instant now, const UpstreamEntry &entry, std::vector<ShardEntry> shards,
                       Outbox &out) -> void;
    auto requestAuthority(Instant now, Outbox &out) -> void;
    auto handlePause(Instant now) -> void;

    DaemonIdentity self;
    GrantorSettings settings;
    std::unique_ptr<ServicePolicies> policies;
    TablePointer table;
    std::map<UpstreamId, std::unique_ptr<UpstreamSession>> sessions;
    std::unique_ptr<AuthorityTracker> authority;
    std::optional<Instant> lastTick;
};

} // namespace gooseberrywall
