#include "edge/metricstext.h"

#include "insight/metricspage.h"

#include <array>
#include <utility>

namespace gooseberrywall {

auto metricsText(const CounterSnapshot &snapshot, const std::vector<StageSample> &stages,
                 const EdgeMetrics &metrics) -> std::string
{
    auto page = metricsPage(snapshot) + metricsPage(stages);
    const std::array<std::pair<const char *, std::uint64_t>, 24> rows{
        {{"open_requests", metrics.openRequests},
         {"direct_requests_total", metrics.directRequests},
         {"store_calls_total", metrics.storeCalls},
         {"store_failures_total", metrics.storeFailures},
         {"upstream_connections_total", metrics.upstreamConnections},
         {"bad_datagrams_total", metrics.badDatagrams},
         {"unsent_datagrams_total", metrics.unsentDatagrams},
         {"dropped_log_lines_total", metrics.droppedLogLines},
         {"configuration_version", metrics.configurationVersion},
         {"granted_services", metrics.grantedServices},
         {"moved_keys_total", metrics.movedKeys},
         {"configuration_fetches_total", metrics.configurationFetches},
         {"limited_upstreams", metrics.limitedUpstreams},
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
         {"served_forwards_total", metrics.servedForwards}}};
    for (const auto &[name, value] : rows) {
        page += "gooseberrywall_" + std::string(name) + " " + std::to_string(value) + "\n";
    }
    return page;
}

} // namespace gooseberrywall
