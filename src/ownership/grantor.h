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

/// Grants shards to all upstreams whose entry in the cell's record names this daemon and
/// incarnation as grantor, and renews and revokes these grants. It orders only what the record
/// says, and reports to the coordinator which grants have ended and which shards are released.
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
    /// @param table nullptr and versions that aren't newer than the last one have no effect
    auto onTable(Instant now, TablePointer table, Outbox &out) -> void;

    /// Takes the services' policies, which say how their upstreams handle grants.
    auto onPolicies(const std::vector<ServicePolicy> &policies) -> void;

    /// Sends the calls and messages that are due; to be called about every 10 ms.
    auto tick(Instant now, Outbox &out) -> void;

    /// @returns whether the call was made by this object
    auto onUpstreamAnswer(Instant now, CallId call, const UpstreamAnswer &answer, Outbox &out)
        -> bool;

    /// Handles AuthorityAnswer, ignores other messages.
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &out)
        -> void;

    /// @returns the fence under which a request may be sent to the shard's owner at this moment;
    ///          nothing if this daemon isn't the owner's grantor, the owner hasn't confirmed the
    ///          grant, or the grant or this daemon's authority may have ended
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
    std::optional<Instant> lastTickAt;
};

} // namespace gooseberrywall
