#include "edge/metricstext.h"

#include "insight/metricspage.h"

#include <utility>
#include <vector>

namespace gooseberrywall {

auto metricsText(const CounterSnapshot &snapshot, const std::vector<StageSample> &stages,
                 const EdgeMetrics &metrics) -> std::string
{
    auto page = metricsPage(snapshot) + metricsPage(stages);
    const std::vector<std::pair<const char *, std::uint64_t>> rows{
        {{"open_requests", metrics.openRequests},
         {"direct_requests_total", metrics.directRequests},
         {"store_calls_total", metrics.storeCalls},
         {"store_failures_total", metrics.storeFailures},
         {"upstream_connections_total", metrics.upstreamConnections},
         {"bad_datagrams_total", metrics.badDatagrams},
         {"unsent_datagrams_total", metrics.unsentDatagrams},
         {"dropped_log_lines_total", metrics.droppedLogLines},
         {"configuration_version", metrics.configurationVersion},
         {"configuration_revision", metrics.configurationRevision},
         {"configuration_age_milliseconds", metrics.configurationAgeMs},
         {"upstreams_age_milliseconds", metrics.upstreamsAgeMs},
         {"lost_watches_total", metrics.lostWatches},
         {"granted_services", metrics.grantedServices},
         {"moved_keys_total", metrics.movedKeys},
         {"configuration_fetches_total", metrics.configurationFetches},
         {"limited_upstreams", metrics.limitedUpstreams},
         {"cold_upstreams", metrics.coldUpstreams},
         {"quarantined_requests", metrics.quarantinedRequests},
         {"store_era", metrics.storeEra},
         {"leaving_upstreams", metrics.leavingUpstreams},
         {"paused_upstreams", metrics.pausedUpstreams},
         {"granted_leaving_upstreams", metrics.grantedLeavingUpstreams},
         {"granted_paused_upstreams", metrics.grantedPausedUpstreams},
         {"granted_busiest_upstream_percent", metrics.grantedBusiestPercent},
         {"held_by_leaving_total", metrics.heldByLeaving},
         {"held_by_pause_total", metrics.heldByPause},
         {"upstreams_unreachable", metrics.isIsolated},
         {"forwarded_requests_total", metrics.forwardedRequests},
         {"served_forwards_total", metrics.servedForwards},
         {"memory_held_bytes", metrics.memoryHeldBytes},
         {"memory_budget_bytes", metrics.memoryBudgetBytes},
         {"memory_refusals_total", metrics.memoryRefusals},
         {"memory_shed_connections_total", metrics.memoryShedConnections},
         {"answers_given_up_total", metrics.givenUpAnswers},
         {"silent_callers_total", metrics.silentCallers},
         {"evacuated_domains", metrics.evacuatedDomains},
         {"evacuated_upstreams", metrics.evacuatedUpstreams}}};
    for (const auto &[name, value] : rows) {
        page += "gooseberrywall_" + std::string(name) + " " + std::to_string(value) + "\n";
    }
    return page;
}

} // namespace gooseberrywall
