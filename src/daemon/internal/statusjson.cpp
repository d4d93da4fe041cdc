#include "daemon/internal/statusjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace gooseberrywall::statusjson {

using nlohmann::json;

namespace {

constexpr std::size_t transferLimit = 100;

auto problem(const std::string &what, const std::string &remedy) -> json
{
    return {{"what", what}, {"remedy", remedy}};
}

auto countShards(const Table &table, const UpstreamId &upstream) -> std::size_t
{
    const auto &shards = table.record().shards;
    return static_cast<std::size_t>(
        std::count_if(shards.begin(), shards.end(), [&](const ShardEntry &entry) {
            return entry.owner == upstream && entry.stage != ShardStage::Unowned;
        }));
}

auto transfers(const Table &table) -> json
{
    auto list = json::array();
    for (const auto &entry : table.record().shards) {
        if (entry.stage == ShardStage::Transferring && list.size() < transferLimit) {
            list.push_back({{"service", entry.id.service.value},
                            {"shard", entry.id.number},
                            {"from", entry.owner.value},
                            {"to", entry.next.value}});
        }
    }
    return list;
}

auto members(const Node &node) -> json
{
    auto list = json::array();
    for (const auto &member : node.membershipView().members) {
        list.push_back({{"id", member.id.value},
                        {"domain", member.domain.value},
                        {"address", member.address.value},
                        {"incarnation", member.incarnation.value},
                        {"state", toText(member.state)}});
    }
    return list;
}

auto countUnowned(const Table &table) -> std::size_t
{
    const auto &shards = table.record().shards;
    return static_cast<std::size_t>(
        std::count_if(shards.begin(), shards.end(),
                      [](const ShardEntry &entry) { return entry.stage == ShardStage::Unowned; }));
}

auto tableProblems(const Table &table) -> json
{
    auto list = json::array();
    if (const auto count = countUnowned(table); count > 0) {
        list.push_back(problem(std::to_string(count) + " shards have no owner",
                               "Wait 5 seconds; if it stays, add upstreams of the service."));
    }
    for (const auto &upstream : table.record().upstreams) {
        if (upstream.state == UpstreamState::Lost) {
            list.push_back(problem("upstream " + upstream.id.value + " is lost",
                                   "Restart or replace its VM; its shards move by themselves."));
        }
        if (upstream.standby.empty()) {
            list.push_back(problem("upstream " + upstream.id.value + " has no stand-by",
                                   "Add daemons in further failure domains."));
        }
    }
    if (!table.record().quarantine.empty()) {
        list.push_back(
            problem(std::to_string(table.record().quarantine.size()) + " requests are quarantined",
                    "Look at them with gooseberrywallctl quarantine list."));
    }
    return list;
}

auto problems(const Node &node) -> json
{
    const auto table = node.table();
    if (table == nullptr) {
        return json::array(
            {problem("this daemon has no table yet",
                     "Check the platform's service and the seeds in the settings.")});
    }
    auto list = tableProblems(*table);
    if (node.policies().empty()) {
        list.push_back(problem("no service is configured",
                               "Add a service section with gooseberrywallctl config set."));
    }
    for (const auto &member : node.membershipView().members) {
        if (member.state == MemberState::Suspect) {
            list.push_back(problem("daemon " + member.id.value + " does not answer",
                                   "Check its VM; it is removed within two seconds."));
        }
    }
    return list;
}

} // namespace

auto toText(MemberState state) -> std::string
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Removed:
        return "removed";
    }
    return {};
}

auto toText(UpstreamState state) -> std::string
{
    switch (state) {
    case UpstreamState::Live:
        return "live";
    case UpstreamState::Leaving:
        return "leaving";
    case UpstreamState::Lost:
        return "lost";
    }
    return {};
}

auto toText(ShardStage stage) -> std::string
{
    switch (stage) {
    case ShardStage::Unowned:
        return "unowned";
    case ShardStage::Owned:
        return "owned";
    case ShardStage::Transferring:
        return "transferring";
    }
    return {};
}

auto upstreams(const Table &table) -> json
{
    auto list = json::array();
    for (const auto &upstream : table.record().upstreams) {
        list.push_back({{"id", upstream.id.value},
                        {"service", upstream.service.value},
                        {"domain", upstream.domain.value},
                        {"address", upstream.address.value},
                        {"incarnation", upstream.incarnation.value},
                        {"state", toText(upstream.state)},
                        {"grantor", upstream.grantor.value},
                        {"standby", upstream.standby.value},
                        {"term", upstream.term.value},
                        {"shards", countShards(table, upstream.id)}});
    }
    return list;
}

auto shard(const Table &table, const ShardEntry &entry) -> json
{
    auto page = json{{"service", entry.id.service.value},
                     {"shard", entry.id.number},
                     {"stage", toText(entry.stage)},
                     {"owner", entry.owner.value},
                     {"fence", {{"term", entry.fence.term}, {"sequence", entry.fence.sequence}}}};
    if (entry.stage == ShardStage::Transferring) {
        page["next"] = entry.next.value;
    }
    if (const auto *upstream = table.upstream(entry.owner)) {
        page["grantor"] = upstream->grantor.value;
        page["address"] = upstream->address.value;
    }
    return page;
}

auto counters(const CounterSnapshot &snapshot) -> json
{
    auto counts = json::array();
    for (const auto &sample : snapshot.counters) {
        counts.push_back({{"service", sample.key.service.value},
                          {"caller", sample.key.caller.value},
                          {"event", toString(sample.key.event)},
                          {"reason", toString(sample.key.reason)},
                          {"count", sample.count}});
    }
    auto latencies = json::array();
    for (const auto &sample : snapshot.latencies) {
        latencies.push_back({{"service", sample.service.value},
                             {"count", sample.count},
                             {"p50_us", sample.p50.count()},
                             {"p90_us", sample.p90.count()},
                             {"p99_us", sample.p99.count()},
                             {"p999_us", sample.p999.count()},
                             {"maximum_us", sample.maximum.count()}});
    }
    return {{"counters", counts}, {"latencies", latencies}};
}

auto quarantine(const Table &table) -> json
{
    auto list = json::array();
    for (const auto &entry : table.record().quarantine) {
        list.push_back({{"request", entry.id.value},
                        {"service", entry.service.value},
                        {"key", entry.key.value}});
    }
    return list;
}

auto status(const Node &node, Instant /*now*/) -> json
{
    const auto &self = node.identity();
    auto page = json{{"daemon", self.id.value},
                     {"domain", self.domain.value},
                     {"incarnation", self.incarnation.value},
                     {"ready", node.isReady()},
                     {"coordinating", node.isCoordinating()},
                     {"members", members(node)},
                     {"problems", problems(node)}};
    const auto table = node.table();
    if (table == nullptr) {
        return page;
    }
    page["table_version"] = table->version().value;
    page["coordinator"] = table->record().coordinator.value;
    page["upstreams"] = upstreams(*table);
    page["shards"] = table->record().shards.size();
    page["unowned_shards"] = countUnowned(*table);
    page["pinned_keys"] = table->record().pinnedKeys.size();
    page["transfers"] = transfers(*table);
    return page;
}

} // namespace gooseberrywall::statusjson
