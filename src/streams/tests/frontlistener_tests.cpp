#include "http/clocktimer.h"
#include "streams/frontlistener.h"
#include "testing/freeaddress.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A FrontListener whose requests the test answers, and a caller connected to it.
struct ListenerFixture
{
    ListenerFixture()
    {
        this->front.start();
        this->connect();
    }

    auto connect() -> void
    {
        this->received.clear();
        this->isEnded = false;
        this->caller = std::make_unique<SocketStream>(
            this->loop.base(), parseEndpoint(this->address).value_or(Endpoint{}),
            SocketStream::Handlers{[](bool) {},
                                   [this] {
                                       this->received += this->caller->input();
                                       this->caller->consume(this->caller->input().size());
                                   },
                                   [this](bool) { this->isEnded = true; }});
    }

    auto reply(std::size_t index, const std::string &body) -> void
    {
        MessageHead head;
        head.status = 200;
        this->front.reply(this->requests.at(index).first, head, body);
    }

    auto waitRequests(std::size_t count) -> bool
    {
        return this->loop.runUntil([&] { return this->requests.size() >= count; }, seconds{2});
    }

    auto waitReceived(const std::string &text) -> bool
    {
        return this->loop.runUntil([&] { return this->received.find(text) != std::string::npos; },
                                   seconds{2});
    }

    static auto settings(const Address &address) -> FrontSettings
    {
        FrontSettings result;
        result.listen = address;
        result.headerTimeout = milliseconds{300};
        result.idleTimeout = milliseconds{600};
        return result;
    }

    TestLoop loop;
    Address address = freeAddress();
    std::vector<std::pair<ExchangeId, WholeMessage>> requests;
    std::vector<ExchangeId> disconnected;
    FrontListener front{this->loop.base(), settings(this->address), monotonicNow,
                        [this](ExchangeId exchange, WholeMessage request) {
                            this->requests.emplace_back(exchange, std::move(request));
                        },
                        [this](ExchangeId exchange) { this->disconnected.push_back(exchange); }};
    std::unique_ptr<SocketStream> caller;
    std::string received;
    bool isEnded = false;
};

const std::string getRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

SCENARIO("FrontListener sends answers in the order of the requests", "[streams]")
{
    ListenerFixture fixture;
    fixture.caller->write(getRequest + getRequest + getRequest);
    REQUIRE(fixture.waitRequests(3));
    fixture.reply(2, "third");
    fixture.reply(1, "second");
    fixture.loop.runFor(milliseconds{50});
    CHECK(fixture.received.empty());
    fixture.reply(0, "first");
    REQUIRE(fixture.waitReceived("third"));
    CHECK(fixture.received.find("first") < fixture.received.find("second"));
    CHECK(fixture.received.find("second") < fixture.received.find("third"));
    CHECK_FALSE(fixture.isEnded);
}

SCENARIO("FrontListener closes connections without losing answers", "[streams]")
{
    ListenerFixture fixture;
    GIVEN("a shutdown while requests are open")
    {
        fixture.caller->write(getRequest + getRequest);
        REQUIRE(fixture.waitRequests(2));
        fixture.front.closeAfterReplies();
        fixture.reply(0, "first");
        fixture.reply(1, "second");
        THEN("all are answered, and only the last answer closes the connection")
        {
            REQUIRE(fixture.waitReceived("second"));
            CHECK(fixture.received.find("Connection: close") > fixture.received.find("first"));
            CHECK(fixture.loop.runUntil([&] { return fixture.isEnded; }, seconds{2}));
        }
    }
    GIVEN("a caller that disconnects")
    {
        fixture.caller->write(getRequest);
        REQUIRE(fixture.waitRequests(1));
        fixture.caller.reset();
        THEN("onDisconnect is called for its request")
        {
            CHECK(fixture.loop.runUntil([&] { return fixture.disconnected.size() == 1; },
                                        seconds{2}));
        }
    }
    GIVEN("a caller of HTTP/1.0, which takes the end of the connection for that of a body")
    {
        fixture.caller->write("GET /a HTTP/1.0\r\nHost: h\r\n\r\n");
        REQUIRE(fixture.waitRequests(1));
        fixture.reply(0, "whole");
        fixture.loop.runUntil([&] { return fixture.isEnded; });
        THEN("its answer states a length, so that it can tell a cut body from a whole one")
        {
            CHECK(fixture.received.find("Content-Length: 5\r\n") != std::string::npos);
            CHECK(fixture.received.find("Connection: close\r\n") != std::string::npos);
            CHECK(fixture.isEnded);
        }
    }
    GIVEN("a malformed request after a valid one")
    {
        fixture.caller->write(getRequest + "GET /y HTTP/1.1\r\nbad header\r\n\r\n");
        REQUIRE(fixture.waitRequests(1));
        fixture.loop.runFor(milliseconds{50});
        CHECK(fixture.received.empty());
        fixture.reply(0, "first");
        THEN("the valid one is answered first")
        {
            REQUIRE(fixture.waitReceived("400 Bad Request"));
            CHECK(fixture.received.find("first") != std::string::npos);
        }
    }
    GIVEN("a caller that sends an incomplete head")
    {
        fixture.caller->write("GET /x HT");
        fixture.loop.runFor(milliseconds{500});
        fixture.front.sweep();
        THEN("it is answered 408 after the header timeout")
        {
            CHECK(fixture.waitReceived("408"));
            CHECK(fixture.front.counters().slowSenders == 1);
        }
    }
    GIVEN("an idle caller")
    {
        fixture.loop.runUntil([&] { return fixture.front.connectionCount() == 1; });
        fixture.loop.runFor(milliseconds{800});
        fixture.front.sweep();
        THEN("its connection is closed after the idle timeout")
        {
            CHECK(fixture.loop.runUntil([&] { return fixture.isEnded; }, seconds{2}));
        }
    }
}

SCENARIO("FrontListener keeps a closing connection while its caller takes the answer", "[streams]")
{
    // Guards against a planned stop that cuts off answers which take longer to send than the time
    // that a caller has to close its side.
    constexpr std::size_t answerBytes = std::size_t{24} * 1024 * 1024;
    constexpr std::size_t pieceBytes = std::size_t{4} * 1024 * 1024;
    ListenerFixture fixture;
    auto moment = monotonicNow();
    std::vector<ExchangeId> requests;
    const auto address = freeAddress();
    FrontListener front(
        fixture.loop.base(), ListenerFixture::settings(address), [&] { return moment; },
        [&](ExchangeId exchange, const WholeMessage &) { requests.push_back(exchange); },
        [](ExchangeId) {});
    front.start();
    std::size_t taken = 0;
    auto isEnded = false;
    auto limit = pieceBytes;
    std::unique_ptr<SocketStream> caller;
    caller = std::make_unique<SocketStream>(
        fixture.loop.base(), parseEndpoint(address).value_or(Endpoint{}),
        SocketStream::Handlers{[](bool) {},
                               [&] {
                                   taken += caller->input().size();
                                   caller->consume(caller->input().size());
                                   caller->setReading(taken < limit);
                               },
                               [&](bool) { isEnded = true; }});
    caller->write(getRequest);
    REQUIRE(fixture.loop.runUntil([&] { return !requests.empty(); }));
    front.closeAfterReplies();
    MessageHead head;
    head.status = 200;
    front.reply(requests.front(), head, std::string(answerBytes, 'x'));
    REQUIRE(fixture.loop.runUntil([&] { return taken >= limit; }));
    GIVEN("a caller that takes a piece every three seconds")
    {
        while (!isEnded && limit < 2 * answerBytes) {
            moment += seconds{3};
            front.sweep();
            limit += pieceBytes;
            caller->setReading(true);
            fixture.loop.runUntil([&] { return taken >= limit || isEnded; }, seconds{2});
        }
        THEN("it gets the whole answer, and the connection ends")
        {
            CHECK(taken > answerBytes);
            CHECK(isEnded);
        }
    }
    GIVEN("a caller that takes nothing more")
    {
        fixture.loop.runFor(milliseconds{50});
        front.sweep();
        moment += seconds{6};
        front.sweep();
        fixture.loop.runFor(milliseconds{50});
        THEN("its connection and the memory of the answer are released")
        {
            CHECK(front.connectionCount() == 0);
            CHECK(front.unsentBytes() == 0);
        }
    }
}

// Guards against kept connections whose requests are refused by limits that a newer configuration
// has raised.
SCENARIO("FrontListener: given limits that change, kept connections have the new ones", "[streams]")
{
    ListenerFixture fixture;
    const auto setLimits = [&](std::size_t headBytes, std::size_t bodyBytes) {
        fixture.front.setLimits(MessageLimits{headBytes, bodyBytes}, milliseconds{300},
                                milliseconds{600});
    };
    const auto post = [](std::size_t bodyBytes) {
        return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes)
               + "\r\n\r\n";
    };
    setLimits(1000, 100);
    fixture.connect();
    fixture.caller->write(getRequest);
    REQUIRE(fixture.waitRequests(1));
    fixture.reply(0, "first");
    REQUIRE(fixture.waitReceived("first"));
    GIVEN("a higher limit of bodies")
    {
        setLimits(1000, 200);
        fixture.caller->write(post(150) + std::string(150, 'b'));
        CHECK(fixture.waitRequests(2));
        CHECK(fixture.received.find("413") == std::string::npos);
    }
    GIVEN("a higher limit of heads, while a head is arriving")
    {
        fixture.caller->write("GET /x HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(900, 'h'));
        fixture.loop.runFor(milliseconds{50});
        setLimits(2000, 100);
        fixture.caller->write(std::string(500, 'h') + "\r\n\r\n");
        CHECK(fixture.waitRequests(2));
        CHECK(fixture.received.find("431") == std::string::npos);
    }
    GIVEN("a lower limit, while a body is arriving")
    {
        fixture.caller->write(post(90) + std::string(50, 'b'));
        fixture.loop.runFor(milliseconds{50});
        setLimits(1000, 60);
        fixture.caller->write(std::string(40, 'b'));
        CHECK(fixture.waitRequests(2));
        AND_THEN("the next request has the lower one")
        {
            fixture.reply(1, "second");
            REQUIRE(fixture.waitReceived("second"));
            fixture.caller->write(post(90));
            CHECK(fixture.waitReceived("413"));
        }
    }
}
