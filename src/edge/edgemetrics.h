#pragma once

#include "edge/grantorroles.h"
#include "edge/metricstext.h"
#include "entry/requestflow.h"
#include "entry/upstreamstatements.h"
#include "memory/memoryaccount.h"
#include "streams/frontlistener.h"

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

} // namespace gooseberrywall
