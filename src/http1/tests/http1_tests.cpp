#include "http1/messagereader.h"
#include "http1/messagewriter.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace gooseberrywall;
using Step = MessageReader::Step;
using Kind = MessageReader::Kind;

namespace {

/// Feeds the text to the reader in pieces of `size` bytes.
/// @param rest set to the bytes after the message
auto readAll(MessageReader &reader, std::string text, std::size_t size, std::string &rest) -> Step
{
    std::string pending;
    auto step = Step::NeedMore;
    while (step == Step::NeedMore && !text.empty()) {
        pending += text.substr(0, size);
        text.erase(0, size);
        std::size_t taken = 0;
        step = reader.read(pending, taken);
        pending.erase(0, taken);
    }
    rest = pending + text;
    return step;
}

auto readOne(Kind kind, const std::string &text) -> Step
{
    MessageReader reader(kind, MessageLimits{});
    std::string rest;
    return readAll(reader, text, text.size(), rest);
}

} // namespace

SCENARIO("MessageReader reads messages in pieces of any size", "[http1]")
{
    const std::string text =
        "PUT /a/b?c=d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: y\r\n\r\nGET /";
    for (const std::size_t size : {1U, 2U, 7U, 1000U}) {
        GIVEN("pieces of " + std::to_string(size) + " bytes")
        {
            MessageReader reader(Kind::Request, MessageLimits{});
            std::string rest;
            REQUIRE(readAll(reader, text, size, rest) == Step::Whole);
            const auto message = reader.take();
            THEN("head and body are complete, and the next message isn't consumed")
            {
                CHECK(message.head.method == "PUT");
                CHECK(message.head.target == "/a/b?c=d");
                CHECK(message.body == "abcde");
                CHECK(rest == "GET /");
            }
        }
    }
}

SCENARIO("MessageReader refuses ambiguous framing", "[http1]")
{
    const std::string head = "PUT / HTTP/1.1\r\nHost: x\r\n";
    THEN("two different lengths are malformed")
    {
        CHECK(readOne(Kind::Request, head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")
              == Step::Malformed);
    }
    THEN("a length together with chunks is malformed")
    {
        CHECK(readOne(Kind::Request,
                      head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
              == Step::Malformed);
    }
    THEN("a blank before the colon, a folded line and a bare LF are malformed")
    {
        CHECK(readOne(Kind::Request, head + "Content-Length : 3\r\n\r\nabc") == Step::Malformed);
        CHECK(readOne(Kind::Request, head + "A: b\r\n folded\r\n\r\n") == Step::Malformed);
        CHECK(readOne(Kind::Request, head + "A: b\nC: d\r\n\r\n") == Step::Malformed);
    }
    THEN("an unknown transfer encoding is malformed")
    {
        CHECK(readOne(Kind::Request, head + "Transfer-Encoding: gzip, chunked\r\n\r\n")
              == Step::Malformed);
    }
    THEN("a chunk with a wrong end is malformed")
    {
        CHECK(readOne(Kind::Request, head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcX\r\n")
              == Step::Malformed);
    }
}

SCENARIO("MessageReader finds the end of a response", "[http1]")
{
    GIVEN("a response without a length")
    {
        MessageReader reader(Kind::Response, MessageLimits{});
        std::string rest;
        REQUIRE(readAll(reader, "HTTP/1.1 200 OK\r\nA: b\r\n\r\nhel", 5, rest) == Step::NeedMore);
        THEN("it ends with the connection")
        {
            REQUIRE(reader.endOfInput());
            CHECK(reader.take().body == "hel");
        }
    }
    GIVEN("a truncated response")
    {
        MessageReader reader(Kind::Response, MessageLimits{});
        std::string rest;
        REQUIRE(readAll(reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel", 5, rest)
                == Step::NeedMore);
        THEN("the end of the connection doesn't complete it")
        {
            CHECK_FALSE(reader.endOfInput());
        }
    }
    GIVEN("an interim response before the final one")
    {
        MessageReader reader(Kind::Response, MessageLimits{});
        std::string rest;
        REQUIRE(readAll(reader, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nextra",
                        100, rest)
                == Step::Whole);
        THEN("only the final one is returned, and further bytes aren't consumed")
        {
            CHECK(reader.take().head.status == 204);
            CHECK(rest == "extra");
        }
    }
    GIVEN("bytes that aren't a response")
    {
        THEN("they are malformed")
        {
            CHECK(readOne(Kind::Response, "garbage\r\n\r\n") == Step::Malformed);
        }
    }
    GIVEN("a status that no HTTP response can have")
    {
        const std::string status = GENERATE("000", "001", "099", "600", "700", "999", "20", "-20");
        THEN("it is malformed, so that no caller gets it")
        {
            const auto text = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
            CHECK(readOne(Kind::Response, text) == Step::Malformed);
        }
    }
}

SCENARIO("MessageReader never takes the beginning of a response for the whole", "[http1]")
{
    // Guards against an upstream that stops in the middle of an answer and closes its connection.
    const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Signature: s\r\n";
    const auto withLineFeeds = [](std::string text) {
        std::erase(text, '\r');
        return text;
    };
    const auto byLength = start + "Content-Length: 5\r\n\r\nwhole";
    const auto byChunks =
        start + "Transfer-Encoding: chunked\r\n\r\n2;x=1\r\nwh\r\n3\r\nole\r\n0\r\nT: y\r\n\r\n";
    const auto untilClose = start + "\r\nwhole";
    const auto isWhole = [](const std::string &text) {
        MessageReader reader(Kind::Response, MessageLimits{});
        std::string rest;
        const auto step = readAll(reader, text, 7, rest);
        return step == Step::Whole || (step == Step::NeedMore && reader.endOfInput());
    };

    GIVEN("each beginning of an answer that states where it ends")
    {
        const std::vector<std::string> texts{byLength, byChunks,
                                             "HTTP/1.1 103 X\r\n\r\n" + byLength,
                                             "HTTP/1.1 204 No Content\r\n\r\n"};
        const auto &text = texts.at(GENERATE(0U, 1U, 2U, 3U));
        for (std::size_t size = 0; size < text.size(); ++size) {
            CAPTURE(text.substr(0, size));
            CHECK_FALSE(isWhole(text.substr(0, size)));
        }
        CAPTURE(text);
        CHECK(isWhole(text));
    }
    GIVEN("each beginning of an answer that ends with its connection")
    {
        for (std::size_t size = 0; size < untilClose.size() - 5; ++size) {
            CAPTURE(untilClose.substr(0, size));
            CHECK_FALSE(isWhole(untilClose.substr(0, size)));
        }
        CHECK(isWhole(untilClose));
    }
    GIVEN("lines that end with a line feed only, up to each byte")
    {
        const std::vector<std::string> texts{byLength, byChunks, untilClose};
        const auto text = withLineFeeds(texts.at(GENERATE(0U, 1U, 2U)));
        for (std::size_t size = 0; size <= text.size(); ++size) {
            CAPTURE(text.substr(0, size));
            CHECK_FALSE(isWhole(text.substr(0, size)));
        }
    }
    GIVEN("another answer behind each beginning of a head")
    {
        for (std::size_t size = 0; size < start.size(); ++size) {
            CAPTURE(start.substr(0, size));
            const auto isEmpty = size == 0;
            CHECK(isWhole(start.substr(0, size) + byLength) == isEmpty);
        }
    }
}

SCENARIO("MessageReader limits the size of head and body", "[http1]")
{
    const MessageLimits limits{64, 10};
    GIVEN("a head that is too long")
    {
        MessageReader reader(Kind::Request, limits);
        std::string rest;
        CHECK(readAll(reader, "GET / HTTP/1.1\r\nA: " + std::string(200, 'x'), 10, rest)
              == Step::Malformed);
        CHECK(reader.refusalStatus() == 431);
    }
    GIVEN("a body that is too long, by length or by chunks")
    {
        for (const auto *framing :
             {"Content-Length: 11\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nb\r\n"}) {
            MessageReader reader(Kind::Request, limits);
            std::string rest;
            CHECK(readAll(reader, std::string("PUT / HTTP/1.1\r\n") + framing, 10, rest)
                  == Step::Malformed);
            CHECK(reader.refusalStatus() == 413);
        }
    }
}

SCENARIO("requestText forwards end-to-end headers only", "[http1]")
{
    MessageHead head;
    head.method = "PUT";
    head.target = "/x";
    head.headers = {{"Host", "h"},        {"Connection", "close, X-Private"},
                    {"X-Private", "1"},   {"Deadline-Ms", "900"},
                    {"Keep-Alive", "3"},  {"Transfer-Encoding", "chunked"},
                    {"Request-Id", "r-1"}};
    const auto text = requestText(head, "body", {{"Deadline-Ms", "700"}});
    THEN("connection headers are left out, replaced ones appear once, and a length is added")
    {
        CHECK(text
              == "PUT /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\nDeadline-Ms: 700\r\n"
                 "Content-Length: 4\r\n\r\nbody");
    }
}

SCENARIO("responseText keeps status and body", "[http1]")
{
    MessageHead head;
    head.status = 200;
    head.headers = {{"Connection", "keep-alive"}, {"X-Own", "1"}, {"Content-Length", "5"}};
    CHECK(responseText(head, "hello", false, true)
          == "HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 5\r\n\r\nhello");
    CHECK(responseText(head, "", true, false)
          == "HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 5\r\nConnection: close\r\n\r\n");
}

SCENARIO("MessageReader refuses lengths that no message can have", "[http1]")
{
    // Guards against lengths that are cut to the size of a type, and read as a shorter message.
    for (const auto *length : {"18446744073709551616", "18446744073709551615",
                               "99999999999999999999999", "-1", "1e400", "4294967299000"}) {
        INFO(length);
        CHECK(readOne(Kind::Response,
                      "HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length) + "\r\n\r\nabc")
              == Step::Malformed);
    }
    for (const auto *size : {"10000000000000003", "FFFFFFFFFFFFFFFF", "-3", "100000003"}) {
        INFO(size);
        CHECK(readOne(Kind::Response, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                          + std::string(size) + "\r\nabc\r\n0\r\n\r\n")
              == Step::Malformed);
    }
}

SCENARIO("MessageReader holds no empty lines before a request", "[http1]")
{
    // Guards against callers that fill the memory of an idle connection with empty lines.
    MessageReader reader(Kind::Request, MessageLimits{});
    std::string lines;
    for (auto count = 0; count < 1000; ++count) {
        lines += "\r\n";
    }
    std::size_t taken = 0;
    CHECK(reader.read(lines, taken) == Step::NeedMore);
    CHECK(taken == lines.size());
    CHECK_FALSE(reader.isMidMessage());
    std::string rest;
    CHECK(readAll(reader, "\r\nGET /x HTTP/1.1\r\n\r\n", 1, rest) == Step::Whole);
    CHECK(reader.take().head.target == "/x");
}

SCENARIO("MessageReader counts the memory of headers", "[http1]")
{
    // Guards against heads of many short headers, which take many times their length.
    std::string head = "POST /x HTTP/1.1\r\nContent-Length: 1\r\n";
    for (auto count = 0; count < 3000; ++count) {
        head += "a:\r\n";
    }
    MessageReader reader(Kind::Request, MessageLimits{});
    std::size_t taken = 0;
    CHECK(reader.read(head + "\r\n", taken) == Step::NeedMore);
    CHECK(reader.hasHead());
    CHECK(reader.heldBytes() >= 3000 * sizeof(HttpHeader));
    GIVEN("long headers")
    {
        constexpr std::size_t valueBytes = 4000;
        MessageHead longHead;
        longHead.headers.push_back(HttpHeader{"Name", std::string(valueBytes, 'v')});
        CHECK(longHead.heldBytes() >= valueBytes);
        CHECK(longHead.heldBytes() < 2 * valueBytes);
    }
}

SCENARIO("MessageReader: interim responses without end are malformed", "[http1]")
{
    // Guards against an upstream that keeps a connection busy until the request's deadline.
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const auto repeated = [&](std::size_t bytes) {
        std::string text;
        while (text.size() + interim.size() <= bytes) {
            text += interim;
        }
        return text;
    };
    MessageLimits limits;
    limits.headBytes = 2000;
    MessageReader reader(MessageReader::Kind::Response, limits);
    std::size_t taken = 0;
    GIVEN("as many as a head may have bytes, before each of two answers")
    {
        const auto text = repeated(limits.headBytes) + answer;
        for (auto count = 0; count < 2; ++count) {
            CHECK(reader.read(text, taken) == MessageReader::Step::Whole);
            CHECK(reader.take().body == "ok");
        }
    }
    GIVEN("more")
    {
        const auto text = repeated(2 * limits.headBytes) + answer;
        CHECK(reader.read(text, taken) == MessageReader::Step::Malformed);
    }
}
