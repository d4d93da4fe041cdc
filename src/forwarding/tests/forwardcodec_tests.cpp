#include "forwarding/forwardcodec.h"
#include "forwarding/tests/forwardsamples.h"
#include "http1/messagewriter.h"

#include <catch2/catch.hpp>

#include <random>

using namespace gooseberrywall;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace std::string_literals;
using End = OutboundResult::End;

namespace {

const Address upstreamAddress{"10.0.0.1:80"};
const Address forwarderAddress{"10.0.0.2:90"};

auto messageOf(const ForwardRequest &request) -> WholeMessage
{
    return wholeMessage(MessageReader::Kind::Request,
                        forwardRequestText(request, forwarderAddress, "1"));
}

/// @returns the sample request with one header changed; removed where there is no value
auto messageWith(const std::string &name, const std::optional<std::string> &value) -> WholeMessage
{
    auto message = messageOf(sampleRequest(upstreamAddress));
    std::erase_if(message.head.headers,
                  [&](const HttpHeader &header) { return header.name == name; });
    if (value) {
        message.head.headers.push_back(HttpHeader{name, *value});
    }
    return message;
}

/// @returns the answer after a hop; nothing if it wasn't readable
auto afterHop(const ForwardAnswer &answer, bool isHead = false) -> std::optional<ForwardAnswer>
{
    const auto sent = encodeForwardAnswer(answer, "1");
    const auto received = wholeMessage(MessageReader::Kind::Response,
                                       responseText(sent.head, sent.body, false, true));
    return decodeForwardAnswer(received, "1", isHead);
}

auto answered(const std::string &text, bool isHead = false) -> ForwardAnswer
{
    MessageReader reader(MessageReader::Kind::Response, MessageLimits{});
    if (isHead) {
        reader.expectNoBody();
    }
    std::size_t taken = 0;
    const auto step = reader.read(text, taken);
    REQUIRE((step == MessageReader::Step::Whole || reader.endOfInput()));
    ForwardAnswer answer;
    answer.end = End::Answered;
    answer.answer = reader.take();
    return answer;
}

} // namespace

SCENARIO("ForwardCodec restores requests", "[forwarding]")
{
    auto request = sampleRequest(upstreamAddress);
    GIVEN("a request")
    {
        CHECK(decodeForwardRequest(messageOf(request)) == request);
    }
    GIVEN("a request with every field set, and a body of any bytes")
    {
        request.upstream = UpstreamId{"odd id/\r\nX: y%"};
        request.incarnation = Incarnation{~std::uint64_t{0}};
        request.remaining = milliseconds{1};
        request.echoedId = "an id, with %20 \xc3\xa9";
        request.isRepeatable = true;
        request.needsNewConnection = true;
        request.isLastResort = true;
        const auto body = "\0\r\n\r\nGET / HTTP/1.1\r\n\r\n\xff"s;
        request.text =
            "POST /a?b=%20 HTTP/1.1\r\nHost: h\r\nX-Forward-Is-Head: 1\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        CHECK(decodeForwardRequest(messageOf(request)) == request);
    }
    GIVEN("a HEAD request without an id")
    {
        request.echoedId.reset();
        request.isHead = true;
        request.text = "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n";
        CHECK(decodeForwardRequest(messageOf(request)) == request);
    }
    GIVEN("a request with a body of 8 MiB")
    {
        const std::string body(std::size_t{8} * 1024 * 1024, 'x');
        request.text =
            "PUT / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        CHECK((decodeForwardRequest(messageOf(request)) == request));
    }
    GIVEN("a request with a body of 64 MiB, the largest that operators permit")
    {
        const std::string body(std::size_t{64} * 1024 * 1024, 'x');
        request.text =
            "PUT / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        WholeMessage message = messageOf(sampleRequest(upstreamAddress));
        message.body = request.text;
        CHECK((decodeForwardRequest(std::move(message)) == request));
    }
    GIVEN("remaining times that aren't whole milliseconds, or beyond all bounds")
    {
        request.remaining = Duration{300};
        CHECK(decodeForwardRequest(messageOf(request))->remaining == milliseconds{1});
        request.remaining = Duration{1999};
        CHECK(decodeForwardRequest(messageOf(request))->remaining == milliseconds{1});
        request.remaining = hours{1000};
        CHECK(decodeForwardRequest(messageOf(request))->remaining == hours{24});
    }
}

// Guards against a message that earlier builds can't read, and against a copy of the body in it.
SCENARIO("ForwardCodec: given a request whose body is apart, the message is the same, and the body "
         "follows it",
         "[forwarding]")
{
    auto whole = sampleRequest(upstreamAddress);
    const std::string head = "PUT / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n";
    const std::string body(100'000, 'x');
    whole.text = head + body;
    auto apart = whole;
    apart.text = head;
    apart.body = std::make_shared<const std::string>(body);
    const auto text = forwardRequestText(apart, forwarderAddress, "1");
    CHECK((text + body == forwardRequestText(whole, forwarderAddress, "1")));
    CHECK(text.capacity() < body.size());
    const auto decoded =
        decodeForwardRequest(wholeMessage(MessageReader::Kind::Request, text + body));
    CHECK((decoded == whole));
}

SCENARIO("ForwardCodec rejects requests with malformed control headers", "[forwarding]")
{
    const auto isRejected = [](const std::string &name, const std::optional<std::string> &value) {
        return !decodeForwardRequest(messageWith(name, value));
    };
    const std::string huge = "99999999999999999999999999";
    for (const std::string name :
         {"X-Forward-Id", "X-Forward-Address", "X-Forward-Upstream", "X-Forward-Incarnation",
          "X-Forward-Remaining-Ms", "X-Forward-Is-Head", "X-Forward-Repeatable",
          "X-Forward-New-Connection", "X-Forward-Last-Resort"}) {
        CAPTURE(name);
        CHECK(isRejected(name, std::nullopt));
        CHECK(isRejected(name, ""));
        auto doubled = messageOf(sampleRequest(upstreamAddress));
        doubled.head.headers.push_back(HttpHeader{name, *doubled.head.find(name)});
        CHECK(!decodeForwardRequest(doubled));
    }
    for (const std::string address :
         {"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:8x",
          "10.0.0.1:99999999999999999999", "10.0.0.256:80", "localhost:80", ":80", "::1", "x"}) {
        CAPTURE(address);
        CHECK(isRejected("X-Forward-Address", address));
    }
    for (const std::string number : {"-1", "+1", "0x1", "1.5", "1 2", "abc"}) {
        CAPTURE(number);
        CHECK(isRejected("X-Forward-Incarnation", number));
        CHECK(isRejected("X-Forward-Remaining-Ms", number));
        CHECK(isRejected("X-Forward-Is-Head", number));
    }
    CHECK(isRejected("X-Forward-Incarnation", huge));
    CHECK(isRejected("X-Forward-Remaining-Ms", huge));
    CHECK(isRejected("X-Forward-Remaining-Ms", "18446744073709551615"));
    CHECK(isRejected("X-Forward-Remaining-Ms", "0"));
    CHECK(isRejected("X-Forward-Repeatable", "2"));
    CHECK(isRejected("X-Forward-New-Connection", "true"));
    CHECK(isRejected("X-Forward-Upstream", "%4"));
    CHECK(isRejected("X-Forward-Upstream", "%zz"));
    CHECK(isRejected("X-Forward-Echoed-Id", "%"));
    CHECK_FALSE(isRejected("X-Forward-Echoed-Id", std::nullopt));
}

SCENARIO("ForwardCodec rejects requests whose body isn't exactly one HTTP request", "[forwarding]")
{
    const auto isRejected = [](const std::string &text, bool isHead = false) {
        auto request = sampleRequest(upstreamAddress);
        request.text = text;
        request.isHead = isHead;
        return !decodeForwardRequest(messageOf(request));
    };
    CHECK(isRejected(""));
    CHECK(isRejected("GET / HTTP/1.1\r\nHost: h\r\n"));
    CHECK(isRejected("GET / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcd"));
    CHECK(isRejected("GET / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcdef"));
    CHECK(isRejected("GET / HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\nabcd"));
    CHECK(isRejected("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na"));
    CHECK(isRejected("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n"));
    // Entry daemons join chunks, and a chunked body can't be measured without a copy of it.
    CHECK(isRejected("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"));
    CHECK(isRejected("HTTP/1.1 200 OK\r\n\r\n"));
    CHECK(isRejected("HEAD / HTTP/1.1\r\n\r\n", false));
    CHECK(isRejected("GET / HTTP/1.1\r\n\r\n", true));
    CHECK(isRejected(forwardRequestText(sampleRequest(upstreamAddress), forwarderAddress, "1")));
    CHECK_FALSE(isRejected("POST /forward HTTP/1.1\r\nContent-Length: 0\r\n\r\n"));
    auto get = messageOf(sampleRequest(upstreamAddress));
    get.head.method = "GET";
    CHECK(!decodeForwardRequest(get));
}

SCENARIO("ForwardCodec rejects or restores damaged requests, and never fails otherwise",
         "[forwarding]")
{
    std::mt19937 random(20261205);
    const auto original = forwardRequestText(sampleRequest(upstreamAddress), forwarderAddress, "1");
    auto readable = 0;
    for (auto round = 0; round < 20'000; ++round) {
        auto text = original;
        for (auto change = random() % 4 + 1; change > 0; --change) {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        MessageReader reader(MessageReader::Kind::Request, MessageLimits{});
        std::size_t taken = 0;
        if (reader.read(text, taken) != MessageReader::Step::Whole) {
            continue;
        }
        if (const auto request = decodeForwardRequest(reader.take())) {
            ++readable;
            CHECK(request->remaining > Duration{0});
            CHECK_FALSE(request->text.empty());
        }
    }
    CHECK(readable > 0);
}

SCENARIO("ForwardCodec restores answers whole and unchanged", "[forwarding]")
{
    GIVEN("headers in any order, repeated, empty, and some for one connection only")
    {
        const auto answer =
            answered("HTTP/1.1 207 Some Reason: x\r\nB: 2\r\nA: 1\r\nb: 3\r\nEmpty:\r\n"
                     "Connection: keep-alive, B\r\nKeep-Alive: timeout=5\r\n"
                     "Content-Length: 3\r\nZ: \xc3\xa9\r\n\r\nabc");
        REQUIRE(answer.answer.head.headers.size() == 8);
        CHECK(afterHop(answer) == answer);
    }
    GIVEN("an answer without a reason, of HTTP/1.0, that ended with its connection")
    {
        const auto answer = answered("HTTP/1.0 200\r\nA: 1\r\n\r\nuntil the end\r\n\r\n");
        CHECK(answer.answer.body == "until the end\r\n\r\n");
        CHECK(afterHop(answer) == answer);
    }
    GIVEN("an answer in chunks")
    {
        const auto answer = answered("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nTrailer: 1\r\n\r\n");
        CHECK(answer.answer.body == "abcdefg");
        CHECK(afterHop(answer) == answer);
    }
    GIVEN("answers that have a length and no body")
    {
        const auto head = answered("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", true);
        CHECK(afterHop(head, true) == head);
        const auto notModified = answered("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n");
        CHECK(afterHop(notModified) == notModified);
        const auto noContent = answered("HTTP/1.1 204 No Content\r\n\r\n");
        CHECK(afterHop(noContent) == noContent);
        const auto empty = answered("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CHECK(afterHop(empty) == empty);
    }
    GIVEN("a body of 8 MiB of any bytes")
    {
        std::string body(std::size_t{8} * 1024 * 1024, '\0');
        std::mt19937 random(1);
        for (auto &byte : body) {
            byte = static_cast<char>(random());
        }
        const auto answer = answered("HTTP/1.1 200 OK\r\nContent-Length: "
                                     + std::to_string(body.size()) + "\r\n\r\n" + body);
        CHECK((afterHop(answer) == answer));
    }
    GIVEN("a body that looks like an answer")
    {
        const std::string body = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        const auto answer = answered("HTTP/1.1 404 Not Found\r\nContent-Length: "
                                     + std::to_string(body.size()) + "\r\n\r\n" + body);
        CHECK(afterHop(answer) == answer);
    }
}

SCENARIO("ForwardCodec restores answers of requests that weren't answered", "[forwarding]")
{
    for (const auto refusal : {ForwardRefusal::Unreachable, ForwardRefusal::Full,
                               ForwardRefusal::Stopping, ForwardRefusal::Expired}) {
        const ForwardAnswer answer{End::NotSent, refusal};
        CHECK(afterHop(answer) == answer);
    }
    for (const auto &hold :
         {SendHold{true, true, std::nullopt}, SendHold{true, false, std::nullopt},
          SendHold{false, false, milliseconds{250}}, SendHold{true, false, seconds{3}}}) {
        const ForwardAnswer answer{End::NotSent, ForwardRefusal::Held, hold};
        CHECK(afterHop(answer) == answer);
    }
    CHECK(afterHop(ForwardAnswer{}) == ForwardAnswer{});
}

SCENARIO("ForwardCodec: given a request that wasn't read, the answer says that it wasn't sent",
         "[forwarding]")
{
    // Guards against an attempt of unknown outcome where the forwarder has sent nothing.
    const auto request = messageOf(sampleRequest(upstreamAddress));
    WholeMessage answer;
    answer.head.headers = unreadHeaders(request.head);
    for (const auto status : {400, 408, 413, 503}) {
        answer.head.status = status;
        CHECK(decodeForwardAnswer(answer, "1", false)
              == ForwardAnswer{End::NotSent, ForwardRefusal::Unread});
        CHECK(!decodeForwardAnswer(answer, "2", false));
    }
    GIVEN("an answer without an error status, or with an unreadable end")
    {
        answer.head.status = 200;
        CHECK(!decodeForwardAnswer(answer, "1", false));
        answer.head.status = 204;
        CHECK(!decodeForwardAnswer(answer, "1", false));
        answer.head.status = 503;
        for (std::size_t index = 0; index < answer.head.headers.size(); ++index) {
            auto damaged = answer;
            damaged.head.headers[index].value = "answered";
            CHECK(!decodeForwardAnswer(damaged, "1", false));
            damaged = answer;
            damaged.head.headers.push_back(answer.head.headers[index]);
            CHECK(!decodeForwardAnswer(damaged, "1", false));
        }
        answer.body = "x";
        CHECK(!decodeForwardAnswer(answer, "1", false));
    }
    GIVEN("requests that name no hop, or two")
    {
        CHECK(unreadHeaders(MessageHead{}).empty());
        CHECK(unreadHeaders(messageWith(forwardIdHeader, "").head).empty());
        auto doubled = request.head;
        doubled.headers.push_back(HttpHeader{forwardIdHeader, "2"});
        CHECK(unreadHeaders(doubled).empty());
    }
}

SCENARIO("ForwardCodec takes no malformed answer for one that tells how the request ended",
         "[forwarding]")
{
    // Guards against a NotSent, or a complete answer, that the forwarder hasn't stated.
    const auto isRejected = [](const WholeMessage &message) {
        return !decodeForwardAnswer(message, "1", false);
    };
    const auto notSent =
        encodeForwardAnswer(ForwardAnswer{End::NotSent, ForwardRefusal::Full}, "1");
    REQUIRE_FALSE(isRejected(notSent));
    GIVEN("an answer of another request, or of no forwarder")
    {
        CHECK(!decodeForwardAnswer(notSent, "2", false));
        auto message = notSent;
        message.head.status = 404;
        CHECK(isRejected(message));
        message = notSent;
        message.head.headers.erase(message.head.headers.begin());
        CHECK(isRejected(message));
        CHECK(isRejected(WholeMessage{}));
    }
    GIVEN("ends that can't be read")
    {
        auto message = notSent;
        message.head.headers[1].value = "sent";
        CHECK(isRejected(message));
        message = notSent;
        message.head.headers.push_back(message.head.headers[1]);
        CHECK(isRejected(message));
        message = notSent;
        message.head.headers.pop_back();
        CHECK(isRejected(message));
        message = notSent;
        message.head.headers.back().value = "tired";
        CHECK(isRejected(message));
        message = notSent;
        message.body = "x";
        CHECK(isRejected(message));
    }
    GIVEN("holds that can't be read")
    {
        const ForwardAnswer held{End::NotSent, ForwardRefusal::Held,
                                 SendHold{false, false, seconds{1}}};
        const auto message = encodeForwardAnswer(held, "1");
        REQUIRE_FALSE(isRejected(message));
        for (std::size_t index = 3; index < message.head.headers.size(); ++index) {
            auto damaged = message;
            damaged.head.headers[index].value = "99999999999999999999";
            CHECK(isRejected(damaged));
            damaged = message;
            damaged.head.headers.erase(damaged.head.headers.begin()
                                       + static_cast<std::ptrdiff_t>(index));
            CHECK(isRejected(damaged));
        }
    }
    GIVEN("upstreams' answers that aren't whole")
    {
        const auto whole =
            encodeForwardAnswer(answered("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"), "1");
        REQUIRE_FALSE(isRejected(whole));
        for (std::size_t size = 0; size < whole.body.size(); ++size) {
            auto cut = whole;
            cut.body.resize(size);
            CHECK(isRejected(cut));
        }
        auto longer = whole;
        longer.body += "d";
        CHECK(isRejected(longer));
        CHECK(!decodeForwardAnswer(whole, "1", true));
    }
}
