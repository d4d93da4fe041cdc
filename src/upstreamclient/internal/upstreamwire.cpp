#include "upstreamclient/upstreamwire.h"

#include "http/jsonfields.h"
#include "http/percentcoding.h"
#include "upstreamclient/internal/runwire.h"

#include <array>
#include <utility>

namespace gooseberrywall::upstreamwire {

namespace {

using jsonfields::decoded;
using jsonfields::durationOf;
using jsonfields::enumeratorOf;
using jsonfields::json;
using jsonfields::numberOf;
using jsonfields::textOf;

constexpr std::array<std::string_view, 2> actionNames{"grant", "revoke"};

constexpr std::array<std::string_view, 4> grantStatusNames{"done", "stale_fence", "expired",
                                                           "draining"};

auto addShard(json &object, const ShardId &shard) -> void
{
    object["service"] = percentEncode(shard.service.value);
    object["shard"] = shard.number;
}

auto shardOf(const json &object) -> ShardId
{
    return {{textOf(object, "service")}, numberOf<std::uint32_t>(object, "shard")};
}

auto addFence(json &object, Fence fence) -> void
{
    object["fence_term"] = fence.term;
    object["fence_sequence"] = fence.sequence;
}

auto fenceOf(const json &object) -> Fence
{
    return {numberOf<std::uint32_t>(object, "fence_term"),
            numberOf<std::uint32_t>(object, "fence_sequence")};
}

auto addUntil(json &object, std::optional<UpstreamInstant> until) -> void
{
    if (until.has_value()) {
        object["until_us"] = until->time_since_epoch().count();
    }
}

auto untilOf(const json &object) -> std::optional<UpstreamInstant>
{
    if (!object.contains("until_us")) {
        return std::nullopt;
    }
    return UpstreamInstant{durationOf(object, "until_us")};
}

auto toJson(const GrantBatch &batch) -> json
{
    auto orders = json::array();
    for (const auto &order : batch.orders) {
        json entry{{"action", actionNames.at(static_cast<std::size_t>(order.action))},
                   {"time_to_live_us", order.timeToLive.count()}};
        addShard(entry, order.shard);
        addFence(entry, order.fence);
        addUntil(entry, order.until);
        orders.push_back(std::move(entry));
    }
    return {{"grantor", percentEncode(batch.grantor.value)},
            {"term", batch.term.value},
            {"incarnation", batch.incarnation.value},
            {"orders", std::move(orders)}};
}

auto batchOf(const json &object) -> GrantBatch
{
    GrantBatch batch;
    batch.grantor = {textOf(object, "grantor")};
    batch.term = {numberOf<std::uint64_t>(object, "term")};
    batch.incarnation = {numberOf<std::uint64_t>(object, "incarnation")};
    for (const auto &entry : object.at("orders")) {
        batch.orders.push_back({shardOf(entry), fenceOf(entry),
                                enumeratorOf<GrantAction>(entry, "action", actionNames),
                                untilOf(entry), durationOf(entry, "time_to_live_us")});
    }
    return batch;
}

auto toJson(const GrantBatchAnswer &answer) -> json
{
    auto results = json::array();
    for (const auto &result : answer.results) {
        json entry{{"status", grantStatusNames.at(static_cast<std::size_t>(result.status))}};
        addShard(entry, result.shard);
        addFence(entry, result.fence);
        results.push_back(std::move(entry));
    }
    auto held = json::array();
    for (const auto &grant : answer.held) {
        auto entry = json::object();
        addShard(entry, grant.shard);
        addFence(entry, grant.fence);
        addUntil(entry, grant.until);
        held.push_back(std::move(entry));
    }
    return {{"incarnation", answer.incarnation.value},
            {"clock_us", answer.clock.time_since_epoch().count()},
            {"refused", answer.refused},
            {"highest_term", answer.highestTerm.value},
            {"results", std::move(results)},
            {"held", std::move(held)}};
}

auto batchAnswerOf(const json &object) -> GrantBatchAnswer
{
    GrantBatchAnswer answer;
    answer.incarnation = {numberOf<std::uint64_t>(object, "incarnation")};
    answer.clock = UpstreamInstant{durationOf(object, "clock_us")};
    answer.refused = object.at("refused").get<bool>();
    answer.highestTerm = {numberOf<std::uint64_t>(object, "highest_term")};
    for (const auto &entry : object.at("results")) {
        answer.results.push_back({shardOf(entry),
                                  enumeratorOf<GrantStatus>(entry, "status", grantStatusNames),
                                  fenceOf(entry)});
    }
    for (const auto &entry : object.at("held")) {
        answer.held.push_back({shardOf(entry), fenceOf(entry), untilOf(entry)});
    }
    return answer;
}

auto toJson(const UpstreamReport &report) -> json
{
    return {{"incarnation", report.incarnation.value},
            {"clock_us", report.clock.time_since_epoch().count()},
            {"healthy", report.healthy},
            {"draining", report.draining},
            {"slots", report.slots},
            {"busy_slots", report.busySlots},
            {"load", report.load}};
}

auto reportOf(const json &object) -> UpstreamReport
{
    UpstreamReport report;
    report.incarnation = {numberOf<std::uint64_t>(object, "incarnation")};
    report.clock = UpstreamInstant{durationOf(object, "clock_us")};
    report.healthy = object.at("healthy").get<bool>();
    report.draining = object.at("draining").get<bool>();
    report.slots = numberOf<int>(object, "slots");
    report.busySlots = numberOf<int>(object, "busy_slots");
    report.load = object.at("load").get<double>();
    return report;
}

auto jsonRequest(std::string_view target, const json &object) -> HttpRequest
{
    return {HttpMethod::Post,
            std::string(target),
            {{"Content-Type", "application/json"}},
            object.dump()};
}

auto jsonAnswer(const json &object) -> HttpAnswer
{
    return {HttpOutcome::Answered, okStatus, {}, object.dump()};
}

/// @returns the decoded value; `missing` if decoding failed
template<typename Variant, typename Value>
auto orElse(std::optional<Value> value, Variant missing) -> Variant
{
    return value.has_value() ? Variant{std::move(*value)} : std::move(missing);
}

/// @returns the decoded answer; BadAnswer if it is malformed or belongs to another attempt
auto runAnswerFor(AttemptId attempt, HttpAnswer answer) -> UpstreamAnswer
{
    auto run = decodeRunAnswer(std::move(answer));
    if (!run.has_value() || run->attempt != attempt) {
        return UpstreamFailure::BadAnswer;
    }
    return std::move(*run);
}

} // namespace

auto encodeRequest(const UpstreamRequest &request) -> HttpRequest
{
    if (const auto *run = std::get_if<RunRequest>(&request)) {
        return encodeRun(*run);
    }
    if (const auto *batch = std::get_if<GrantBatch>(&request)) {
        return jsonRequest(grantsTarget, toJson(*batch));
    }
    if (const auto *cancel = std::get_if<CancelRun>(&request)) {
        return jsonRequest(cancelTarget, {{"attempt", cancel->attempt.value}});
    }
    return jsonRequest(probeTarget, json::object());
}

auto decodeRequest(std::string_view target, const HeaderLookup &headers, std::string body)
    -> std::optional<UpstreamRequest>
{
    if (target == runTarget) {
        return decodeRun(headers, std::move(body));
    }
    if (target == grantsTarget) {
        return decoded(body, batchOf);
    }
    if (target == cancelTarget) {
        return decoded(body, [](const json &object) {
            return CancelRun{{numberOf<std::uint64_t>(object, "attempt")}};
        });
    }
    if (target == probeTarget) {
        return UpstreamProbe{};
    }
    return std::nullopt;
}

auto encodeAnswer(const UpstreamAnswer &answer) -> HttpAnswer
{
    if (const auto *run = std::get_if<RunAnswer>(&answer)) {
        return encodeRunAnswer(*run);
    }
    if (const auto *batch = std::get_if<GrantBatchAnswer>(&answer)) {
        return jsonAnswer(toJson(*batch));
    }
    if (const auto *report = std::get_if<UpstreamReport>(&answer)) {
        return jsonAnswer(toJson(*report));
    }
    return {HttpOutcome::BadAnswer, badRequestStatus, {}, {}};
}

auto decodeAnswer(const UpstreamRequest &request, HttpAnswer answer) -> UpstreamAnswer
{
    UpstreamAnswer bad = UpstreamFailure::BadAnswer;
    if (answer.status != okStatus) {
        return bad;
    }
    if (const auto *run = std::get_if<RunRequest>(&request)) {
        return runAnswerFor(run->attempt, std::move(answer));
    }
    if (const auto *cancel = std::get_if<CancelRun>(&request)) {
        return runAnswerFor(cancel->attempt, std::move(answer));
    }
    if (std::holds_alternative<GrantBatch>(request)) {
        return orElse(decoded(answer.body, batchAnswerOf), bad);
    }
    return orElse(decoded(answer.body, reportOf), bad);
}

} // namespace gooseberrywall::upstreamwire
