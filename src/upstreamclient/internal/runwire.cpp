#include "upstreamclient/internal/runwire.h"

#include "http/percentcoding.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace gooseberrywall::upstreamwire {

namespace {

constexpr const char *attemptHeader = "X-Attempt";
constexpr const char *requestIdHeader = "X-Request-Id";
constexpr const char *serviceHeader = "X-Service";
constexpr const char *shardHeader = "X-Shard";
constexpr const char *termHeader = "X-Fence-Term";
constexpr const char *sequenceHeader = "X-Fence-Seq";
constexpr const char *keyHeader = "X-Key";
constexpr const char *operationHeader = "X-Operation";
constexpr const char *idempotentHeader = "X-Idempotent";
constexpr const char *remainingHeader = "X-Remaining-Us";
constexpr const char *incarnationHeader = "X-Incarnation";
constexpr const char *runStatusHeader = "X-Run-Status";
constexpr const char *statusHeader = "X-Status";
constexpr const char *serviceTimeHeader = "X-Service-Us";

struct StatusName
{
    RunStatus status;
    std::string_view name;
};

constexpr std::array<StatusName, 8> statusNames{{
    {RunStatus::Done, "done"},
    {RunStatus::StaleFence, "stale_fence"},
    {RunStatus::NotOwner, "not_owner"},
    {RunStatus::Shed, "shed"},
    {RunStatus::Draining, "draining"},
    {RunStatus::DeadlinePassed, "deadline_passed"},
    {RunStatus::Cancelled, "cancelled"},
    {RunStatus::Aborted, "aborted"},
}};

auto nameOf(RunStatus status) -> std::string
{
    for (const auto &entry : statusNames) {
        if (entry.status == status) {
            return std::string(entry.name);
        }
    }
    return "aborted";
}

auto parseNumber(const char *text, auto &number) -> bool
{
    if (text == nullptr) {
        return false;
    }
    const std::string_view digits = text;
    const auto *const last = digits.data() + digits.size();
    const auto [end, error] = std::from_chars(digits.data(), last, number);
    return error == std::errc{} && end == last;
}

auto parseDuration(const char *text, Duration &duration) -> bool
{
    Duration::rep micros = 0;
    if (!parseNumber(text, micros)) {
        return false;
    }
    duration = Duration{micros};
    return true;
}

auto decodeText(const char *text, std::string &value) -> bool
{
    auto decoded = text != nullptr ? percentDecode(text) : std::nullopt;
    if (!decoded.has_value()) {
        return false;
    }
    value = std::move(*decoded);
    return true;
}

auto parseFlag(const char *text, bool &flag) -> bool
{
    const std::string_view word = text != nullptr ? text : "";
    flag = word == "true";
    return flag || word == "false";
}

auto parseStatus(const char *text, RunStatus &status) -> bool
{
    const std::string_view name = text != nullptr ? text : "";
    const auto *const found =
        std::find_if(statusNames.begin(), statusNames.end(),
                     [name](const StatusName &entry) { return entry.name == name; });
    if (found == statusNames.end()) {
        return false;
    }
    status = found->status;
    return true;
}

} // namespace

auto encodeRun(const RunRequest &run) -> HttpRequest
{
    return {HttpMethod::Post,
            std::string(runTarget),
            {
                {attemptHeader, std::to_string(run.attempt.value)},
                {requestIdHeader, percentEncode(run.id.value)},
                {serviceHeader, percentEncode(run.shard.service.value)},
                {shardHeader, std::to_string(run.shard.number)},
                {termHeader, std::to_string(run.fence.term)},
                {sequenceHeader, std::to_string(run.fence.sequence)},
                {keyHeader, percentEncode(run.key.value)},
                {operationHeader, percentEncode(run.operation)},
                {idempotentHeader, run.idempotent ? "true" : "false"},
                {remainingHeader, std::to_string(run.remaining.count())},
            },
            run.body};
}

auto decodeRun(const HeaderLookup &headers, std::string body) -> std::optional<RunRequest>
{
    RunRequest run;
    const auto isComplete = parseNumber(headers(attemptHeader), run.attempt.value)
                            && decodeText(headers(requestIdHeader), run.id.value)
                            && decodeText(headers(serviceHeader), run.shard.service.value)
                            && parseNumber(headers(shardHeader), run.shard.number)
                            && parseNumber(headers(termHeader), run.fence.term)
                            && parseNumber(headers(sequenceHeader), run.fence.sequence)
                            && decodeText(headers(keyHeader), run.key.value)
                            && decodeText(headers(operationHeader), run.operation)
                            && parseFlag(headers(idempotentHeader), run.idempotent)
                            && parseDuration(headers(remainingHeader), run.remaining);
    if (!isComplete) {
        return std::nullopt;
    }
    run.body = std::move(body);
    return run;
}

auto encodeRunAnswer(const RunAnswer &answer) -> HttpAnswer
{
    return {HttpOutcome::Answered,
            okStatus,
            {
                {attemptHeader, std::to_string(answer.attempt.value)},
                {incarnationHeader, std::to_string(answer.incarnation.value)},
                {runStatusHeader, nameOf(answer.runStatus)},
                {statusHeader, std::to_string(answer.status)},
                {serviceTimeHeader, std::to_string(answer.serviceTime.count())},
            },
            answer.body};
}

auto decodeRunAnswer(HttpAnswer answer) -> std::optional<RunAnswer>
{
    RunAnswer run;
    const auto find = [&answer](const char *name) -> const char * {
        const auto *const value = answer.header(name);
        return value != nullptr ? value->c_str() : nullptr;
    };
    const auto isComplete = parseNumber(find(attemptHeader), run.attempt.value)
                            && parseNumber(find(incarnationHeader), run.incarnation.value)
                            && parseStatus(find(runStatusHeader), run.runStatus)
                            && parseNumber(find(statusHeader), run.status)
                            && parseDuration(find(serviceTimeHeader), run.serviceTime);
    if (!isComplete) {
        return std::nullopt;
    }
    run.body = std::move(answer.body);
    return run;
}

} // namespace gooseberrywall::upstreamwire
