#include "callerapi/callerwire.h"

#include "http/percentcoding.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberrywall {

namespace {

constexpr std::size_t idLimitBytes = 128;
constexpr std::size_t nameLimitBytes = 64;
constexpr std::size_t keyLimitBytes = 1024;
constexpr std::int64_t timeoutLimitMs = 3'600'000;

constexpr int badRequest = 400;
constexpr int forbidden = 403;
constexpr int notFound = 404;
constexpr int methodNotAllowed = 405;
constexpr int conflict = 409;
constexpr int tooLarge = 413;
constexpr int tooManyRequests = 429;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;

auto isPrintable(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character > ' ' && character < '\x7f'; });
}

auto isValidName(std::string_view text, std::size_t limit) -> bool
{
    return !text.empty() && text.size() <= limit && isPrintable(text);
}

auto split(std::string_view text, char separator) -> std::vector<std::string_view>
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

auto malformed(int status, std::string message) -> CallerCall
{
    return MalformedCall{status, std::move(message)};
}

/// @returns the value of an optional header; false if it is empty, std::nullopt if it is invalid
auto parseFlag(std::string_view text) -> std::optional<bool>
{
    if (text == "true" || text.empty()) {
        return !text.empty();
    }
    if (text == "false") {
        return false;
    }
    return std::nullopt;
}

auto queryValue(std::string_view query, std::string_view name) -> std::string_view
{
    for (const auto pair : split(query, '&')) {
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return pair.substr(equals + 1);
        }
    }
    return {};
}

auto callerOf(const ServerRequest &http) -> CallerId
{
    const auto caller = http.header("X-Caller");
    return {caller.empty() ? "anonymous" : std::string(caller)};
}

/// Reads the headers on idempotence, resending, size and deadline.
/// @returns what is wrong with them; empty if nothing is
auto readRunHeaders(const ServerRequest &http, RunCall &call) -> std::string
{
    const auto idempotent = http.header("X-Idempotent");
    const auto resend = parseFlag(http.header("X-Resend"));
    if ((idempotent != "true" && idempotent != "false") || !resend) {
        return "X-Idempotent is missing, or it or X-Resend is neither true nor false";
    }
    call.request.idempotent = idempotent == "true";
    call.request.resend = *resend;
    const auto hint = http.header("X-Size-Hint");
    if (hint == "short") {
        call.request.sizeHint = SizeHint::Short;
    } else if (hint == "long") {
        call.request.sizeHint = SizeHint::Long;
    } else if (!hint.empty()) {
        return "X-Size-Hint must be short or long";
    }
    const auto deadline = http.header("X-Deadline-Ms");
    if (deadline.empty()) {
        return {};
    }
    std::int64_t milliseconds = 0;
    const auto *end = deadline.data() + deadline.size();
    const auto parsed = std::from_chars(deadline.data(), end, milliseconds);
    if (parsed.ec != std::errc{} || parsed.ptr != end || milliseconds < 1
        || milliseconds > timeoutLimitMs) {
        return "X-Deadline-Ms must be a number of milliseconds from 1 to 3600000";
    }
    call.timeout = std::chrono::milliseconds{milliseconds};
    return {};
}

auto readRunCall(const ServerRequest &http, std::string_view service, std::string_view encodedKey,
                 const RequestId &fallbackId) -> CallerCall
{
    RunCall call;
    const auto key = percentDecode(encodedKey);
    if (!isValidName(service, nameLimitBytes) || !key || key->empty()
        || key->size() > keyLimitBytes) {
        return malformed(badRequest, "service or key is empty, too long or badly encoded");
    }
    call.request.service = {std::string(service)};
    call.request.key = {*key};
    call.request.caller = callerOf(http);
    call.request.operation = std::string(http.header("X-Operation"));
    if (call.request.operation.empty()) {
        call.request.operation = "default";
    }
    if (!isValidName(call.request.caller.value, nameLimitBytes)
        || !isValidName(call.request.operation, nameLimitBytes)) {
        return malformed(
            badRequest,
            "X-Caller and X-Operation must be up to 64 printable ASCII characters without spaces");
    }
    if (auto message = readRunHeaders(http, call); !message.empty()) {
        return malformed(badRequest, std::move(message));
    }
    const auto id = http.header("X-Request-Id");
    if (id.empty() && !call.request.idempotent) {
        return malformed(badRequest, "a request that is not idempotent needs X-Request-Id");
    }
    if (!id.empty() && !isValidName(id, idLimitBytes)) {
        return malformed(
            badRequest, "X-Request-Id must be up to 128 printable ASCII characters without spaces");
    }
    call.request.id = id.empty() ? fallbackId : RequestId{std::string(id)};
    call.request.issuedAt = issueTimeOf(call.request.id);
    call.request.body = http.body;
    return call;
}

auto readOutcomeCall(const ServerRequest &http, std::string_view id) -> CallerCall
{
    const auto service = queryValue(http.query, "service");
    const auto key = percentDecode(queryValue(http.query, "key"));
    if (!isValidName(id, idLimitBytes) || !isValidName(service, nameLimitBytes) || !key
        || key->empty()) {
        return malformed(
            badRequest,
            "the request id in the path, or service or key in the query, is missing or invalid");
    }
    return OutcomeCall{{std::string(id)}, {std::string(service)}, {*key}, callerOf(http)};
}

auto statusOf(Reason reason) -> int
{
    switch (reason) {
    case Reason::MalformedRequest:
        return badRequest;
    case Reason::UnknownCaller:
    case Reason::Quarantined:
        return forbidden;
    case Reason::UnknownService:
        return notFound;
    case Reason::RequestIdReused:
        return conflict;
    case Reason::BodyTooLarge:
        return tooLarge;
    case Reason::QueueFull:
    case Reason::CallerShareExceeded:
    case Reason::DeadlineTooShort:
    case Reason::UpstreamShed:
    case Reason::RetryBudgetEmpty:
        return tooManyRequests;
    default:
        return unavailable;
    }
}

auto reasonBody(Reason reason) -> std::string
{
    return "{\"reason\":\"" + std::string(toString(reason)) + "\",\"remedy\":\""
           + std::string(remedy(reason)) + "\"}\n";
}

auto answerReply(ExchangeId exchange, const RequestEnd &end) -> ServerReply
{
    constexpr int ok = 200;
    return {exchange, end.status == 0 ? ok : end.status, {{"X-End", "answer"}}, end.body};
}

} // namespace

auto readCallerCall(const ServerRequest &http, const RequestId &fallbackId) -> CallerCall
{
    const auto parts = split(http.path, '/');
    const auto isRun =
        parts.size() == 6 && parts[1] == "v1" && parts[2] == "services" && parts[4] == "keys";
    if (isRun) {
        if (http.method != "POST") {
            return malformed(methodNotAllowed, "this path only accepts POST");
        }
        return readRunCall(http, parts[3], parts[5], fallbackId);
    }
    if (parts.size() == 4 && parts[1] == "v1" && parts[2] == "outcomes") {
        if (http.method != "GET") {
            return malformed(methodNotAllowed, "this path only accepts GET");
        }
        return readOutcomeCall(http, parts[3]);
    }
    return malformed(notFound, "unknown path; docs/CALLERS.md describes the paths");
}

auto toServerReply(ExchangeId exchange, const RequestEnd &end) -> ServerReply
{
    if (end.kind == EndKind::Answer) {
        return answerReply(exchange, end);
    }
    const auto reason = std::string(toString(end.reason));
    if (end.kind == EndKind::Unknown) {
        return {exchange,
                gatewayTimeout,
                {{"X-End", "unknown"}, {"X-Reason", reason}},
                reasonBody(end.reason)};
    }
    ServerReply reply{exchange,
                      statusOf(end.reason),
                      {{"X-End", "refused"}, {"X-Reason", reason}},
                      reasonBody(end.reason)};
    if (end.retryAfter > Duration{0}) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(end.retryAfter).count();
        reply.headers.push_back({"Retry-After-Ms", std::to_string(wait)});
    }
    return reply;
}

auto toServerReply(ExchangeId exchange, const MalformedCall &call) -> ServerReply
{
    return {exchange,
            call.status,
            {{"X-End", "refused"}, {"X-Reason", std::string(toString(Reason::MalformedRequest))}},
            "{\"reason\":\"malformed_request\",\"remedy\":\"" + call.message + "\"}\n"};
}

} // namespace gooseberrywall
