#include "edge/metricstext.h"

#include "insight/metricspage.h"

#include <array>
#include <utility>

namespace gooseberrywall {

auto metricsText(const CounterSnapshot &snapshot, const std::vector<StageSample> &stages,
                 const EdgeGauges &gauges) -> std::string
{
    auto page = metricsPage(snapshot) + metricsPage(stages);
    const std::array<std::pair<const char *, std::uint64_t>, 11> rows{
        {{"open_requests", gauges.openRequests},
         {"direct_requests_total", gauges.directRequests},
         {"store_calls_total", gauges.storeCalls},
         {"store_failures_total", gauges.storeFailures},
         {"upstream_connections_total", gauges.upstreamConnections},
         {"bad_datagrams_total", gauges.badDatagrams},
         {"unsent_datagrams_total", gauges.unsentDatagrams},
         {"dropped_log_lines_total", gauges.droppedLogLines},
         {"configuration_version", gauges.configurationVersion},
         {"granted_services", gauges.grantedServices},
         {"moved_keys_total", gauges.movedKeys}}};
    for (const auto &[name, value] : rows) {
        page += "gooseberrywall_" + std::string(name) + " " + std::to_string(value) + "\n";
    }
    return page;
}

} // namespace gooseberrywall
