#pragma once

#include "edge/callclients.h"
#include "edge/configurationsource.h"
#include "edge/evacuations.h"
#include "edge/grantorroles.h"
#include "edge/grantorwatch.h"
#include "edge/metricstext.h"
#include "edge/peermessages.h"
#include "edge/upstreamwatch.h"
#include "entry/requestflow.h"
#include "entry/upstreamstatements.h"
#include "memory/memoryaccount.h"
#include "streams/frontlistener.h"
#include "streams/outboundpool.h"

namespace gooseberrywall {

/// Adds the metrics of the services that this daemon grants.
auto addGrantorMetrics(EdgeMetrics &metrics, const GrantorRoles &roles) -> void;

/// Adds the metrics of the requests that this daemon has open.
auto addRequestMetrics(EdgeMetrics &metrics, const RequestFlow &flow,
                       const UpstreamStatements &statements) -> void;

/// Adds the metrics of the bytes that this daemon holds.
/// @param callers counts of the callers' listener
/// @param peers counts of the peers' listener
auto addListenerMetrics(EdgeMetrics &metrics, const MemoryAccount &memory,
                        const FrontCounters &callers, const FrontCounters &peers) -> void;

/// Adds the metrics of the connections to upstreams, to the store and to forwarders.
/// @param givenUpForwards how many answers of forwarders were given up
auto addPoolMetrics(EdgeMetrics &metrics, const OutboundPool &upstreams, const OutboundPool &orders,
                    const OutboundPool &store, std::uint64_t givenUpForwards) -> void;

/// Adds the metrics of the calls to the store.
template<WireAdapter Wire>
auto addStoreMetrics(EdgeMetrics &metrics, const StoreClient<Wire> &store) -> void
{
    metrics.storeCalls = store.callCount();
    metrics.storeFailures = store.failureCount();
    metrics.storeEra = store.currentEra();
}

/// Adds the metrics of the datagrams between daemons.
auto addPeerMetrics(EdgeMetrics &metrics, const PeerMessages &peers) -> void;

/// Adds the metrics of the operators' configuration and evacuations, as this daemon knows them.
auto addConfigurationMetrics(EdgeMetrics &metrics, const ConfigurationSource &source,
                             const Evacuations &evacuations, Instant now) -> void;

/// @returns the time since `moment`; 0 where that is Instant{}
[[nodiscard]] auto ageInMilliseconds(Instant moment, Instant now) -> std::uint64_t;

/// Adds the metrics of the copies of the upstreams' entries and of the grantors.
template<WireAdapter Wire>
auto addWatchMetrics(EdgeMetrics &metrics, const UpstreamWatch<Wire> &upstreams,
                     const GrantorWatch &grantors, Instant now) -> void
{
    metrics.upstreamsAgeMs = ageInMilliseconds(upstreams.confirmedAt(), now);
    metrics.lostWatches += grantors.lostWatchCount() + upstreams.lostWatchCount();
    metrics.evacuatedUpstreams = upstreams.evacuatedCount();
}

} // namespace gooseberrywall
