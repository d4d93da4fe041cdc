#include "edge/configurationsource.h"
#include "edge/peerserver.h"
#include "http/clocktimer.h"
#include "http1/messagewriter.h"
#include "streams/outboundpool.h"
#include "streams/tests/scriptedpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <unistd.h>
#include <utility>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using End = OutboundResult::End;

namespace {

/// A server whose clock is the process's, plus what a test adds to it.
struct ServerFixture
{
    ServerFixture()
        : server(
            this->loop.base(), this->address, [this] { return this->now(); }, this->logger)
        , pool(this->loop.base(), OutboundPoolSettings{}, monotonicNow)
    {
    }

    [[nodiscard]] auto now() const -> Instant { return monotonicNow() + this->added; }

    auto ask(const std::string &target, const std::string &method = "GET") -> OutboundResult
    {
        OutboundRequest request;
        request.address = this->address;
        request.text = method + " " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
        request.timeout = seconds{2};
        OutboundResult result;
        auto isDone = false;
        this->pool.send(std::move(request), [&](OutboundResult ended) {
            result = std::move(ended);
            isDone = true;
        });
        this->loop.runUntil([&] { return isDone; });
        return result;
    }

    /// Serves a path with the path itself as the body.
    auto serveEcho(const std::string &path, Duration idleTimeout) -> void
    {
        this->server.serve(path,
                           PeerHandler{[this](ExchangeId exchange, const WholeMessage &request) {
                                           MessageHead head;
                                           head.status = 200;
                                           this->server.reply(exchange, head, request.head.target);
                                       },
                                       [](ExchangeId) {}, idleTimeout});
    }

    TestLoop loop;
    Logger logger{"info", 100};
    Address address = freeAddress();
    Duration added{0};
    PeerServer server;
    OutboundPool pool;
};

} // namespace

SCENARIO("PeerServer passes requests to the handler of their path", "[edge]")
{
    ServerFixture fixture;
    fixture.serveEcho("/one", seconds{2});
    fixture.serveEcho("/two", seconds{2});
    fixture.server.start();
    CHECK(fixture.ask("/one").answer.body == "/one");
    CHECK(fixture.ask("/two").answer.body == "/two");
    THEN("other paths are unknown")
    {
        CHECK(fixture.ask("/").answer.head.status == 404);
        CHECK(fixture.ask("/one/more").answer.head.status == 404);
        CHECK(fixture.ask("/one?x").answer.head.status == 404);
    }
}

SCENARIO("PeerServer tells only the handler of a request that its connection has ended", "[edge]")
{
    ServerFixture fixture;
    auto lateAsked = 0;
    auto lateGone = 0;
    auto otherGone = 0;
    fixture.server.serve("/late",
                         PeerHandler{[&](ExchangeId, const WholeMessage &) { ++lateAsked; },
                                     [&](ExchangeId) { ++lateGone; }, seconds{2}});
    fixture.server.serve("/other", PeerHandler{[](ExchangeId, const WholeMessage &) {},
                                               [&](ExchangeId) { ++otherGone; }, seconds{2}});
    fixture.server.start();
    OutboundRequest request;
    request.address = fixture.address;
    request.text = "GET /late HTTP/1.1\r\nHost: h\r\n\r\n";
    request.timeout = seconds{2};
    const auto id = fixture.pool.send(std::move(request), [](const OutboundResult &) {});
    fixture.loop.runUntil([&] { return lateAsked == 1; });
    fixture.pool.abort(id);
    CHECK(fixture.loop.runUntil([&] { return lateGone == 1; }));
    CHECK(otherGone == 0);
}

SCENARIO("PeerServer keeps connections idle for as long as the path of their last request says",
         "[edge]")
{
    ServerFixture fixture;
    fixture.serveEcho("/short", seconds{2});
    fixture.serveEcho("/long", seconds{9});
    fixture.server.start();
    const auto sweepAfter = [&](Duration time) {
        fixture.added += time;
        fixture.server.sweep();
        fixture.loop.runFor(milliseconds{20});
    };
    GIVEN("a request for the path with the shorter time")
    {
        fixture.ask("/short");
        CHECK(fixture.server.connectionCount() == 1);
        sweepAfter(milliseconds{2100});
        CHECK(fixture.server.connectionCount() == 0);
    }
    GIVEN("a request for the path with the longer time")
    {
        fixture.ask("/long");
        sweepAfter(milliseconds{8500});
        CHECK(fixture.server.connectionCount() == 1);
        sweepAfter(milliseconds{600});
        CHECK(fixture.server.connectionCount() == 0);
    }
    GIVEN("requests for both on one connection")
    {
        fixture.ask("/long");
        fixture.ask("/short");
        CHECK(fixture.server.connectionCount() == 1);
        sweepAfter(milliseconds{2100});
        CHECK(fixture.server.connectionCount() == 0);
    }
}

SCENARIO("PeerServer logs that its address can't be bound, and the daemon goes on", "[edge]")
{
    auto *const file = std::tmpfile();
    REQUIRE(file != nullptr);
    TestLoop loop;
    const auto address = freeAddress();
    const SocketListener other(loop.base(), address, [](int descriptor) { close(descriptor); });
    {
        Logger logger("info", 100, fileno(file));
        PeerServer server(loop.base(), address, monotonicNow, logger);
        server.start();
        logger.flush();
    }
    std::rewind(file);
    std::string text(4096, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), file));
    std::fclose(file);
    CHECK(text.find("configuration_not_served") != std::string::npos);
    CHECK(text.find(address.value) != std::string::npos);
}

SCENARIO("ConfigurationSource serves other daemons by way of the PeerServer", "[edge]")
{
    ServerFixture fixture;
    ConfigurationSourceSettings settings;
    settings.key = "configuration";
    settings.listen = fixture.address;
    std::function<void(StoreAnswer)> answerStore;
    ConfigurationSource source(
        fixture.loop.base(), fixture.server, settings,
        [&](const StoreCall &, Duration, std::function<void(StoreAnswer)> done) {
            answerStore = std::move(done);
        },
        [&] { return fixture.now(); }, fixture.logger,
        [](const std::string &, StoreRevision) { return true; }, [] {});
    fixture.server.start();
    CHECK(fixture.ask("/configuration").answer.head.status == 503);
    source.advance(false);
    REQUIRE(answerStore);
    StoreAnswer stored;
    stored.kind = StoreAnswer::Kind::Ok;
    StoreItem item;
    item.key = "configuration";
    item.value = "text";
    item.revision = StoreRevision{7};
    stored.items.push_back(item);
    std::exchange(answerStore, {})(stored);
    const auto result = fixture.ask("/configuration");
    REQUIRE(result.end == End::Answered);
    CHECK(result.answer.head.status == 200);
    CHECK(result.answer.body == "text");
    REQUIRE(result.answer.head.find("X-Revision") != nullptr);
    CHECK(*result.answer.head.find("X-Revision") == "7");
    CHECK(fixture.ask("/configuration", "POST").answer.head.status == 404);
    CHECK(fixture.ask("/").answer.head.status == 404);
}
