#include "http/clocktimer.h"
#include "streams/outboundpool.h"
#include "streams/tests/rawpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using End = OutboundResult::End;

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
constexpr std::size_t budgetBytes = 40 * mebibyte;
constexpr std::size_t ordinaryBytes = 2 * mebibyte;
constexpr int upstreamCount = 8;

/// Requests to upstreams that answer piece by piece, in turn.
class AnswersFixture
{
public:
    explicit AnswersFixture(std::size_t limitBytes)
        : memory(MemoryBudget{limitBytes, limitBytes / 20})
        , pool(this->loop.base(), OutboundPoolSettings{}, monotonicNow, &this->memory)
    {
        this->memory.setRelief([this] { ++this->reliefCalls; });
    }

    auto ask(const std::string &answerHead) -> std::size_t
    {
        const auto index = this->peers.size();
        this->peers.push_back(std::make_unique<RawPeer>(this->loop.base()));
        this->results.emplace_back();
        OutboundRequest request;
        request.address = this->peers.back()->address;
        request.text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        request.timeout = seconds{20};
        this->pool.send(std::move(request), [this, index](OutboundResult result) {
            this->results[index] = std::move(result);
        });
        auto &peer = *this->peers.back();
        REQUIRE(this->loop.runUntil([&] { return peer.isConnected(); }));
        REQUIRE(peer.write(answerHead));
        return index;
    }

    /// Writes a piece to each of the upstreams whose requests are open.
    /// @returns whether there are any among them
    auto writeInTurn(const std::vector<std::size_t> &indexes) -> bool
    {
        auto isOpen = false;
        for (const auto index : indexes) {
            if (!this->results[index]) {
                isOpen = true;
                // What doesn't fit into the socket's buffer is lost; the answer has no end.
                static_cast<void>(this->peers[index]->write(this->piece));
            }
        }
        this->loop.runFor(milliseconds{2});
        this->highestHeld = std::max(this->highestHeld, this->memory.heldBytes());
        return isOpen;
    }

    TestLoop loop;
    MemoryAccount memory;
    OutboundPool pool;
    std::vector<std::unique_ptr<RawPeer>> peers;
    std::vector<std::optional<OutboundResult>> results;
    std::string piece = std::string(256 * 1024, 'x');
    std::size_t highestHeld = 0;
    int reliefCalls = 0;
};

} // namespace

SCENARIO("OutboundPool: given answers without end, they take a part of the memory and no callers'",
         "[streams]")
{
    // Guards against requests of other callers that are ended to hold what faulty upstreams send.
    AnswersFixture fixture(budgetBytes);
    const auto ordinary = fixture.ask(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(ordinaryBytes) + "\r\n\r\n");
    REQUIRE(fixture.peers[ordinary]->write(std::string(ordinaryBytes / 2, 'a')));
    std::vector<std::size_t> endless;
    for (auto count = 0; count < upstreamCount; ++count) {
        endless.push_back(fixture.ask("HTTP/1.1 200 OK\r\n\r\n"));
    }
    while (fixture.writeInTurn(endless)) {
    }
    for (const auto index : endless) {
        CHECK(fixture.results[index]->end == End::BadAnswer);
    }
    CHECK(fixture.reliefCalls == 0);
    CHECK(fixture.highestHeld < budgetBytes * 6 / 10);
    CHECK(fixture.pool.givenUpCount() > 0);
    THEN("an answer with a length that arrives beside them is delivered")
    {
        REQUIRE(fixture.peers[ordinary]->write(std::string(ordinaryBytes / 2, 'a')));
        fixture.loop.runUntil([&] { return fixture.results[ordinary].has_value(); });
        REQUIRE(fixture.results[ordinary]);
        CHECK(fixture.results[ordinary]->end == End::Answered);
        CHECK(fixture.results[ordinary]->answer.body.size() == ordinaryBytes);
        CHECK(fixture.memory.heldBytes() < mebibyte);
    }
}

SCENARIO("OutboundPool: given a small budget, a single answer of the largest size is taken in",
         "[streams]")
{
    // Guards against a share of the budget that is smaller than what an answer may have.
    constexpr std::size_t smallBudgetBytes = 18 * mebibyte;
    constexpr std::size_t largestBytes = 16 * mebibyte;
    AnswersFixture fixture(smallBudgetBytes);
    const auto index = fixture.ask("HTTP/1.1 200 OK\r\n\r\n");
    const std::string piece(64 * 1024, 'a');
    for (std::size_t sent = 0; sent < largestBytes; sent += piece.size()) {
        REQUIRE(fixture.peers[index]->write(piece));
        fixture.loop.runFor(milliseconds{1});
    }
    fixture.peers[index]->finish();
    fixture.loop.runUntil([&] { return fixture.results[index].has_value(); });
    REQUIRE(fixture.results[index]);
    CHECK(fixture.results[index]->end == End::Answered);
    CHECK(fixture.results[index]->answer.body.size() == largestBytes);
}
