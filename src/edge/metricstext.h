#pragma once

#include "insight/types/countersnapshot.h"
#include "insight/types/stagesample.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywall {

/// Metrics of one edge daemon other than those of its requests.
struct EdgeMetrics
{
    std::uint64_t openRequests = 0;
    std::uint64_t directRequests = 0;
    std::uint64_t storeCalls = 0;
    std::uint64_t storeFailures = 0;
    std::uint64_t upstreamConnections = 0;
    std::uint64_t badDatagrams = 0;
    std::uint64_t unsentDatagrams = 0;
    std::uint64_t droppedLogLines = 0;
    std::uint64_t configurationVersion = 0;
    /// Of the store, of the configuration that this daemon has.
    std::uint64_t configurationRevision = 0;
    /// Time since the configuration was last known to be the newest; 0 where it never was.
    std::uint64_t configurationAgeMs = 0;
    /// Time since the store last confirmed the entries of upstreams; 0 while they aren't watched.
    std::uint64_t upstreamsAgeMs = 0;
    /// Watches of the store that weren't answered in time.
    std::uint64_t lostWatches = 0;
    std::uint64_t grantedServices = 0;
    std::uint64_t movedKeys = 0;
    std::uint64_t configurationFetches = 0;
    std::uint64_t limitedUpstreams = 0;
    /// Upstreams of the granted services that count as cold, where there is a bound for them.
    std::uint64_t coldUpstreams = 0;
    /// Upstreams of the granted services that have stated that they are about to stop.
    std::uint64_t grantedLeavingUpstreams = 0;
    /// Upstreams of the granted services that want no requests from some daemon at present.
    std::uint64_t grantedPausedUpstreams = 0;
    /// Utilisation of the busiest upstream in percent of its service's mean, of the granted service
    /// where this is the highest; 0 where there is too little load to tell.
    std::uint64_t grantedBusiestPercent = 0;
    std::uint64_t storeEra = 0;
    /// Requests that are refused because they crash upstreams, as far as this daemon knows.
    std::uint64_t quarantinedRequests = 0;
    /// Upstreams that have stated to this daemon that they are about to stop.
    std::uint64_t leavingUpstreams = 0;
    /// Upstreams that want no requests from this daemon at present.
    std::uint64_t pausedUpstreams = 0;
    std::uint64_t heldByLeaving = 0;
    std::uint64_t heldByPause = 0;
    /// 1 while this VM reaches no upstream.
    std::uint64_t isIsolated = 0;
    /// Requests that this daemon has sent through another daemon.
    std::uint64_t forwardedRequests = 0;
    /// Requests that this daemon has forwarded for other daemons.
    std::uint64_t servedForwards = 0;
    /// Bytes held for callers and upstreams, and the budget for them.
    std::uint64_t memoryHeldBytes = 0;
    std::uint64_t memoryBudgetBytes = 0;
    /// Requests refused, and connections closed, because memory was short.
    std::uint64_t memoryRefusals = 0;
    std::uint64_t memoryShedConnections = 0;
    /// Answers that were given up because they took too much memory while they arrived.
    std::uint64_t givenUpAnswers = 0;
    /// Connections that were reset because the caller didn't acknowledge its answers.
    std::uint64_t silentCallers = 0;
    std::uint64_t evacuatedDomains = 0;
    /// Upstreams in these failure domains; zero while this daemon doesn't watch the entries.
    std::uint64_t evacuatedUpstreams = 0;
    auto operator==(const EdgeMetrics &) const -> bool = default;
};

/// @returns the metrics page of an edge daemon in Prometheus' text format
[[nodiscard]] auto metricsText(const CounterSnapshot &snapshot,
                               const std::vector<StageSample> &stages, const EdgeMetrics &metrics)
    -> std::string;

} // namespace gooseberrywall
