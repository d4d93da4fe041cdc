#include "edge/edgemetrics.h"

#include "common/durations.h"

namespace gooseberrywall {

auto addGrantorMetrics(EdgeMetrics &metrics, const GrantorRoles &roles) -> void
{
    metrics.grantedServices = roles.servingCount();
    metrics.movedKeys = roles.movedKeys();
    metrics.quarantinedRequests = roles.quarantinedCount();
    metrics.limitedUpstreams = roles.limitedUpstreamCount();
    metrics.coldUpstreams = roles.coldUpstreamCount();
    metrics.grantedLeavingUpstreams = roles.leavingUpstreamCount();
    metrics.grantedPausedUpstreams = roles.pausedUpstreamCount();
    metrics.grantedBusiestPercent = roles.busiestSharePercent();
}

auto addRequestMetrics(EdgeMetrics &metrics, const RequestFlow &flow,
                       const UpstreamStatements &statements) -> void
{
    metrics.openRequests = flow.openCount();
    metrics.directRequests = flow.directSendCount();
    metrics.heldByLeaving = flow.heldByLeavingCount();
    metrics.heldByPause = flow.heldByPauseCount();
    metrics.forwardedRequests = flow.forwardedCount();
    metrics.leavingUpstreams = statements.leavingCount();
    metrics.pausedUpstreams = statements.pausedCount();
}

auto addListenerMetrics(EdgeMetrics &metrics, const MemoryAccount &memory,
                        const FrontCounters &callers, const FrontCounters &peers) -> void
{
    metrics.memoryHeldBytes = memory.heldBytes();
    metrics.memoryBudgetBytes = memory.budget().totalBytes;
    metrics.memoryRefusals = callers.memoryRefusals + peers.memoryRefusals;
    metrics.memoryShedConnections = callers.shedConnections + peers.shedConnections;
    metrics.silentCallers = callers.silentCallers + peers.silentCallers;
}

auto addPoolMetrics(EdgeMetrics &metrics, const OutboundPool &upstreams, const OutboundPool &orders,
                    const OutboundPool &store, std::uint64_t givenUpForwards) -> void
{
    metrics.upstreamConnections = upstreams.openedCount() + orders.openedCount();
    metrics.givenUpAnswers =
        upstreams.givenUpCount() + orders.givenUpCount() + store.givenUpCount() + givenUpForwards;
}

auto addPeerMetrics(EdgeMetrics &metrics, const PeerMessages &peers) -> void
{
    metrics.badDatagrams = peers.malformedCount();
    metrics.unsentDatagrams = peers.unsentCount();
}

auto addConfigurationMetrics(EdgeMetrics &metrics, const ConfigurationSource &source,
                             const Evacuations &evacuations, Instant now) -> void
{
    metrics.configurationRevision = numberOf(source.revision());
    metrics.configurationAgeMs = ageInMilliseconds(source.lastConfirmedAt(), now);
    metrics.configurationFetches = source.fetchCount();
    metrics.lostWatches += source.lostWatchCount();
    metrics.evacuatedDomains = evacuations.domainCount();
}

auto ageInMilliseconds(Instant moment, Instant now) -> std::uint64_t
{
    return moment == Instant{} ? 0 : static_cast<std::uint64_t>(toMilliseconds(now - moment));
}

} // namespace gooseberrywall
