#include "http/clocktimer.h"
#include "streams/frontlistener.h"
#include "streams/outboundpool.h"
#include "streams/socketlistener.h"
#include "streams/socketstream.h"
#include "testing/freeaddress.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr MemoryBudget budget{512 * kilobyte, 128 * kilobyte};
/// More than the sockets' buffers take.
constexpr std::size_t largeAnswerBytes = 24 * kilobyte * kilobyte;

const std::string getRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

auto post(std::size_t announced, std::size_t sent) -> std::string
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(announced)
           + "\r\n\r\n" + std::string(sent, 'b');
}

auto okHead() -> MessageHead
{
    MessageHead head;
    head.status = 200;
    return head;
}

class Caller
{
public:
    Caller(const TestLoop &loop, const Address &address)
        : stream(loop.base(), parseEndpoint(address).value_or(Endpoint{}),
                 SocketStream::Handlers{[](bool) {}, [this] { this->onInput(); },
                                        [this](bool) { this->isEnded = true; }})
    {
    }

    auto send(const std::string &text) -> void { this->stream.write(text); }
    [[nodiscard]] auto has(const std::string &text) const -> bool
    {
        return this->received.find(text) != std::string::npos;
    }
    auto resume() -> void
    {
        this->pausesAt = std::string::npos;
        this->stream.setReading(true);
    }

    std::string received;
    /// Reading pauses once this many bytes have arrived.
    std::size_t pausesAt = std::string::npos;
    bool isEnded = false;

private:
    auto onInput() -> void
    {
        this->received += this->stream.input();
        this->stream.consume(this->stream.input().size());
        this->stream.setReading(this->received.size() < this->pausesAt);
    }

    SocketStream stream;
};

struct Fixture
{
    explicit Fixture(MemoryBudget limits = budget)
        : memory(limits)
    {
        this->front.start();
    }

    auto connect() -> std::unique_ptr<Caller>
    {
        const auto count = this->front.connectionCount();
        auto caller = std::make_unique<Caller>(this->loop, this->address);
        REQUIRE(this->loop.runUntil([&] { return this->front.connectionCount() > count; }));
        return caller;
    }

    static auto settings(const Address &address) -> FrontSettings
    {
        FrontSettings result;
        result.listen = address;
        result.memoryRefusal.headers.push_back(HttpHeader{"X-Reason", "memory_short"});
        return result;
    }

    auto waitRequests(std::size_t count) -> bool
    {
        return this->loop.runUntil([&] { return this->requests.size() >= count; }, seconds{2});
    }

    /// Waits until a caller's bytes have arrived.
    auto settle() -> void { this->loop.runFor(milliseconds{50}); }

    TestLoop loop;
    Instant moment = monotonicNow();
    MemoryAccount memory;
    MemoryAccount::Charge others{&this->memory};
    Address address = freeAddress();
    std::vector<ExchangeId> requests;
    std::vector<ExchangeId> disconnected;
    std::function<void(ExchangeId)> onRequest = [](ExchangeId) {};
    std::function<void(ExchangeId)> onDisconnect = [](ExchangeId) {};
    FrontListener front{this->loop.base(),
                        settings(this->address),
                        [this] { return this->moment; },
                        [this](ExchangeId exchange, const WholeMessage &) {
                            this->requests.push_back(exchange);
                            this->onRequest(exchange);
                        },
                        [this](ExchangeId exchange) {
                            this->disconnected.push_back(exchange);
                            this->onDisconnect(exchange);
                        },
                        &this->memory};
};

} // namespace

SCENARIO("FrontListener refuses requests that memory is short for", "[admission]")
{
    // Guards against a process that runs out of memory, and against a request that runs although
    // its caller was told that it hasn't.
    Fixture fixture;
    fixture.others.set(budget.totalBytes - 32 * kilobyte);
    auto caller = fixture.connect();
    GIVEN("a request whose announced length doesn't fit")
    {
        caller->send(post(64 * kilobyte, 0));
        REQUIRE(fixture.loop.runUntil([&] { return caller->isEnded; }));
        THEN("it is answered with the configured head, and never passed on")
        {
            CHECK(caller->has("HTTP/1.1 503 "));
            CHECK(caller->has("X-Reason: memory_short\r\n"));
            CHECK(caller->has("Connection: close\r\n"));
            caller->send(std::string(64 * kilobyte, 'b') + getRequest);
            fixture.settle();
            CHECK(fixture.requests.empty());
            CHECK(fixture.front.counters().memoryRefusals == 1);
        }
    }
    GIVEN("a chunked request that arrives whole")
    {
        caller->send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n"
                     + std::string(64 * kilobyte, 'b') + "\r\n0\r\n\r\n");
        REQUIRE(fixture.loop.runUntil([&] { return caller->isEnded; }));
        THEN("it is refused, too")
        {
            CHECK(caller->has("HTTP/1.1 503 "));
            CHECK(fixture.requests.empty());
        }
    }
    GIVEN("such a request behind one that waits for its answer")
    {
        // Input that came with the first request counts, too.
        fixture.others.set(budget.totalBytes - 80 * kilobyte);
        caller->send(getRequest + post(64 * kilobyte, 64 * kilobyte));
        REQUIRE(fixture.waitRequests(1));
        fixture.settle();
        CHECK(caller->received.empty());
        fixture.front.reply(fixture.requests.front(), okHead(), "first");
        REQUIRE(fixture.loop.runUntil([&] { return caller->isEnded; }));
        THEN("the answer comes first, and the other request is refused")
        {
            CHECK(caller->received.find("first") < caller->received.find("HTTP/1.1 503 "));
            CHECK(caller->has("HTTP/1.1 503 "));
            CHECK(fixture.requests.size() == 1);
        }
    }
    GIVEN("memory that was released in the meantime")
    {
        fixture.others.set(0);
        caller->send(post(64 * kilobyte, 64 * kilobyte));
        THEN("the request is passed on")
        {
            CHECK(fixture.waitRequests(1));
        }
    }
}

SCENARIO("FrontListener closes stalled connections in favour of new requests", "[admission]")
{
    // Load: a large body that stops short of its end, and another caller's large body.
    Fixture fixture;
    auto first = fixture.connect();
    first->send(post(300 * kilobyte, 100 * kilobyte));
    fixture.settle();
    auto second = fixture.connect();
    GIVEN("a first caller that has sent nothing for two seconds")
    {
        fixture.moment += seconds{2};
        second->send(post(300 * kilobyte, 300 * kilobyte));
        THEN("its request is refused, and the new one is passed on")
        {
            CHECK(fixture.waitRequests(1));
            CHECK(fixture.loop.runUntil([&] { return first->isEnded; }));
            CHECK(first->has("HTTP/1.1 503 "));
            CHECK(second->received.empty());
            CHECK(fixture.front.counters().shedConnections == 1);
        }
    }
    GIVEN("a first caller that has just sent bytes")
    {
        second->send(post(300 * kilobyte, 0));
        THEN("the new request is refused, and the first one is passed on")
        {
            CHECK(fixture.loop.runUntil([&] { return second->isEnded; }));
            CHECK(second->has("HTTP/1.1 503 "));
            first->send(std::string(200 * kilobyte, 'b'));
            CHECK(fixture.waitRequests(1));
            CHECK(first->received.empty());
        }
    }
}

SCENARIO("FrontListener serves small requests while large ones fill the budget", "[admission]")
{
    // Guards against ordinary callers who are refused because of a few large bodies.
    Fixture fixture;
    auto large = fixture.connect();
    large->send(post(370 * kilobyte, 100 * kilobyte));
    fixture.settle();
    auto other = fixture.connect();
    other->send(post(65 * kilobyte, 0));
    auto ordinary = fixture.connect();
    ordinary->send(post(20 * kilobyte, 20 * kilobyte));
    THEN("the small request is passed on, and another large one is refused")
    {
        CHECK(fixture.waitRequests(1));
        CHECK(fixture.loop.runUntil([&] { return other->isEnded; }));
        CHECK(other->has("HTTP/1.1 503 "));
        CHECK_FALSE(large->isEnded);
    }
}

SCENARIO("FrontListener closes callers that don't take their answers", "[admission]")
{
    // Guards against answers that fill the memory because nobody reads them.
    Fixture fixture;
    auto caller = fixture.connect();
    caller->pausesAt = kilobyte;
    caller->send(getRequest);
    REQUIRE(fixture.waitRequests(1));
    fixture.front.reply(fixture.requests.front(), okHead(), std::string(largeAnswerBytes, 'a'));
    REQUIRE(fixture.memory.isOver());
    fixture.front.shedExcess();
    fixture.settle();
    THEN("the connection is closed, and its memory is released")
    {
        CHECK(fixture.front.connectionCount() == 0);
        CHECK(fixture.memory.heldBytes() == 0);
        CHECK(fixture.front.counters().shedConnections == 1);
        caller->resume();
        CHECK(fixture.loop.runUntil([&] { return caller->isEnded; }));
    }
}

SCENARIO("FrontListener passes on no requests of a connection that it has closed", "[admission]")
{
    // Guards against exchanges that refer to a connection which is destroyed.
    constexpr MemoryBudget ample{4 * largeAnswerBytes, 0};
    Fixture fixture(ample);
    auto caller = fixture.connect();
    GIVEN("a connection that is shed while its pipelined requests are passed on")
    {
        caller->pausesAt = 1;
        fixture.onRequest = [&](ExchangeId exchange) {
            fixture.front.reply(exchange, okHead(), std::string(largeAnswerBytes, 'a'));
            fixture.others.set(ample.totalBytes);
            fixture.front.shedExcess();
            fixture.others.set(0);
        };
        caller->send(getRequest + getRequest + getRequest);
        REQUIRE(fixture.waitRequests(1));
        fixture.settle();
        THEN("its further requests aren't passed on")
        {
            CHECK(fixture.requests.size() == 1);
            CHECK(fixture.front.openExchanges() == 0);
            CHECK(fixture.front.connectionCount() == 0);
            CHECK(fixture.front.counters().shedConnections == 1);
        }
    }
    GIVEN("a caller that disconnects, where the end of one request brings the answers to others")
    {
        fixture.onDisconnect = [&](ExchangeId ended) {
            for (const auto exchange : std::vector(fixture.requests)) {
                if (exchange != ended) {
                    fixture.front.reply(exchange, okHead(), "late");
                }
            }
        };
        const auto limit = FrontSettings{}.pipelineLimit;
        std::string pipeline;
        for (std::size_t count = 0; count < limit + 1; ++count) {
            pipeline += getRequest;
        }
        caller->send(pipeline);
        REQUIRE(fixture.waitRequests(limit));
        caller.reset();
        fixture.settle();
        THEN("its further requests aren't passed on")
        {
            CHECK(fixture.requests.size() == limit);
            CHECK(fixture.disconnected.size() == limit);
            CHECK(fixture.front.openExchanges() == 0);
            CHECK(fixture.front.connectionCount() == 0);
        }
    }
}

SCENARIO("SocketStream counts a partly sent text until it is released", "[admission]")
{
    // Guards against callers that take all but the end of large answers, which stay in memory.
    Fixture fixture;
    auto caller = fixture.connect();
    caller->pausesAt = largeAnswerBytes / 2;
    caller->send(getRequest);
    REQUIRE(fixture.waitRequests(1));
    fixture.front.reply(fixture.requests.front(), okHead(), std::string(largeAnswerBytes, 'a'));
    REQUIRE(fixture.loop.runUntil([&] { return caller->received.size() >= largeAnswerBytes / 2; }));
    CHECK(fixture.front.unsentBytes() < largeAnswerBytes / 2);
    CHECK(fixture.memory.heldBytes() > largeAnswerBytes);
    caller->resume();
    REQUIRE(fixture.loop.runUntil([&] { return caller->received.size() > largeAnswerBytes; }));
    CHECK(fixture.memory.heldBytes() < budget.reservedBytes);
}

SCENARIO("FrontListener measures the rate of a request behind others", "[admission]")
{
    // Guards against callers that are closed as slow because bytes of a request that arrived
    // while earlier ones waited for their answers weren't counted.
    Fixture fixture;
    const auto limit = FrontSettings{}.pipelineLimit;
    auto first = fixture.connect();
    std::string pipeline;
    for (std::size_t count = 0; count < limit; ++count) {
        pipeline += getRequest;
    }
    first->send(pipeline + post(300 * kilobyte, 60 * kilobyte));
    REQUIRE(fixture.waitRequests(limit));
    fixture.settle();
    for (const auto exchange : std::vector(fixture.requests)) {
        fixture.front.reply(exchange, okHead(), "");
    }
    fixture.moment += milliseconds{1500};
    first->send("b");
    fixture.settle();
    auto second = fixture.connect();
    second->send(post(300 * kilobyte, 0));
    THEN("a caller that sends 40 KB per second isn't closed")
    {
        CHECK(fixture.loop.runUntil([&] { return second->isEnded; }));
        CHECK_FALSE(first->isEnded);
        CHECK_FALSE(first->has("HTTP/1.1 503 "));
    }
}

SCENARIO("FrontListener closes waiting callers where the budget is exceeded", "[admission]")
{
    // Load: callers whose requests wait for their answers, and that go on sending. Guards against
    // input that nothing bounds but the number of connections.
    Fixture fixture;
    fixture.memory.setRelief([&] { fixture.front.shedExcess(); });
    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t count = 0; count < 20; ++count) {
        callers.push_back(fixture.connect());
        callers.back()->send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        REQUIRE(fixture.waitRequests(count + 1));
    }
    for (auto &caller : callers) {
        caller->send(std::string(100 * kilobyte, 'x'));
    }
    fixture.settle();
    THEN("the account stays within the budget, and the closed callers' requests end")
    {
        CHECK_FALSE(fixture.memory.isOver());
        CHECK(fixture.front.connectionCount() > 0);
        CHECK(fixture.disconnected.size() == fixture.front.counters().shedConnections);
    }
}

SCENARIO("FrontListener closes no connections for a request that never fits", "[admission]")
{
    // Guards against callers that end others' requests by announcing large bodies.
    Fixture fixture;
    auto first = fixture.connect();
    first->send(post(200 * kilobyte, 100 * kilobyte));
    fixture.settle();
    fixture.moment += seconds{2};
    auto second = fixture.connect();
    second->send(post(budget.totalBytes, 0));
    THEN("it is refused, and a stalled connection stays open")
    {
        CHECK(fixture.loop.runUntil([&] { return second->isEnded; }));
        CHECK(second->has("HTTP/1.1 503 "));
        CHECK_FALSE(first->isEnded);
    }
}

SCENARIO("FrontListener releases a refused request before its answer can be sent", "[admission]")
{
    // Guards against bodies over the limit that are held while an earlier request runs.
    Fixture fixture;
    fixture.front.setLimits(MessageLimits{16 * kilobyte, 200 * kilobyte}, seconds{10}, seconds{10});
    auto caller = fixture.connect();
    const std::string chunk = "2dc00\r\n" + std::string(183 * kilobyte, 'b') + "\r\n";
    caller->send(getRequest + "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                 + chunk + chunk);
    REQUIRE(fixture.waitRequests(1));
    fixture.settle();
    CHECK(fixture.memory.heldBytes() < 160 * kilobyte);
    fixture.front.reply(fixture.requests.front(), okHead(), "first");
    CHECK(fixture.loop.runUntil([&] { return caller->isEnded; }));
    CHECK(caller->has("first"));
    CHECK(caller->has("HTTP/1.1 413 "));
}

SCENARIO("OutboundPool holds a request's text once, and only until it is sent", "[admission]")
{
    // Guards against large forwarded requests that are held in the request and in the socket's
    // queue, and stay until they are answered.
    TestLoop loop;
    MemoryAccount memory(MemoryBudget{4 * largeAnswerBytes, 0});
    const auto address = freeAddress();
    std::unique_ptr<SocketStream> peer;
    std::size_t received = 0;
    const SocketListener listener(loop.base(), address, [&](int descriptor) {
        peer = std::make_unique<SocketStream>(
            loop.base(), descriptor,
            SocketStream::Handlers{[](bool) {},
                                   [&] {
                                       received += peer->input().size();
                                       peer->consume(peer->input().size());
                                   },
                                   [](bool) {}});
        peer->setReading(false);
    });
    OutboundPool pool(loop.base(), OutboundPoolSettings{}, monotonicNow, &memory);
    OutboundRequest request;
    request.address = address;
    request.text = std::string(largeAnswerBytes, 't');
    request.body = std::make_shared<const std::string>(largeAnswerBytes, 'b');
    request.timeout = seconds{20};
    std::optional<OutboundResult> result;
    pool.send(std::move(request), [&](OutboundResult ended) { result = std::move(ended); });
    REQUIRE(loop.runUntil([&] { return peer != nullptr; }));
    loop.runFor(milliseconds{50});
    CHECK(memory.heldBytes() >= largeAnswerBytes);
    CHECK(memory.heldBytes() < largeAnswerBytes + 64 * kilobyte);
    peer->setReading(true);
    REQUIRE(loop.runUntil([&] { return received == 2 * largeAnswerBytes; }));
    loop.runFor(milliseconds{50});
    CHECK(memory.heldBytes() < 64 * kilobyte);
    peer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(loop.runUntil([&] { return result.has_value(); }));
    CHECK(result->end == OutboundResult::End::Answered);
}

SCENARIO("FrontListener refuses no request that hasn't begun", "[admission]")
{
    // Guards against a second answer, a refusal, behind the answer to a caller's only request.
    Fixture fixture;
    fixture.onRequest = [&](ExchangeId) { fixture.others.set(budget.totalBytes); };
    auto caller = fixture.connect();
    caller->send(getRequest);
    REQUIRE(fixture.waitRequests(1));
    fixture.settle();
    fixture.front.reply(fixture.requests.front(), okHead(), "only");
    fixture.settle();
    CHECK(caller->has("only"));
    CHECK_FALSE(caller->has("HTTP/1.1 503 "));
    CHECK_FALSE(caller->isEnded);
    CHECK(fixture.front.counters().memoryRefusals == 0);
}
