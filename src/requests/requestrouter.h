#pragma once

#include "insight/counters.h"
#include "insight/eventring.h"
#include "membership/types/membershipview.h"
#include "ownership/table.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"
#include "protocol/types/servicepolicy.h"
#include "requests/types/routersettings.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace gooseberrywall {

class RouterCore;

/// Entry side of requests: forwards each request to the grantor of the upstream that owns its key,
/// holds it while no such grantor is known and reachable, retries where that is safe, and ends each
/// exchange exactly once, at the latest RouterSettings::endMargin after its deadline.
class RequestRouter
{
public:
    /// @param self this daemon
    /// @param counters counts ends and retries; must outlive the router
    /// @param events records what happens to each request; must outlive the router
    /// @param randomSeed for attempt ids and jitter; must differ between incarnations of a daemon
    RequestRouter(DaemonIdentity self, RouterSettings settings, Counters &counters,
                  EventRing &events, std::uint64_t randomSeed);
    ~RequestRouter();
    RequestRouter(const RequestRouter &) = delete;
    RequestRouter(RequestRouter &&) = delete;
    auto operator=(const RequestRouter &) -> RequestRouter & = delete;
    auto operator=(RequestRouter &&) -> RequestRouter & = delete;

    /// Takes a caller's request.
    /// @param exchange the caller's open exchange, which gets the request's end
    auto onRequest(Instant now, ExchangeId exchange, Request request, Outbox &out) -> void;

    /// Cancels the request of an exchange that its caller has closed.
    auto onCallerGone(Instant now, ExchangeId exchange, Outbox &out) -> void;

    /// Takes a caller's query for the end of an earlier request.
    /// @param exchange the caller's open exchange, which gets the answer
    auto onOutcomeQuery(Instant now, ExchangeId exchange, RequestId id, ServiceName service,
                        Key key, CallerId caller, Outbox &out) -> void;

    auto onTable(Instant now, TablePointer table, Outbox &out) -> void;
    auto onPolicies(const std::vector<ServicePolicy> &policies) -> void;
    auto onMembership(Instant now, const MembershipView &view, Outbox &out) -> void;

    /// @returns whether the message was for the router (ForwardEnd)
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &out)
        -> bool;

    /// Ends exchanges whose time is up and retries waiting ones; to be called every 5 to 10 ms.
    auto tick(Instant now, Outbox &out) -> void;

    /// Refuses new requests that might end later than `lastEnd`, and ends open exchanges by then.
    auto beginShutdown(Instant lastEnd) -> void;

    /// @returns whether no exchange is open
    [[nodiscard]] auto isIdle() const -> bool;

private:
    std::unique_ptr<RouterCore> core;
};

} // namespace gooseberrywall
