#include "stubs/upstream/internal/modelreport.h"

#include "http/percentcoding.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace gooseberrywall {

namespace {

using nlohmann::json;

constexpr std::size_t listedDoubleRunLimit = 1000;

auto shardText(const ShardId &shard) -> std::string
{
    return percentEncode(shard.service.value) + '/' + std::to_string(shard.number);
}

auto fenceText(Fence fence) -> std::string
{
    return std::to_string(fence.term) + '.' + std::to_string(fence.sequence);
}

/// Parses a number from a query; leaves `number` unchanged if it is missing or malformed.
/// @param name the field's name with its equals sign
template<typename Number>
auto readNumber(std::string_view query, std::string_view name, Number &number) -> void
{
    const auto start = query.find(name);
    if (start == std::string_view::npos) {
        return;
    }
    const auto digits = query.substr(start + name.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
}

auto toJson(std::uint64_t number, const RunRecord &record) -> json
{
    json entry{{"number", number},
               {"incarnation", record.incarnation.value},
               {"id", percentEncode(record.id.value)},
               {"attempt", record.attempt.value},
               {"shard", shardText(record.shard)},
               {"fence", fenceText(record.fence)},
               {"key", percentEncode(record.key.value)},
               {"idempotent", record.idempotent},
               {"start_us", record.start.time_since_epoch().count()},
               {"effect", record.effect}};
    if (record.end.has_value()) {
        entry["end_us"] = record.end->time_since_epoch().count();
    }
    return entry;
}

} // namespace

auto parseRunPage(std::string_view query) -> RunPage
{
    RunPage page;
    readNumber(query, "after=", page.after);
    readNumber(query, "limit=", page.limit);
    return page;
}

auto runJson(const Address &upstream, RunNumber number, const RunRecord &record) -> std::string
{
    auto entry = toJson(number.value, record);
    entry["upstream"] = upstream.value;
    return entry.dump();
}

auto runsJson(const UpstreamModel &model, RunPage page) -> std::string
{
    const auto &log = model.runs();
    auto runs = json::array();
    const auto first = std::max(page.after, log.dropped()) - log.dropped();
    for (auto index = first; index < log.records().size() && runs.size() < page.limit; ++index) {
        runs.push_back(toJson(log.dropped() + index + 1, log.records().at(index)));
    }
    return json{{"incarnation", model.incarnation().value},
                {"started", log.started()},
                {"effects", log.effects()},
                {"dropped", log.dropped()},
                {"runs", std::move(runs)}}
        .dump();
}

auto doubleRunsJson(const RunLog &log) -> std::string
{
    const auto found = log.doubleRuns();
    auto ids = json::array();
    for (const auto &id : found) {
        if (ids.size() < listedDoubleRunLimit) {
            ids.push_back(percentEncode(id.value));
        }
    }
    return json{{"count", found.size()}, {"ids", std::move(ids)}}.dump();
}

auto stateJson(const UpstreamModel &model, Instant now) -> std::string
{
    auto held = json::array();
    for (const auto &grant : model.heldGrants(now)) {
        json entry{{"shard", shardText(grant.shard)}, {"fence", fenceText(grant.fence)}};
        if (grant.until.has_value()) {
            entry["until_us"] = grant.until->time_since_epoch().count();
        }
        held.push_back(std::move(entry));
    }
    return json{{"incarnation", model.incarnation().value},
                {"clock_us", model.clock(now).time_since_epoch().count()},
                {"frozen", model.frozen()},
                {"draining", model.draining()},
                {"busy_slots", model.busySlots()},
                {"started", model.runs().started()},
                {"effects", model.runs().effects()},
                {"held", std::move(held)}}
        .dump();
}

} // namespace gooseberrywall
