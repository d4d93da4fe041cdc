#include "forwarding/forwardclient.h"
#include "forwarding/forwardcodec.h"
#include "forwarding/forwardservice.h"
#include "forwarding/tests/forwardsamples.h"
#include "http/clocktimer.h"
#include "streams/frontlistener.h"
#include "streams/tests/scriptedpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using End = OutboundResult::End;

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

/// A daemon that forwards, with its server for peers.
struct Forwarder
{
    explicit Forwarder(event_base *base)
        : pool(base, poolSettings(), monotonicNow)
        , service(
              ForwardSettings{}, this->pool, this->statements,
              [](const MessageHead &, bool) { return AnswerStatement{true}; }, monotonicNow,
              [this](ExchangeId exchange, const MessageHead &head, std::string_view body) {
                  this->listener.reply(exchange, head, body);
              },
              [] {})
        , listener(
              base, serverSettings(this->address), monotonicNow,
              [this](ExchangeId exchange, WholeMessage request) {
                  ++this->asked;
                  if (request.head.target == forwardPath) {
                      this->service.onRequest(exchange, std::move(request));
                      return;
                  }
                  MessageHead head;
                  head.status = 404;
                  this->listener.reply(exchange, head, "");
              },
              [this](ExchangeId exchange) { this->service.onDisconnect(exchange); })
    {
        this->listener.start();
    }

    static auto poolSettings() -> OutboundPoolSettings
    {
        OutboundPoolSettings settings;
        settings.echoHeader = "Request-Id";
        return settings;
    }

    static auto serverSettings(const Address &listen) -> FrontSettings
    {
        FrontSettings settings;
        settings.listen = listen;
        return settings;
    }

    Address address = freeAddress();
    int asked = 0;
    OutboundPool pool;
    UpstreamStatements statements{UpstreamStatementSettings{}};
    ForwardService service;
    FrontListener listener;
};

/// An entry daemon's client, a forwarder, and an upstream that answers with given texts.
struct HopFixture
{
    explicit HopFixture(std::vector<ScriptedPeer::Step> steps)
        : upstream(this->loop.base(), std::move(steps))
        , forwarder(std::make_unique<Forwarder>(this->loop.base()))
        , client(std::make_unique<ForwardClient>(this->loop.base(), monotonicNow))
    {
    }

    auto start(const ForwardRequest &request) -> OutboundId
    {
        return this->client->send(this->forwarder->address, request, [this](ForwardAnswer ended) {
            this->ends.push_back(std::move(ended));
        });
    }

    auto ask(const ForwardRequest &request) -> ForwardAnswer
    {
        const auto known = this->ends.size();
        this->start(request);
        REQUIRE(this->loop.runUntil([&] { return this->ends.size() > known; }));
        return this->ends.back();
    }

    auto ask(const std::string &id = "r1") -> ForwardAnswer
    {
        return this->ask(sampleRequest(this->upstream.address, id));
    }

    TestLoop loop;
    ScriptedPeer upstream;
    std::unique_ptr<Forwarder> forwarder;
    std::unique_ptr<ForwardClient> client;
    std::vector<ForwardAnswer> ends;
};

/// @returns what an entry daemon receives that sends the request to the upstream itself
auto directResult(const ScriptedPeer::Step &step, bool isHead) -> OutboundResult
{
    TestLoop loop;
    ScriptedPeer upstream(loop.base(), {step});
    OutboundPool pool(loop.base(), Forwarder::poolSettings(), monotonicNow);
    const auto sample = sampleRequest(upstream.address);
    OutboundRequest request;
    request.address = upstream.address;
    request.text = sample.text;
    request.isHead = isHead;
    request.timeout = seconds{5};
    request.echoedId = sample.echoedId;
    std::optional<OutboundResult> result;
    pool.send(std::move(request), [&](OutboundResult ended) { result = std::move(ended); });
    REQUIRE(loop.runUntil([&] { return result.has_value(); }));
    return *result;
}

auto answer(const std::string &id, const std::string &body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

SCENARIO("A forwarded answer is the one that the entry daemon would have received itself",
         "[forwarding]")
{
    struct Case
    {
        ScriptedPeer::Step step;
        bool isHead = false;
    };
    const std::string id = "Request-Id: r1\r\n";
    const std::string large(8 * megabyte, 'x');
    const std::vector<Case> cases{
        {{"HTTP/1.1 200 OK\r\nB: 2\r\nA: 1\r\n" + id
          + "b: 3\r\nContent-Length: 2\r\nZ:\r\n\r\nok"}},
        {{"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 12345\r\n\r\n"}, true},
        {{"HTTP/1.1 204 No Content\r\n" + id + "\r\n"}},
        {{"HTTP/1.1 304 Not Modified\r\n" + id + "Content-Length: 5\r\n\r\n"}},
        {{"HTTP/1.1 200 OK\r\n" + id + "\r\nuntil\r\n\r\nthe end", true}},
        {{"HTTP/1.0 200 Fine\r\n" + id + "\r\n", true}},
        {{"HTTP/1.1 200 OK\r\n" + id
          + "Transfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nT: 1\r\n\r\n"}},
        {{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\n" + id
          + "Not-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"}},
        {{"HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\nContent-Length: 1\r\n\r\nx", true}},
        {{answer("r1", large)}},
        {{"HTTP/1.1 200 OK\r\n" + id + "\r\n" + large, true}},
    };
    for (std::size_t index = 0; index < cases.size(); ++index) {
        CAPTURE(index);
        const auto &each = cases[index];
        const auto direct = directResult(each.step, each.isHead);
        REQUIRE(direct.end == End::Answered);
        HopFixture fixture({each.step});
        auto request = sampleRequest(fixture.upstream.address);
        request.remaining = seconds{5};
        request.isHead = each.isHead;
        if (each.isHead) {
            request.text = "HEAD /r1 HTTP/1.1\r\nHost: h\r\n\r\n";
        }
        const auto end = fixture.ask(request);
        CHECK(end.end == End::Answered);
        CHECK(end.answer.head == direct.answer.head);
        CHECK((end.answer.body == direct.answer.body));
    }
}

SCENARIO("The upstream receives the request as the entry daemon has built it", "[forwarding]")
{
    HopFixture fixture({{answer("r1", "")}});
    auto request = sampleRequest(fixture.upstream.address);
    std::string body(megabyte, '\0');
    for (std::size_t index = 0; index < body.size(); ++index) {
        body[index] = static_cast<char>(index * 7);
    }
    request.text = "POST /a%20b?c HTTP/1.1\r\nB: 1\r\nA: 2\r\nHost: h\r\nContent-Length: "
                   + std::to_string(body.size()) + "\r\n\r\n" + body;
    CHECK(fixture.ask(request).end == End::Answered);
    CHECK(fixture.loop.runUntil(
        [&] { return fixture.upstream.received.size() >= request.text.size(); }));
    CHECK((fixture.upstream.received == request.text));
}

SCENARIO("A forwarded request has an unknown outcome where the upstream's answer breaks off",
         "[forwarding]")
{
    for (const auto &text :
         {answer("r1", "12345678").substr(0, 60),
          answer("r1", std::string(megabyte, 'x')).substr(0, megabyte),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")}) {
        HopFixture fixture({{text, true}});
        CHECK(fixture.ask() == ForwardAnswer{});
        fixture.loop.runFor(milliseconds{20});
        CHECK(fixture.upstream.connections == 1);
    }
}

SCENARIO("A second copy of an upstream's answer reaches no other forwarded request", "[forwarding]")
{
    // Guards against a repeated rejection on the forwarder's kept connection: a request under way
    // would be called one that hasn't run.
    const std::string rejection =
        "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    GIVEN("a copy while the connection is idle")
    {
        HopFixture fixture({{rejection}, {answer("r2", "two")}});
        CHECK(fixture.ask("r1").answer.head.status == 503);
        fixture.upstream.writeTo(0, rejection);
        fixture.loop.runFor(milliseconds{20});
        CHECK(fixture.ask("r2").answer.body == "two");
        CHECK(fixture.upstream.connections == 2);
    }
    GIVEN("a copy in place of the next request's answer")
    {
        HopFixture fixture({{rejection}, {rejection + answer("r2", "two")}});
        CHECK(fixture.ask("r1").answer.head.status == 503);
        CHECK(fixture.ask("r2").answer.body == "two");
    }
    GIVEN("an entry daemon that sends the same id there again")
    {
        HopFixture fixture({{rejection}, {answer("r1", "two")}});
        CHECK(fixture.ask("r1").answer.head.status == 503);
        auto again = sampleRequest(fixture.upstream.address, "r1");
        again.needsNewConnection = true;
        CHECK(fixture.ask(again).answer.body == "two");
        CHECK(fixture.upstream.connections == 2);
    }
}

SCENARIO("Requests of one entry daemon share connections, one request at a time on each",
         "[forwarding]")
{
    HopFixture fixture({{answer("r1", "1")}, {answer("r2", "2")}, {answer("r3", "3")}});
    CHECK(fixture.ask("r1").answer.body == "1");
    CHECK(fixture.ask("r2").answer.body == "2");
    CHECK(fixture.ask("r3").answer.body == "3");
    CHECK(fixture.forwarder->listener.counters().connections == 1);
    CHECK(fixture.upstream.connections == 1);
}

SCENARIO("The upstream's connection ends with that of the entry daemon", "[forwarding]")
{
    // Guards against requests that run on for callers that have left.
    HopFixture fixture({});
    auto request = sampleRequest(fixture.upstream.address);
    request.remaining = seconds{60};
    const auto id = fixture.start(request);
    REQUIRE(fixture.loop.runUntil([&] { return !fixture.upstream.received.empty(); }));
    GIVEN("a request that the entry daemon aborts")
    {
        fixture.client->abort(id);
        CHECK(fixture.loop.runUntil([&] { return fixture.upstream.ended == 1; }, seconds{5}));
    }
    GIVEN("an entry daemon that is lost")
    {
        fixture.client.reset();
        CHECK(fixture.loop.runUntil([&] { return fixture.upstream.ended == 1; }, seconds{5}));
    }
    CHECK(fixture.forwarder->service.openCount() == 0);
    CHECK(fixture.ends.empty());
    CHECK(fixture.upstream.connections == 1);
}

SCENARIO("A request has an unknown outcome where its forwarder is lost", "[forwarding]")
{
    HopFixture fixture({});
    auto request = sampleRequest(fixture.upstream.address);
    request.remaining = seconds{60};
    fixture.start(request);
    REQUIRE(fixture.loop.runUntil([&] { return !fixture.upstream.received.empty(); }));
    fixture.forwarder.reset();
    REQUIRE(fixture.loop.runUntil([&] { return !fixture.ends.empty(); }));
    CHECK(fixture.ends.back() == ForwardAnswer{});
    CHECK(fixture.loop.runUntil([&] { return fixture.upstream.ended == 1; }));
    CHECK(fixture.upstream.received == request.text);
}

SCENARIO("The forwarder ends requests whose time is over", "[forwarding]")
{
    HopFixture fixture({});
    auto request = sampleRequest(fixture.upstream.address);
    request.remaining = milliseconds{150};
    const auto start = monotonicNow();
    CHECK(fixture.ask(request) == ForwardAnswer{});
    CHECK(monotonicNow() - start >= milliseconds{150} - timerStep);
    THEN("its answer arrives, and the connection to it is kept")
    {
        CHECK(fixture.loop.runUntil([&] { return fixture.upstream.ended == 1; }));
        CHECK(fixture.forwarder->listener.connectionCount() == 1);
    }
}

SCENARIO("A planned stop of the forwarder loses no answer", "[forwarding]")
{
    HopFixture fixture({{answer("r1", "1")}});
    fixture.start(sampleRequest(fixture.upstream.address));
    REQUIRE(fixture.loop.runUntil([&] { return fixture.forwarder->service.openCount() == 1; }));
    fixture.forwarder->service.refuseNew();
    const auto late = fixture.client->send(
        fixture.forwarder->address, sampleRequest(fixture.upstream.address, "r2"),
        [&](ForwardAnswer ended) {
            CHECK(ended == ForwardAnswer{End::NotSent, ForwardRefusal::Stopping});
            fixture.ends.push_back(std::move(ended));
        });
    CHECK(late.value != 0);
    REQUIRE(fixture.loop.runUntil([&] { return fixture.ends.size() == 2; }));
    CHECK(std::count_if(fixture.ends.begin(), fixture.ends.end(),
                        [](const ForwardAnswer &end) {
                            return end.end == End::Answered && end.answer.body == "1";
                        })
          == 1);
    CHECK(fixture.forwarder->service.openCount() == 0);
}

SCENARIO("A request makes one hop at most", "[forwarding]")
{
    // Guards against daemons that pass a request round.
    HopFixture fixture({{answer("r1", "1")}});
    Forwarder other(fixture.loop.base());
    GIVEN("a request for a daemon's address as that of an upstream")
    {
        const auto end = fixture.ask(sampleRequest(other.address));
        CHECK(end.end == End::Answered);
        CHECK(end.answer.head.status == 404);
        CHECK(other.asked == 1);
        CHECK(fixture.forwarder->service.counters().sent == 1);
    }
    GIVEN("a request of a caller for the path of forwarding")
    {
        auto request = sampleRequest(other.address);
        request.text = "POST /forward HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
        CHECK(fixture.ask(request).answer.head.status == 400);
        CHECK(other.asked == 1);
        CHECK(fixture.forwarder->service.counters().sent == 1);
    }
    GIVEN("a request that asks the next daemon to forward it")
    {
        auto request = sampleRequest(other.address);
        request.text =
            forwardRequestText(sampleRequest(fixture.upstream.address), other.address, "1");
        CHECK(fixture.ask(request) == ForwardAnswer{End::NotSent, ForwardRefusal::Unread});
        CHECK(fixture.forwarder->service.counters().malformed == 1);
        CHECK(fixture.forwarder->service.counters().sent == 0);
        CHECK(other.asked == 0);
    }
    CHECK(other.service.counters().sent == 0);
    CHECK(fixture.upstream.connections == 0);
}
