#include "forwarding/forwardclient.h"

#include "forwarding/forwardcodec.h"
#include "forwarding/tests/forwardsamples.h"
#include "http/clocktimer.h"
#include "http1/messagewriter.h"
#include "streams/tests/scriptedpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using End = OutboundResult::End;

namespace {

/// @returns the text of a forwarder's answer to the request of that number
auto hopAnswer(int number, const ForwardAnswer &answer) -> std::string
{
    const auto message = encodeForwardAnswer(answer, std::to_string(number));
    return responseText(message.head, message.body, false, true);
}

auto answeredWith(const std::string &body) -> ForwardAnswer
{
    ForwardAnswer answer;
    answer.end = End::Answered;
    answer.answer.head.status = 200;
    answer.answer.head.reason = "OK";
    answer.answer.body = body;
    return answer;
}

/// A client and a forwarder that answers with given texts.
struct ClientFixture
{
    explicit ClientFixture(std::vector<ScriptedPeer::Step> steps)
        : forwarder(this->loop.base(), std::move(steps))
        , client(this->loop.base(), monotonicNow)
    {
    }

    auto start(Duration remaining = seconds{2}) -> OutboundId
    {
        auto request = sampleRequest(Address{"10.0.0.1:80"});
        request.remaining = remaining;
        return this->client.send(this->forwarder.address, request, [this](ForwardAnswer ended) {
            this->ends.push_back(std::move(ended));
        });
    }

    auto ask(Duration remaining = seconds{2}) -> ForwardAnswer
    {
        const auto known = this->ends.size();
        this->start(remaining);
        REQUIRE(this->loop.runUntil([&] { return this->ends.size() > known; }));
        return this->ends.back();
    }

    TestLoop loop;
    ScriptedPeer forwarder;
    ForwardClient client;
    std::vector<ForwardAnswer> ends;
};

} // namespace

SCENARIO("ForwardClient passes on what the forwarder states", "[forwarding]")
{
    const ForwardAnswer full{End::NotSent, ForwardRefusal::Full};
    const ForwardAnswer held{End::NotSent, ForwardRefusal::Held,
                             SendHold{true, false, milliseconds{300}}};
    ClientFixture fixture({{hopAnswer(1, answeredWith("a"))},
                           {hopAnswer(2, full)},
                           {hopAnswer(3, held)},
                           {hopAnswer(4, ForwardAnswer{})}});
    CHECK(fixture.ask() == answeredWith("a"));
    CHECK(fixture.ask() == full);
    CHECK(fixture.ask() == held);
    CHECK(fixture.ask() == ForwardAnswer{});
    CHECK(fixture.forwarder.connections == 1);
}

SCENARIO("ForwardClient counts the requests that it passes on", "[forwarding]")
{
    // Guards against forwarded bodies that the memory account forgets.
    constexpr std::size_t bodyBytes = 1'000'000;
    TestLoop loop;
    MemoryAccount memory(MemoryBudget{10 * bodyBytes, 0});
    ForwardClient client(loop.base(), monotonicNow, &memory);
    auto request = sampleRequest(Address{"10.0.0.1:80"});
    request.text = std::string(bodyBytes, 'b');
    const auto id = client.send(freeAddress(), request, [](const ForwardAnswer &) {});
    CHECK(memory.heldBytes() > bodyBytes);
    client.abort(id);
    loop.runFor(milliseconds{20});
    CHECK(memory.heldBytes() == 0);
    GIVEN("a body that is shared with the owner of the request, who counts it")
    {
        request.text = "PUT / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n";
        request.body = std::make_shared<const std::string>(bodyBytes, 'b');
        const auto shared = client.send(freeAddress(), request, [](const ForwardAnswer &) {});
        CHECK(request.body.use_count() == 2);
        CHECK(memory.heldBytes() < bodyBytes / 10);
        client.abort(shared);
        loop.runFor(milliseconds{20});
        CHECK(request.body.use_count() == 1);
        CHECK(memory.heldBytes() == 0);
    }
}

SCENARIO("ForwardClient calls only those requests not sent that can't be sent any more",
         "[forwarding]")
{
    // Guards against a second run of a request that a lost forwarder may have sent.
    GIVEN("a forwarder that isn't there")
    {
        TestLoop loop;
        ForwardClient client(loop.base(), monotonicNow);
        std::optional<ForwardAnswer> end;
        client.send(freeAddress(), sampleRequest(Address{"10.0.0.1:80"}),
                    [&](ForwardAnswer ended) { end = std::move(ended); });
        CHECK_FALSE(end);
        REQUIRE(loop.runUntil([&] { return end.has_value(); }));
        CHECK(*end == ForwardAnswer{End::NotSent});
    }
    GIVEN("a forwarder that ends after it has read the request")
    {
        ClientFixture fixture({});
        fixture.start();
        fixture.loop.runUntil([&] { return !fixture.forwarder.received.empty(); });
        fixture.forwarder.reset();
        REQUIRE(fixture.loop.runUntil([&] { return !fixture.ends.empty(); }));
        CHECK(fixture.ends.back() == ForwardAnswer{});
    }
    GIVEN("a forwarder whose answer breaks off")
    {
        const auto text = hopAnswer(1, answeredWith("a whole body"));
        const auto refusal = hopAnswer(1, ForwardAnswer{End::NotSent, ForwardRefusal::Full});
        for (const auto &cut : {text.substr(0, text.size() - 1), text.substr(0, 20),
                                refusal.substr(0, refusal.size() - 1)}) {
            ClientFixture fixture({{cut, true}});
            CHECK(fixture.ask() == ForwardAnswer{});
        }
    }
    GIVEN("answers of something else than a forwarder")
    {
        const ForwardAnswer refused{End::NotSent, ForwardRefusal::Full};
        for (const auto &text :
             {std::string("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
              std::string(
                  "HTTP/1.1 400 Bad Request\r\nX-Forward-Id: 1\r\nContent-Length: 0\r\n\r\n"),
              std::string("HTTP/1.1 503 Service Unavailable\r\nX-Forward-Id: 1\r\n"
                          "X-Forward-End: not_sent\r\nX-Forward-Refusal: full\r\n"
                          "Content-Length: 0\r\n\r\n"),
              std::string("\x01\x02\x03\r\n\r\n"), std::string("HTTP/1.1 200 OK\r\n\r\n")}) {
            CAPTURE(text);
            ClientFixture fixture({{text, true}});
            CHECK(fixture.ask() == ForwardAnswer{});
        }
    }
    GIVEN("a forwarder that is frozen")
    {
        ClientFixture fixture({});
        const auto start = monotonicNow();
        const auto end = fixture.ask(milliseconds{200});
        const auto taken = monotonicNow() - start;
        CHECK(end == ForwardAnswer{});
        THEN("the request ends shortly after its time")
        {
            CHECK(taken >= milliseconds{200} - timerStep);
            CHECK(taken < milliseconds{1500});
        }
    }
    GIVEN("a forwarder that freezes after it has answered requests")
    {
        ClientFixture fixture({{hopAnswer(1, answeredWith("a"))}});
        CHECK(fixture.ask().end == End::Answered);
        CHECK(fixture.ask(milliseconds{100}) == ForwardAnswer{});
        CHECK(fixture.forwarder.connections == 1);
        THEN("its connection isn't used again")
        {
            fixture.start(milliseconds{100});
            CHECK(fixture.loop.runUntil([&] { return fixture.forwarder.connections == 2; }));
        }
    }
}

SCENARIO("ForwardClient takes no second copy of an answer for another request's", "[forwarding]")
{
    // Guards against a repeated "not sent" that would be taken for a request under way.
    const auto refusal = hopAnswer(1, ForwardAnswer{End::NotSent, ForwardRefusal::Full});
    GIVEN("a copy right behind the answer")
    {
        ClientFixture fixture({{refusal + refusal}, {hopAnswer(2, answeredWith("b"))}});
        CHECK(fixture.ask().end == End::NotSent);
        CHECK(fixture.ask() == answeredWith("b"));
        CHECK(fixture.forwarder.connections == 2);
    }
    GIVEN("a copy while the connection is idle")
    {
        ClientFixture fixture({{refusal}, {hopAnswer(2, answeredWith("b"))}});
        CHECK(fixture.ask().end == End::NotSent);
        fixture.forwarder.writeTo(0, refusal);
        fixture.loop.runFor(milliseconds{20});
        CHECK(fixture.ask() == answeredWith("b"));
    }
    GIVEN("a copy in place of the next request's answer, and that answer behind it")
    {
        ClientFixture fixture({{refusal}, {refusal + hopAnswer(2, answeredWith("b"))}});
        CHECK(fixture.ask().end == End::NotSent);
        CHECK(fixture.ask() == answeredWith("b"));
    }
    GIVEN("a copy in place of the next request's answer, and nothing behind it")
    {
        ClientFixture fixture({{refusal}, {refusal}});
        CHECK(fixture.ask().end == End::NotSent);
        CHECK(fixture.ask(milliseconds{100}) == ForwardAnswer{});
    }
}

SCENARIO("ForwardClient ends an aborted request without an answer", "[forwarding]")
{
    ClientFixture fixture({});
    const auto id = fixture.start();
    fixture.loop.runUntil([&] { return !fixture.forwarder.received.empty(); });
    fixture.client.abort(id);
    CHECK(fixture.loop.runUntil([&] { return fixture.forwarder.ended == 1; }));
    CHECK(fixture.ends.empty());
}
