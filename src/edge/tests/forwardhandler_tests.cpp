#include "edge/forwardhandler.h"
#include "forwarding/forwardclient.h"
#include "forwarding/tests/forwardsamples.h"
#include "http/clocktimer.h"
#include "streams/tests/scriptedpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using End = OutboundResult::End;

namespace {

/// An entry daemon's client, a forwarder behind its PeerServer, and an upstream.
struct HandlerFixture
{
    explicit HandlerFixture(std::vector<ScriptedPeer::Step> steps)
        : upstream(this->loop.base(), std::move(steps))
        , server(
              this->loop.base(), this->address, [this] { return this->now(); }, this->logger)
        , pool(this->loop.base(), OutboundPoolSettings{}, monotonicNow)
        , service(
              ForwardSettings{}, this->pool, this->statements,
              [](const MessageHead &, bool) { return AnswerStatement{true}; }, monotonicNow,
              [this](ExchangeId exchange, const MessageHead &head, std::string_view body) {
                  this->server.reply(exchange, head, body);
              },
              [] {})
        , client(this->loop.base(), [this] { return this->now(); })
    {
        serveForwarding(this->server, this->service);
        this->server.start();
    }

    [[nodiscard]] auto now() const -> Instant { return monotonicNow() + this->added; }

    auto start(Duration remaining) -> OutboundId
    {
        auto request = sampleRequest(this->upstream.address);
        request.remaining = remaining;
        return this->client.send(this->address, request, [this](ForwardAnswer ended) {
            this->ends.push_back(std::move(ended));
        });
    }

    auto ask() -> ForwardAnswer
    {
        const auto known = this->ends.size();
        this->start(seconds{2});
        REQUIRE(this->loop.runUntil([&] { return this->ends.size() > known; }));
        return this->ends.back();
    }

    /// Lets a time without requests pass for the client and the server.
    auto idle(Duration time) -> void
    {
        this->added += time;
        this->server.sweep();
        this->loop.runFor(milliseconds{20});
    }

    TestLoop loop;
    Logger logger{"error", 100};
    Address address = freeAddress();
    Duration added{0};
    ScriptedPeer upstream;
    PeerServer server;
    OutboundPool pool;
    UpstreamStatements statements{UpstreamStatementSettings{}};
    ForwardService service;
    ForwardClient client;
    std::vector<ForwardAnswer> ends;
};

const std::string okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

SCENARIO("Requests are forwarded by way of the PeerServer", "[edge]")
{
    GIVEN("an upstream that answers")
    {
        HandlerFixture fixture({{okAnswer}});
        const auto end = fixture.ask();
        CHECK(end.end == End::Answered);
        CHECK(end.answer.body == "ok");
    }
    GIVEN("an upstream that doesn't answer, and an entry daemon that leaves")
    {
        HandlerFixture fixture({});
        const auto id = fixture.start(seconds{60});
        REQUIRE(fixture.loop.runUntil([&] { return !fixture.upstream.received.empty(); }));
        fixture.client.abort(id);
        CHECK(fixture.loop.runUntil([&] { return fixture.upstream.ended == 1; }, seconds{5}));
        CHECK(fixture.service.openCount() == 0);
    }
}

SCENARIO("The largest requests and answers are forwarded whole", "[edge]")
{
    constexpr std::size_t megabyte = std::size_t{1024} * 1024;
    const std::string body(MessageLimits{}.bodyBytes, 'x');
    const std::string filler(MessageLimits{}.headBytes - 100, 'y');
    HandlerFixture fixture({{"HTTP/1.1 200 OK\r\nFiller: " + filler + "\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body}});
    auto request = sampleRequest(fixture.upstream.address, std::string(15'000, '%'));
    request.remaining = seconds{10};
    request.text = "PUT / HTTP/1.1\r\nFiller: " + filler + "\r\nContent-Length: "
                   + std::to_string(8 * megabyte) + "\r\n\r\n" + body.substr(0, 8 * megabyte);
    std::optional<ForwardAnswer> end;
    fixture.client.send(fixture.address, request,
                        [&](ForwardAnswer ended) { end = std::move(ended); });
    REQUIRE(fixture.loop.runUntil([&] { return end.has_value(); }, seconds{15}));
    CHECK(end->end == End::Answered);
    CHECK((end->answer.body == body));
    CHECK(fixture.loop.runUntil(
        [&] { return fixture.upstream.received.size() >= request.text.size(); }));
    CHECK((fixture.upstream.received == request.text));
}

SCENARIO("An idle connection to a forwarder is left by its client before the forwarder closes it",
         "[edge]")
{
    // Guards against requests of unknown outcome that were written to a closing connection.
    HandlerFixture fixture({{okAnswer}, {okAnswer}, {okAnswer}});
    CHECK(fixture.ask().end == End::Answered);
    GIVEN("a time for which the client uses the connection")
    {
        fixture.idle(milliseconds{5900});
        CHECK(fixture.server.connectionCount() == 1);
        CHECK(fixture.ask().end == End::Answered);
        CHECK(fixture.client.openedCount() == 1);
    }
    GIVEN("a longer time")
    {
        fixture.idle(milliseconds{6100});
        CHECK(fixture.server.connectionCount() == 1);
        CHECK(fixture.ask().end == End::Answered);
        CHECK(fixture.client.openedCount() == 2);
        THEN("the forwarder closes one that the client doesn't use any more")
        {
            fixture.loop.runFor(milliseconds{20});
            fixture.idle(milliseconds{8800});
            CHECK(fixture.server.connectionCount() == 1);
            fixture.idle(milliseconds{400});
            CHECK(fixture.server.connectionCount() == 0);
        }
    }
}

SCENARIO("A forwarder that stops closes connections only after their answers", "[edge]")
{
    HandlerFixture fixture({{okAnswer}});
    fixture.start(seconds{2});
    REQUIRE(fixture.loop.runUntil([&] { return fixture.service.openCount() == 1; }));
    fixture.service.refuseNew();
    fixture.server.closeAfterReplies();
    REQUIRE(fixture.loop.runUntil([&] { return fixture.ends.size() == 1; }));
    CHECK(fixture.ends.back().answer.body == "ok");
    CHECK(fixture.ask() == ForwardAnswer{End::NotSent, ForwardRefusal::Stopping});
    CHECK(fixture.loop.runUntil([&] { return fixture.server.connectionCount() == 0; }));
    CHECK(fixture.server.unsentBytes() == 0);
}
