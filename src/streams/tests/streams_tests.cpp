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

struct Trial
{
    explicit Trial(std::vector<ScriptedPeer::Step> steps)
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
        request.address = this->peer.address;
        request.text = "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n";
        request.timeout = timeout;
        request.echoedId = id;
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

SCENARIO("OutboundPool keeps a connection only after a clean answer", "[streams]")
{
    GIVEN("answers with nothing behind them")
    {
        Trial trial({{answer("a", "1")}, {answer("b", "2")}});
        CHECK(trial.ask("a").answer.body == "1");
        CHECK(trial.ask("b").answer.body == "2");
        CHECK(trial.peer.connections == 1);
    }
    GIVEN("bytes behind an answer")
    {
        Trial trial({{answer("a", "1") + "HTTP/1.1 200 OK\r\n"}, {answer("b", "2")}});
        CHECK(trial.ask("a").answer.body == "1");
        THEN("they reach no later request")
        {
            CHECK(trial.ask("b").answer.body == "2");
            CHECK(trial.peer.connections == 2);
        }
    }
    GIVEN("a late answer to an earlier request before the own one")
    {
        Trial trial({{answer("old", "1") + answer("b", "2")}, {answer("c", "3")}});
        THEN("the own one is taken, and the connection isn't used again")
        {
            CHECK(trial.ask("b").answer.body == "2");
            CHECK(trial.ask("c").answer.body == "3");
            CHECK(trial.peer.connections == 2);
        }
    }
    GIVEN("an answer that says that the connection closes")
    {
        Trial trial({{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nConnection: close\r\n"
                      "Content-Length: 1\r\n\r\n1"},
                     {answer("b", "2")}});
        CHECK(trial.ask("a").answer.body == "1");
        CHECK(trial.ask("b").answer.body == "2");
        CHECK(trial.peer.connections == 2);
    }
}

SCENARIO("OutboundPool tells whole answers from others", "[streams]")
{
    GIVEN("an answer without a length that ends with its connection")
    {
        Trial trial({{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nwhole", true}});
        const auto result = trial.ask("a");
        CHECK(result.end == End::Answered);
        CHECK(result.answer.body == "whole");
    }
    GIVEN("an answer that is cut short")
    {
        Trial trial({{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\ncut", true}});
        CHECK(trial.ask("a").end == End::NoAnswer);
    }
    GIVEN("bytes that are no answer")
    {
        Trial trial({{"garbage garbage\r\n\r\n"}});
        CHECK(trial.ask("a").end == End::BadAnswer);
    }
    GIVEN("no answer in time")
    {
        Trial trial({});
        CHECK(trial.ask("a", milliseconds{100}).end == End::NoAnswer);
        THEN("the connection is reset, so that nothing on it is read later")
        {
            trial.loop.runUntil([&] { return trial.peer.ended == 1; });
            CHECK(trial.peer.ended == 1);
        }
    }
    GIVEN("nobody who listens")
    {
        Trial trial({});
        OutboundRequest request;
        request.address = freeAddress();
        request.timeout = seconds{1};
        auto end = End::Answered;
        auto isDone = false;
        trial.pool.send(std::move(request), [&](const OutboundResult &result) {
            end = result.end;
            isDone = true;
        });
        trial.loop.runUntil([&] { return isDone; });
        CHECK(end == End::NotSent);
    }
}

namespace {

/// A FrontListener whose requests the test answers, and a caller connected to it.
struct FrontTrial
{
    FrontTrial()
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
    std::vector<ExchangeId> gone;
    FrontListener front{this->loop.base(), settings(this->address), monotonicNow,
                        [this](ExchangeId exchange, WholeMessage request) {
                            this->requests.emplace_back(exchange, std::move(request));
                        },
                        [this](ExchangeId exchange) { this->gone.push_back(exchange); }};
    std::unique_ptr<SocketStream> caller;
    std::string received;
    bool isEnded = false;
};

const std::string get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

SCENARIO("FrontListener answers in the order of the requests", "[streams]")
{
    FrontTrial trial;
    trial.caller->write(get + get + get);
    REQUIRE(trial.waitRequests(3));
    trial.reply(2, "third");
    trial.reply(1, "second");
    trial.loop.runFor(milliseconds{50});
    CHECK(trial.received.empty());
    trial.reply(0, "first");
    REQUIRE(trial.waitReceived("third"));
    CHECK(trial.received.find("first") < trial.received.find("second"));
    CHECK(trial.received.find("second") < trial.received.find("third"));
    CHECK_FALSE(trial.isEnded);
}

SCENARIO("FrontListener ends connections without losing answers", "[streams]")
{
    FrontTrial trial;
    GIVEN("a shutdown while requests are under way")
    {
        trial.caller->write(get + get);
        REQUIRE(trial.waitRequests(2));
        trial.front.closeAfterReplies();
        trial.reply(0, "first");
        trial.reply(1, "second");
        THEN("all are answered, and only the last answer closes")
        {
            REQUIRE(trial.waitReceived("second"));
            CHECK(trial.received.find("Connection: close") > trial.received.find("first"));
            CHECK(trial.loop.runUntil([&] { return trial.isEnded; }, seconds{2}));
        }
    }
    GIVEN("a caller who leaves")
    {
        trial.caller->write(get);
        REQUIRE(trial.waitRequests(1));
        trial.caller.reset();
        THEN("its request is known to be given up")
        {
            CHECK(trial.loop.runUntil([&] { return trial.gone.size() == 1; }, seconds{2}));
        }
    }
    GIVEN("a request that can't be read behind a good one")
    {
        trial.caller->write(get + "GET /y HTTP/1.1\r\nbad header\r\n\r\n");
        REQUIRE(trial.waitRequests(1));
        trial.loop.runFor(milliseconds{50});
        CHECK(trial.received.empty());
        trial.reply(0, "first");
        THEN("the good one is answered first")
        {
            REQUIRE(trial.waitReceived("400 Bad Request"));
            CHECK(trial.received.find("first") != std::string::npos);
        }
    }
    GIVEN("a caller who sends half a head")
    {
        trial.caller->write("GET /x HT");
        trial.loop.runFor(milliseconds{500});
        trial.front.sweep();
        THEN("it is answered 408 after the limit")
        {
            CHECK(trial.waitReceived("408"));
            CHECK(trial.front.counters().slowSenders == 1);
        }
    }
    GIVEN("a caller who stays idle")
    {
        trial.loop.runUntil([&] { return trial.front.connectionCount() == 1; });
        trial.loop.runFor(milliseconds{800});
        trial.front.sweep();
        THEN("its connection is closed after the limit")
        {
            CHECK(trial.loop.runUntil([&] { return trial.isEnded; }, seconds{2}));
        }
    }
}

SCENARIO("DatagramSocket names the sender", "[streams]")
{
    TestLoop loop;
    const auto first = freeAddress();
    const auto second = freeAddress();
    std::string text;
    Address from;
    DatagramSocket sender(loop.base(), first, [](const Address &, std::string_view) {});
    DatagramSocket receiver(loop.base(), second, [&](const Address &name, std::string_view bytes) {
        from = name;
        text = bytes;
    });
    sender.send(second, "hello");
    CHECK(loop.runUntil([&] { return text == "hello"; }, seconds{2}));
    CHECK(from == first);
}
