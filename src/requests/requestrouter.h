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

/// Entry side of requests: brings each request to the grantor of its key's owner, waits while the
/// shard has none, retries where that is safe, and ends each exchange exactly once, by its deadline
/// plus RouterSettings::endMargin.
class RequestRouter
{
public:
    /// @param self this daemon
    /// @param counters counts ends and retries; must outlive the router
    /// @param events records what happens to each request; must outlive the router
    /// @param randomSeed for attempt ids and jitter; must differ between lives of a daemon
    RequestRouter(DaemonIdentity self, RouterSettings settings, Counters &counters,
                  EventRing &events, std::uint64_t randomSeed);
    ~RequestRouter();
    RequestRouter(const RequestRouter &) = delete;
    RequestRouter(RequestRouter &&) = delete;
    auto operator=(const RequestRouter &) -> RequestRouter & = delete;
    auto operator=(RequestRouter &&) -> RequestRouter & = delete;

    /// A caller's request has arrived.
    /// @param exchange names the caller's open exchange; its end goes there
    auto onRequest(Instant now, ExchangeId exchange, Request request, Outbox &out) -> void;

    /// The caller closed its exchange: nobody waits for the end any more.
    auto onCallerGone(Instant now, ExchangeId exchange, Outbox &out) -> void;

    /// A caller asks how an earlier request ended.
    auto onOutcomeQuery(Instant now, ExchangeId exchange, RequestId id, ServiceName service,
                        Key key, CallerId caller, Outbox &out) -> void;

    auto onTable(Instant now, TablePointer table, Outbox &out) -> void;
    auto onPolicies(const std::vector<ServicePolicy> &policies) -> void;
    auto onMembership(Instant now, const MembershipView &view, Outbox &out) -> void;

    /// @returns whether the message was for the router (ForwardEnd)
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &out)
        -> bool;

    /// Ends what is due and retries what may go on; to be called every 5 to 10 ms.
    auto tick(Instant now, Outbox &out) -> void;

    /// Refuses new requests from now on; open ones go on.
    auto beginShutdown() -> void;

    /// @returns whether no exchange is open
    [[nodiscard]] auto isIdle() const -> bool;

private:
    std::unique_ptr<RouterCore> core;
};

} // namespace gooseberrywall
