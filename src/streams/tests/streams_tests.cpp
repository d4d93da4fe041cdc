#include "http/clocktimer.h"
#include "http1/messagewriter.h"
#include "streams/datagramsocket.h"
#include "streams/frontlistener.h"
#include "streams/outboundpool.h"
#include "streams/tests/scriptedpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using End = OutboundResult::End;

namespace {

auto answer(const std::string &id, const std::string &body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct PoolFixture
{
    explicit PoolFixture(std::vector<ScriptedPeer::Step> steps)
        : peer(this->loop.base(), std::move(steps))
        , pool(this->loop.base(), poolSettings(), monotonicNow)
    {
    }

    static auto poolSettings() -> OutboundPoolSettings
    {
        OutboundPoolSettings settings;
        settings.echoHeader = "Request-Id";
        return settings;
    }

    auto ask(const std::string &id, Duration timeout = seconds{2}) -> OutboundResult
    {
        OutboundRequest request;
        request.text = "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n";
        request.timeout = timeout;
        request.echoedId = id;
        return this->ask(std::move(request));
    }

    /// Resets the connection once the answer has arrived.
    auto askAndReset(const std::string &id) -> OutboundResult
    {
        OutboundRequest request;
        request.address = this->peer.address;
        request.text = "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n";
        request.timeout = seconds{2};
        request.echoedId = id;
        OutboundResult result;
        auto isDone = false;
        this->pool.send(std::move(request), [&](OutboundResult ended) {
            result = std::move(ended);
            isDone = true;
        });
        this->loop.runUntil([&] { return !this->peer.received.empty(); });
        this->loop.runFor(milliseconds{4});
        this->peer.reset();
        this->loop.runUntil([&] { return isDone; });
        return result;
    }

    auto ask(OutboundRequest request) -> OutboundResult
    {
        request.address = this->peer.address;
        OutboundResult result;
        auto isDone = false;
        this->pool.send(std::move(request), [&](OutboundResult ended) {
            result = std::move(ended);
            isDone = true;
        });
        this->loop.runUntil([&] { return isDone; });
        return result;
    }

    TestLoop loop;
    ScriptedPeer peer;
    OutboundPool pool;
};

} // namespace

SCENARIO("OutboundPool reuses a connection only after a clean answer", "[streams]")
{
    GIVEN("answers without further bytes")
    {
        PoolFixture fixture({{answer("a", "1")}, {answer("b", "2")}});
        CHECK(fixture.ask("a").answer.body == "1");
        CHECK(fixture.ask("b").answer.body == "2");
        CHECK(fixture.peer.connections == 1);
    }
    GIVEN("further bytes after an answer")
    {
        PoolFixture fixture({{answer("a", "1") + "HTTP/1.1 200 OK\r\n"}, {answer("b", "2")}});
        CHECK(fixture.ask("a").answer.body == "1");
        THEN("they reach no later request")
        {
            CHECK(fixture.ask("b").answer.body == "2");
            CHECK(fixture.peer.connections == 2);
        }
    }
    GIVEN("a late answer to an earlier request before that to the current one")
    {
        PoolFixture fixture({{answer("old", "1") + answer("b", "2")}, {answer("c", "3")}});
        THEN("the answer to the current request is used, and the connection isn't reused")
        {
            CHECK(fixture.ask("b").answer.body == "2");
            CHECK(fixture.ask("c").answer.body == "3");
            CHECK(fixture.peer.connections == 2);
        }
    }
    GIVEN("an answer that says that the connection closes")
    {
        PoolFixture fixture({{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nConnection: close\r\n"
                              "Content-Length: 1\r\n\r\n1"},
                             {answer("b", "2")}});
        CHECK(fixture.ask("a").answer.body == "1");
        CHECK(fixture.ask("b").answer.body == "2");
        CHECK(fixture.peer.connections == 2);
    }
}

SCENARIO("OutboundPool never takes a second copy of an answer for another request's", "[streams]")
{
    // Guards against an upstream that writes an earlier rejection once more on a kept connection: a
    // request that it is running would be called one that hasn't run.
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const auto rejection = [](const std::string &id) {
        const auto idLine = id.empty() ? "" : "Request-Id: " + id + "\r\n";
        return "HTTP/1.1 503 Service Unavailable\r\n" + idLine
               + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    };

    GIVEN("a rejection without an id")
    {
        PoolFixture fixture({{rejection("")}, {answer("b", "2")}});
        CHECK(fixture.ask("a").answer.head.status == 503);
        THEN("its connection isn't used again, as a copy of it couldn't be told apart")
        {
            CHECK(fixture.ask("b").answer.body == "2");
            CHECK(fixture.peer.connections == 2);
        }
    }
    GIVEN("a rejection with an id, and its copy before, or with interim answers between, the next "
          "answer")
    {
        const auto next = GENERATE(0, 1, 2, 3);
        const auto copy = rejection("a");
        const std::vector<std::string> texts{copy + answer("b", "2"),
                                             copy + interim + answer("b", "2"),
                                             interim + copy + answer("b", "2"), copy + copy};
        PoolFixture fixture({{rejection("a")}, {texts.at(static_cast<std::size_t>(next))}});
        CHECK(fixture.ask("a").answer.head.status == 503);
        const auto result = fixture.ask("b", milliseconds{200});
        CHECK(fixture.peer.connections == 1);
        if (next == 3) {
            CHECK(result.end == End::NoAnswer);
        } else {
            CHECK(result.answer.body == "2");
        }
    }
    GIVEN("a copy that arrives while the connection is idle")
    {
        PoolFixture fixture({{answer("a", "1")}, {answer("b", "2")}});
        CHECK(fixture.ask("a").answer.body == "1");
        fixture.peer.writeTo(0, answer("a", "1"));
        fixture.loop.runFor(milliseconds{50});
        CHECK(fixture.ask("b").answer.body == "2");
        CHECK(fixture.peer.connections == 2);
    }
    GIVEN("the same id once more, which the copy would match")
    {
        PoolFixture fixture({{rejection("a")}, {answer("a", "1")}});
        CHECK(fixture.ask("a").answer.head.status == 503);
        OutboundRequest again;
        again.text = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
        again.timeout = seconds{2};
        again.echoedId = "a";
        again.needsNewConnection = true;
        THEN("it is sent on a connection of its own")
        {
            CHECK(fixture.ask(std::move(again)).answer.body == "1");
            CHECK(fixture.peer.connections == 2);
        }
    }
    GIVEN("a HEAD request, and before its answer a copy that has a body")
    {
        PoolFixture fixture(
            {{answer("a", "some body")}, {answer("a", "some body") + answer("b", "")}});
        CHECK(fixture.ask("a").answer.body == "some body");
        OutboundRequest head;
        head.text = "HEAD /b HTTP/1.1\r\nHost: h\r\n\r\n";
        head.timeout = seconds{2};
        head.echoedId = "b";
        head.isHead = true;
        THEN("the copy's body is no answer")
        {
            CHECK(fixture.ask(std::move(head)).end == End::BadAnswer);
        }
    }
}

SCENARIO("OutboundPool takes no answer without an id on a used connection", "[streams]")
{
    // Guards against additional bytes behind an earlier answer that look like a rejection or an
    // answer: a request that runs would be sent again, or its caller would get foreign bytes.
    const std::string rejection = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                                  "Content-Length: 0\r\n\r\n";
    const std::string foreign = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
    const auto additional = GENERATE_COPY(rejection, foreign);
    GIVEN("such bytes before the request's answer")
    {
        PoolFixture fixture(
            {{answer("a", "1")}, {additional + answer("b", "2")}, {answer("c", "3")}});
        CHECK(fixture.ask("a").answer.body == "1");
        const auto result = fixture.ask("b");
        THEN("the request gets its own answer, and the connection isn't used again")
        {
            CHECK(result.end == End::Answered);
            CHECK(result.answer.body == "2");
            CHECK_FALSE(result.isFirstOnConnection);
            CHECK(fixture.ask("c").isFirstOnConnection);
            CHECK(fixture.peer.connections == 2);
        }
    }
    GIVEN("such bytes and no answer")
    {
        PoolFixture fixture({{answer("a", "1")}, {additional}});
        CHECK(fixture.ask("a").answer.body == "1");
        THEN("the outcome is unknown")
        {
            CHECK(fixture.ask("b", milliseconds{200}).end == End::NoAnswer);
        }
    }
    GIVEN("such bytes without end")
    {
        std::string many;
        for (auto count = 0; count < 100; ++count) {
            many += additional;
        }
        PoolFixture fixture({{answer("a", "1")}, {many}});
        CHECK(fixture.ask("a").answer.body == "1");
        THEN("the request ends before its timeout, with an unknown outcome")
        {
            CHECK(fixture.ask("b", seconds{60}).end == End::BadAnswer);
        }
    }
    GIVEN("an answer without an id to the first request of a connection")
    {
        PoolFixture fixture({{additional}});
        THEN("it counts, as nothing else can have come before")
        {
            const auto result = fixture.ask("a");
            CHECK(result.end == End::Answered);
            CHECK(result.isFirstOnConnection);
        }
    }
}

SCENARIO("OutboundPool reports how each request ended", "[streams]")
{
    GIVEN("an answer without a length that ends with its connection")
    {
        PoolFixture fixture({{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nwhole", true}});
        const auto result = fixture.ask("a");
        CHECK(result.end == End::Answered);
        CHECK(result.answer.body == "whole");
    }
    GIVEN("a truncated answer")
    {
        PoolFixture fixture(
            {{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\ncut", true}});
        CHECK(fixture.ask("a").end == End::NoAnswer);
    }
    GIVEN("each beginning of an answer, before a close and before a reset")
    {
        const auto isReset = GENERATE(false, true);
        const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
        const std::vector<std::string> texts{
            answer("a", "whole"),
            start + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            start + "\r\nwhole"};
        const auto kind = GENERATE(0U, 1U, 2U);
        const auto &text = texts.at(kind);
        const auto endsWithConnection = kind == 2;
        for (std::size_t size = 0; size < text.size(); ++size) {
            CAPTURE(text.substr(0, size));
            PoolFixture fixture({{text.substr(0, size), !isReset}});
            const auto isWholeByClose = endsWithConnection && !isReset && size >= start.size() + 2;
            const auto result = isReset ? fixture.askAndReset("a") : fixture.ask("a");
            CHECK(result.end == (isWholeByClose ? End::Answered : End::NoAnswer));
        }
    }
    GIVEN("an answer without a length whose connection is reset at its end")
    {
        PoolFixture fixture({{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nwhole"}});
        CHECK(fixture.askAndReset("a").end == End::NoAnswer);
    }
    GIVEN("a malformed answer")
    {
        PoolFixture fixture({{"garbage garbage\r\n\r\n"}});
        CHECK(fixture.ask("a").end == End::BadAnswer);
    }
    GIVEN("bytes without end that are no answer")
    {
        // Guards against an upstream whose bytes would fill this daemon's memory.
        const auto kind = GENERATE(0, 1, 2, 3);
        const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
        constexpr std::size_t tooLong = std::size_t{17} * 1024 * 1024;
        std::string text;
        switch (kind) {
        case 0:
            text = std::string(tooLong, 'x');
            break;
        case 1:
            text = start + "X-Filler: " + std::string(tooLong, 'x');
            break;
        case 2:
            text = start + "\r\n" + std::string(tooLong, 'x');
            break;
        default:
            text =
                start + "Transfer-Encoding: chunked\r\n\r\n1000000\r\n" + std::string(tooLong, 'x');
            break;
        }
        PoolFixture fixture({{text}, {answer("b", "2")}});
        THEN("the request ends at the limits, and the connection is closed")
        {
            CHECK(fixture.ask("a", seconds{5}).end == End::BadAnswer);
            fixture.loop.runUntil([&] { return fixture.peer.ended > 0; }, seconds{2});
            CHECK(fixture.peer.ended > 0);
            CHECK(fixture.ask("b").answer.body == "2");
            CHECK(fixture.peer.connections == 2);
        }
    }
    GIVEN("no answer in time")
    {
        PoolFixture fixture({});
        CHECK(fixture.ask("a", milliseconds{100}).end == End::NoAnswer);
        THEN("the connection is reset, so that nothing on it is read later")
        {
            fixture.loop.runUntil([&] { return fixture.peer.ended == 1; });
            CHECK(fixture.peer.ended == 1);
        }
    }
    GIVEN("an address without a listener")
    {
        PoolFixture fixture({});
        OutboundRequest request;
        request.address = freeAddress();
        request.timeout = seconds{1};
        auto end = End::Answered;
        auto isDone = false;
        fixture.pool.send(std::move(request), [&](const OutboundResult &result) {
            end = result.end;
            isDone = true;
        });
        fixture.loop.runUntil([&] { return isDone; });
        CHECK(end == End::NotSent);
    }
}

SCENARIO("DatagramSocket passes on the sender's address", "[streams]")
{
    TestLoop loop;
    const auto senderAddress = freeAddress();
    const auto receiverAddress = freeAddress();
    std::string text;
    Address from;
    auto batchCount = 0;
    DatagramSocket sender(
        loop.base(), senderAddress, [](const Address &, std::string_view) {}, [] {});
    DatagramSocket receiver(
        loop.base(), receiverAddress,
        [&](const Address &name, std::string_view bytes) {
            from = name;
            text += bytes;
        },
        [&] { ++batchCount; });
    sender.send(receiverAddress, "hel");
    sender.send(receiverAddress, "lo");
    CHECK(loop.runUntil([&] { return text == "hello"; }, seconds{2}));
    CHECK(from == senderAddress);
    CHECK(batchCount == 1);
}
