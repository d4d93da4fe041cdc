#include "loadtool/callerwire.h"

#include "http/percentcoding.h"

#include <chrono>

namespace gooseberrywall::callerwire {

namespace {

auto reasonOf(const HttpAnswer &answer) -> std::string
{
    const auto *const reason = answer.header("X-Reason");
    return reason != nullptr ? *reason : "status_" + std::to_string(answer.status);
}

} // namespace

auto encode(const LoadSettings &settings, const PlannedRequest &request, bool resend) -> HttpRequest
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(settings.deadline);
    HttpRequest call{HttpMethod::Post,
                     "/v1/services/" + percentEncode(settings.service.value) + "/keys/"
                         + percentEncode(request.key.value),
                     {{"X-Request-Id", request.id.value},
                      {"X-Caller", request.caller.value},
                      {"X-Operation", request.operation},
                      {"X-Deadline-Ms", std::to_string(millis.count())},
                      {"X-Idempotent", request.idempotent ? "true" : "false"}},
                     std::string(settings.bodyBytes, 'b')};
    if (resend) {
        call.headers.push_back({"X-Resend", "true"});
    }
    return call;
}

auto encodeOutcomeQuery(const LoadSettings &settings, const PlannedRequest &request) -> HttpRequest
{
    return {HttpMethod::Get,
            "/v1/outcomes/" + percentEncode(request.id.value)
                + "?service=" + percentEncode(settings.service.value)
                + "&key=" + percentEncode(request.key.value),
            {{"X-Caller", request.caller.value}},
            ""};
}

auto decode(const PlannedRequest &request, const HttpAnswer &answer) -> CallEnd
{
    switch (answer.outcome) {
    case HttpOutcome::NotSent:
        return {CallEndKind::NotSent, ""};
    case HttpOutcome::NoAnswer:
        return {CallEndKind::NoAnswer, ""};
    case HttpOutcome::BadAnswer:
        return {CallEndKind::WrongAnswer, "bad_http"};
    case HttpOutcome::Answered:
        break;
    }
    const auto *const end = answer.header("X-End");
    if (end != nullptr && *end == "refused") {
        return {CallEndKind::Refused, reasonOf(answer)};
    }
    if (end != nullptr && *end == "unknown") {
        return {CallEndKind::Unknown, reasonOf(answer)};
    }
    if (end == nullptr || *end != "answer") {
        return {CallEndKind::WrongAnswer, reasonOf(answer)};
    }
    if (!answer.body.starts_with(request.id.value + '\n')) {
        return {CallEndKind::WrongAnswer, "other_body"};
    }
    return {CallEndKind::Answer, ""};
}

} // namespace gooseberrywall::callerwire
