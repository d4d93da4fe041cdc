#include "forwarding/forwardcodec.h"

#include "common/durations.h"
#include "http/endpoint.h"
#include "http/percentcoding.h"
#include "http1/messagereader.h"
#include "http1/messagewriter.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace gooseberrywall {

namespace {

using End = OutboundResult::End;

constexpr const char *addressHeader = "X-Forward-Address";
constexpr const char *upstreamHeader = "X-Forward-Upstream";
constexpr const char *incarnationHeader = "X-Forward-Incarnation";
constexpr const char *remainingHeader = "X-Forward-Remaining-Ms";
constexpr const char *echoedIdHeader = "X-Forward-Echoed-Id";
constexpr const char *isHeadHeader = "X-Forward-Is-Head";
constexpr const char *repeatableHeader = "X-Forward-Repeatable";
constexpr const char *newConnectionHeader = "X-Forward-New-Connection";
constexpr const char *lastResortHeader = "X-Forward-Last-Resort";
constexpr const char *endHeader = "X-Forward-End";
constexpr const char *refusalHeader = "X-Forward-Refusal";
constexpr const char *leavingHeader = "X-Forward-Leaving";
constexpr const char *allowsLastResortHeader = "X-Forward-Allows-Last-Resort";
constexpr const char *pauseHeader = "X-Forward-Pause-Ms";

constexpr int statusOk = 200;
constexpr int lowestErrorStatus = 400;
/// Longer times are taken for malformed.
constexpr std::uint64_t longestTimeMs = std::uint64_t{24} * 60 * 60 * 1000;

constexpr std::array endNames{std::pair{End::Answered, std::string_view{"answered"}},
                              std::pair{End::NotSent, std::string_view{"not_sent"}},
                              std::pair{End::NoAnswer, std::string_view{"no_answer"}}};
constexpr std::array refusalNames{
    std::pair{ForwardRefusal::Unreachable, std::string_view{"unreachable"}},
    std::pair{ForwardRefusal::Full, std::string_view{"full"}},
    std::pair{ForwardRefusal::Stopping, std::string_view{"stopping"}},
    std::pair{ForwardRefusal::Held, std::string_view{"held"}},
    std::pair{ForwardRefusal::Expired, std::string_view{"expired"}},
    std::pair{ForwardRefusal::Unread, std::string_view{"unread"}}};

template<typename Names, typename Value>
auto nameOf(const Names &names, Value value) -> std::string
{
    const auto *const found = std::find_if(names.begin(), names.end(),
                                           [&](const auto &row) { return row.first == value; });
    return std::string(found == names.end() ? names.back().second : found->second);
}

/// @returns the value of a header that must be there once; nullptr otherwise
auto singleField(const MessageHead &head, std::string_view name) -> const std::string *
{
    const auto count =
        std::count_if(head.headers.begin(), head.headers.end(), [&](const HttpHeader &header) {
            return equalHeaderNames(header.name, name);
        });
    return count == 1 ? head.find(name) : nullptr;
}

template<typename Names>
auto namedField(const MessageHead &head, std::string_view header, const Names &names)
    -> std::optional<typename Names::value_type::first_type>
{
    const auto *const value = singleField(head, header);
    const auto *const found = std::find_if(names.begin(), names.end(), [&](const auto &row) {
        return value != nullptr && row.second == *value;
    });
    return found == names.end() ? std::nullopt : std::optional(found->first);
}

auto parsedNumber(std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t number = 0;
    const auto *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const auto isNumber = !text.empty() && parsed.ec == std::errc{} && parsed.ptr == end;
    return isNumber ? std::optional(number) : std::nullopt;
}

auto numberField(const MessageHead &head, std::string_view name, std::uint64_t limit)
    -> std::optional<std::uint64_t>
{
    const auto *const value = singleField(head, name);
    const auto number = value == nullptr ? std::nullopt : parsedNumber(*value);
    return number && *number <= limit ? number : std::nullopt;
}

auto flagField(const MessageHead &head, std::string_view name) -> std::optional<bool>
{
    const auto number = numberField(head, name, 1);
    return number ? std::optional(*number == 1) : std::nullopt;
}

auto textField(const MessageHead &head, std::string_view name) -> std::optional<std::string>
{
    const auto *const value = singleField(head, name);
    return value == nullptr ? std::nullopt : percentDecode(*value);
}

auto flagHeader(const char *name, bool value) -> HttpHeader
{
    return HttpHeader{name, value ? "1" : "0"};
}

/// @returns whole milliseconds, of which a time that isn't over has at least one
auto timeHeader(const char *name, Duration time) -> HttpHeader
{
    const auto milliseconds =
        std::clamp<std::int64_t>(toMilliseconds(time), 1, static_cast<std::int64_t>(longestTimeMs));
    return HttpHeader{name, std::to_string(milliseconds)};
}

auto timeField(const MessageHead &head, std::string_view name) -> std::optional<Duration>
{
    const auto number = numberField(head, name, longestTimeMs);
    return number && *number > 0 ? std::optional<Duration>(std::chrono::milliseconds{*number})
                                 : std::nullopt;
}

auto hasUsablePort(const Address &address) -> bool
{
    const auto endpoint = parseEndpoint(address);
    return endpoint && endpoint->port != 0;
}

/// @returns whether the text is one whole request, and a HEAD request if that is expected. The
/// outcome of a second request in the text would stay unknown; a request to forward would make a
/// second hop. The body has to have a length, as in all requests that entry daemons build, and
/// isn't parsed: parsing would copy it.
auto isOneRequest(std::string_view text, bool isHead) -> bool
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    const auto end = text.find(headEnd);
    if (end == std::string_view::npos) {
        return false;
    }
    // The listener has bounded the text.
    MessageReader reader(MessageReader::Kind::Request, MessageLimits{text.size(), text.size()});
    std::size_t taken = 0;
    const auto step = reader.read(text.substr(0, end + headEnd.size()), taken);
    const auto bodyBytes = reader.announcedBodyBytes();
    const auto hasLength = step == MessageReader::Step::Whole
                           || (step == MessageReader::Step::NeedMore && bodyBytes > 0);
    if (!hasLength || taken + bodyBytes != text.size()) {
        return false;
    }
    const auto &head = reader.head();
    const auto isHop = head.target == forwardPath && head.find(addressHeader) != nullptr;
    return !isHop && (head.method == "HEAD") == isHead;
}

/// Writes an answer as it is: unlike responseText(), with its connection headers, and with the
/// length that it states.
auto answerText(const WholeMessage &answer) -> std::string
{
    std::string text;
    text.reserve(512 + answer.body.size());
    text.append("HTTP/1.").append(std::to_string(answer.head.minorVersion)).append(" ");
    text.append(std::to_string(answer.head.status)).append(" ").append(answer.head.reason);
    text.append("\r\n");
    for (const auto &header : answer.head.headers) {
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    return text.append("\r\n").append(answer.body);
}

auto parsedAnswer(std::string_view text, bool isHead) -> std::optional<WholeMessage>
{
    MessageLimits limits;
    limits.headBytes *= 2;
    MessageReader reader(MessageReader::Kind::Response, limits);
    // Chunks were joined and the end of the connection was awaited where the answer was received,
    // so everything after the head is the body.
    reader.expectNoBody();
    std::size_t taken = 0;
    if (reader.read(text, taken) != MessageReader::Step::Whole) {
        return std::nullopt;
    }
    auto answer = reader.take();
    answer.body = text.substr(taken);
    const auto isBodyless = isHead || answer.head.status == 204 || answer.head.status == 304;
    if (isBodyless) {
        return answer.body.empty() ? std::optional(std::move(answer)) : std::nullopt;
    }
    const auto *const length = answer.head.find("Content-Length");
    const auto isWhole = length == nullptr || parsedNumber(*length) == answer.body.size();
    return isWhole ? std::optional(std::move(answer)) : std::nullopt;
}

auto holdHeaders(const SendHold &hold) -> std::vector<HttpHeader>
{
    std::vector<HttpHeader> headers{flagHeader(leavingHeader, hold.isLeaving),
                                    flagHeader(allowsLastResortHeader, hold.allowsLastResort)};
    if (hold.pause) {
        headers.push_back(timeHeader(pauseHeader, *hold.pause));
    }
    return headers;
}

auto holdFields(const MessageHead &head) -> std::optional<SendHold>
{
    const auto isLeaving = flagField(head, leavingHeader);
    const auto allowsLastResort = flagField(head, allowsLastResortHeader);
    const auto pause = timeField(head, pauseHeader);
    const auto isPauseMalformed = !pause && head.find(pauseHeader) != nullptr;
    if (!isLeaving || !allowsLastResort || isPauseMalformed || (!*isLeaving && !pause)) {
        return std::nullopt;
    }
    return SendHold{*isLeaving, *allowsLastResort, pause};
}

} // namespace

auto forwardRequestText(const ForwardRequest &request, const Address &forwarder,
                        const std::string &id) -> std::string
{
    MessageHead head;
    head.method = "POST";
    head.target = forwardPath;
    head.headers = {
        HttpHeader{"Host", forwarder.value},
        HttpHeader{forwardIdHeader, id},
        HttpHeader{addressHeader, request.address.value},
        HttpHeader{upstreamHeader, percentEncode(request.upstream.value)},
        HttpHeader{incarnationHeader, std::to_string(request.incarnation.value)},
        timeHeader(remainingHeader, request.remaining),
        flagHeader(isHeadHeader, request.isHead),
        flagHeader(repeatableHeader, request.isRepeatable),
        flagHeader(newConnectionHeader, request.needsNewConnection),
        flagHeader(lastResortHeader, request.isLastResort),
    };
    if (request.echoedId) {
        head.headers.push_back(HttpHeader{echoedIdHeader, percentEncode(*request.echoedId)});
    }
    const auto bodyBytes = request.body == nullptr ? 0 : request.body->size();
    return requestHead(head, request.text.size() + bodyBytes, {}).append(request.text);
}

auto decodeForwardRequest(WholeMessage message) -> std::optional<ForwardRequest>
{
    const auto &head = message.head;
    const auto *const id = singleField(head, forwardIdHeader);
    const auto *const address = singleField(head, addressHeader);
    const auto upstream = textField(head, upstreamHeader);
    const auto incarnation =
        numberField(head, incarnationHeader, std::numeric_limits<std::uint64_t>::max());
    const auto remaining = timeField(head, remainingHeader);
    const auto isHead = flagField(head, isHeadHeader);
    const auto isRepeatable = flagField(head, repeatableHeader);
    const auto needsNewConnection = flagField(head, newConnectionHeader);
    const auto isLastResort = flagField(head, lastResortHeader);
    const auto echoedId = textField(head, echoedIdHeader);
    const auto isEchoedIdMalformed = !echoedId && head.find(echoedIdHeader) != nullptr;
    const auto areNamesValid = id != nullptr && !id->empty() && address != nullptr && upstream
                               && !upstream->empty() && !isEchoedIdMalformed;
    const auto areFlagsValid = isHead && isRepeatable && needsNewConnection && isLastResort;
    if (head.method != "POST" || !areNamesValid || !areFlagsValid || !incarnation || !remaining) {
        return std::nullopt;
    }
    ForwardRequest request;
    request.address = Address{*address};
    request.upstream = UpstreamId{*upstream};
    request.incarnation = Incarnation{*incarnation};
    request.remaining = *remaining;
    request.echoedId = echoedId;
    request.isHead = *isHead;
    request.isRepeatable = *isRepeatable;
    request.needsNewConnection = *needsNewConnection;
    request.isLastResort = *isLastResort;
    request.text = std::move(message.body);
    const auto isValid =
        hasUsablePort(request.address) && isOneRequest(request.text, request.isHead);
    return isValid ? std::optional(std::move(request)) : std::nullopt;
}

auto unreadHeaders(const MessageHead &request) -> std::vector<HttpHeader>
{
    const auto *const id = singleField(request, forwardIdHeader);
    if (id == nullptr || id->empty()) {
        return {};
    }
    return {HttpHeader{forwardIdHeader, *id}, HttpHeader{endHeader, nameOf(endNames, End::NotSent)},
            HttpHeader{refusalHeader, nameOf(refusalNames, ForwardRefusal::Unread)}};
}

auto encodeForwardAnswer(const ForwardAnswer &answer, const std::string &id) -> WholeMessage
{
    WholeMessage message;
    message.head.status = statusOk;
    message.head.headers = {HttpHeader{forwardIdHeader, id},
                            HttpHeader{endHeader, nameOf(endNames, answer.end)}};
    if (answer.refusal) {
        message.head.headers.push_back(
            HttpHeader{refusalHeader, nameOf(refusalNames, *answer.refusal)});
    }
    if (answer.hold) {
        for (auto &header : holdHeaders(*answer.hold)) {
            message.head.headers.push_back(std::move(header));
        }
    }
    if (answer.end == End::Answered) {
        message.body = answerText(answer.answer);
    }
    return message;
}

auto decodeForwardAnswer(const WholeMessage &message, const std::string &id, bool isHead)
    -> std::optional<ForwardAnswer>
{
    const auto &head = message.head;
    const auto *const echoed = singleField(head, forwardIdHeader);
    const auto end = namedField(head, endHeader, endNames);
    const auto isError = head.status >= lowestErrorStatus;
    if ((head.status != statusOk && !isError) || echoed == nullptr || *echoed != id || !end) {
        return std::nullopt;
    }
    ForwardAnswer answer;
    answer.end = *end;
    if (isError) {
        answer.refusal = namedField(head, refusalHeader, refusalNames);
        const auto isRefusal = answer.end == End::NotSent && message.body.empty()
                               && answer.refusal == ForwardRefusal::Unread;
        return isRefusal ? std::optional(std::move(answer)) : std::nullopt;
    }
    if (answer.end == End::Answered) {
        auto parsed = parsedAnswer(message.body, isHead);
        if (!parsed) {
            return std::nullopt;
        }
        answer.answer = std::move(*parsed);
        return answer;
    }
    if (!message.body.empty()) {
        return std::nullopt;
    }
    if (answer.end == End::NotSent) {
        answer.refusal = namedField(head, refusalHeader, refusalNames);
        const auto isHeld = answer.refusal == ForwardRefusal::Held;
        answer.hold = isHeld ? holdFields(head) : std::nullopt;
        const auto isUnread = answer.refusal == ForwardRefusal::Unread;
        if (!answer.refusal || isUnread || (isHeld && !answer.hold)) {
            return std::nullopt;
        }
    }
    return answer;
}

} // namespace gooseberrywall
