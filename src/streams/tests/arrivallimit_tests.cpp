#include "http/clocktimer.h"
#include "streams/outboundpool.h"
#include "streams/tests/pacedpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using End = OutboundResult::End;

namespace {

constexpr std::size_t bodyBytes = 100'000;
constexpr std::size_t pieces = 10;
constexpr Duration pieceInterval = milliseconds{60};

auto largeAnswer() -> std::string
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
           + std::string(bodyBytes, 'b');
}

struct LimitFixture
{
    auto ask(const PacedPeer &peer, std::optional<ArrivalLimit> limit,
             Duration timeout = milliseconds{200}) -> OutboundResult
    {
        OutboundRequest request;
        request.address = peer.address;
        request.text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        request.timeout = timeout;
        request.arrival = limit;
        std::optional<OutboundResult> result;
        const auto id = this->pool.send(std::move(request),
                                        [&](OutboundResult ended) { result = std::move(ended); });
        this->loop.runUntil([&] {
            this->wasArriving = this->wasArriving || this->pool.lastArrivalAt(id).has_value();
            return result.has_value();
        });
        CHECK_FALSE(this->pool.lastArrivalAt(id));
        return result.value_or(OutboundResult{});
    }

    TestLoop loop;
    OutboundPool pool{this->loop.base(), OutboundPoolSettings{}, monotonicNow};
    bool wasArriving = false;
};

} // namespace

// Guards against large answers over slow links that are given up while they arrive, and begun anew.
SCENARIO("OutboundPool: given an answer that arrives steadily, its progress limits it", "[streams]")
{
    LimitFixture fixture;
    PacedPeer peer(fixture.loop.base(), largeAnswer(), pieces, pieceInterval);
    GIVEN("a limit by progress")
    {
        const auto result = fixture.ask(peer, ArrivalLimit{seconds{2}, seconds{8}});
        CHECK(result.end == End::Answered);
        CHECK(result.answer.body.size() == bodyBytes);
        CHECK(fixture.wasArriving);
    }
    GIVEN("no such limit")
    {
        const auto result = fixture.ask(peer, std::nullopt);
        CHECK(result.end == End::NoAnswer);
        CHECK(result.partialBytes > 0);
        CHECK(result.partialBytes < bodyBytes);
    }
    GIVEN("a limit in all that is shorter than the time until the first bytes")
    {
        const PacedPeer late(fixture.loop.base(), largeAnswer(), pieces, milliseconds{10}, pieces,
                             milliseconds{600});
        const auto result =
            fixture.ask(late, ArrivalLimit{seconds{2}, milliseconds{500}}, seconds{2});
        CHECK(result.end == End::Answered);
    }
    GIVEN("a limit in all that is shorter than the answer takes")
    {
        const auto result = fixture.ask(peer, ArrivalLimit{seconds{2}, milliseconds{300}});
        CHECK(result.end == End::NoAnswer);
        CHECK(result.partialBytes > 0);
    }
}

// Guards against requests that wait for ever for the rest of an answer.
SCENARIO("OutboundPool: given an answer that stops arriving, it is given up", "[streams]")
{
    LimitFixture fixture;
    GIVEN("a peer that stops after some pieces")
    {
        PacedPeer peer(fixture.loop.base(), largeAnswer(), pieces, pieceInterval, 3);
        const auto result = fixture.ask(peer, ArrivalLimit{milliseconds{300}, seconds{60}});
        CHECK(result.end == End::NoAnswer);
        CHECK(result.partialBytes > 0);
    }
    GIVEN("a peer that stops, and a long time until the first bytes")
    {
        PacedPeer peer(fixture.loop.base(), largeAnswer(), pieces, pieceInterval, 3);
        const auto startedAt = monotonicNow();
        const auto result =
            fixture.ask(peer, ArrivalLimit{milliseconds{300}, seconds{60}}, seconds{60});
        CHECK(result.end == End::NoAnswer);
        CHECK(monotonicNow() - startedAt < seconds{9});
    }
    GIVEN("a peer that sends nothing")
    {
        PacedPeer peer(fixture.loop.base(), largeAnswer(), pieces, pieceInterval, 0);
        const auto result = fixture.ask(peer, ArrivalLimit{seconds{60}, seconds{60}});
        CHECK(result.end == End::NoAnswer);
        CHECK(result.partialBytes == 0);
        CHECK_FALSE(fixture.wasArriving);
    }
}

// Guards against a watch of the store that has waited for longer than a large answer may take: the
// answer would be given up while it arrives.
SCENARIO("OutboundPool: given an answer that begins late, the limit in all counts from its first "
         "bytes",
         "[streams]")
{
    LimitFixture fixture;
    constexpr std::size_t latePieces = 3;
    PacedPeer peer(fixture.loop.base(), largeAnswer(), latePieces, milliseconds{500});
    const auto result =
        fixture.ask(peer, ArrivalLimit{seconds{2}, milliseconds{1300}}, milliseconds{750});
    CHECK(result.end == End::Answered);
    CHECK(result.answer.body.size() == bodyBytes);
}
