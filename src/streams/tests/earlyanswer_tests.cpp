#include "http/clocktimer.h"
#include "streams/outboundpool.h"
#include "streams/tests/rawpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using End = OutboundResult::End;

namespace {

/// More than the system buffers for a connection whose peer doesn't read.
constexpr std::size_t uploadBytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t answerBytes = std::size_t{100} * 1024;
constexpr milliseconds transitTime{20};

/// An upload to an upstream that answers before it reads the body.
class UploadFixture
{
public:
    UploadFixture()
        : peer(this->loop.base())
        , pool(this->loop.base(), OutboundPoolSettings{}, monotonicNow)
    {
        OutboundRequest request;
        request.address = this->peer.address;
        request.text = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
                       + std::to_string(uploadBytes) + "\r\n\r\n";
        request.body = std::make_shared<const std::string>(uploadBytes, 'b');
        request.timeout = seconds{5};
        this->pool.send(std::move(request),
                        [this](OutboundResult ended) { this->result = std::move(ended); });
        REQUIRE(this->loop.runUntil([this] { return this->peer.isConnected(); }));
        this->loop.runFor(milliseconds{20});
    }

    auto runToEnd() -> void
    {
        CHECK(this->loop.runUntil([this] { return this->result.has_value(); }));
    }

    TestLoop loop;
    RawPeer peer;
    OutboundPool pool;
    std::optional<OutboundResult> result;
};

} // namespace

SCENARIO("OutboundPool: given an answer without a length that is reset during the upload, it isn't "
         "complete",
         "[streams]")
{
    // Guards against a truncated answer that reaches its caller as a whole one with a length.
    UploadFixture fixture;
    const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    REQUIRE(fixture.peer.write(head + std::string(answerBytes, 'a')));
    GIVEN("a reset after the part was read")
    {
        fixture.loop.runFor(transitTime);
        fixture.peer.reset();
    }
    GIVEN("a reset before the part was read")
    {
        std::this_thread::sleep_for(transitTime);
        fixture.peer.reset();
        std::this_thread::sleep_for(transitTime);
    }
    fixture.runToEnd();
    CHECK(fixture.result->end == End::NoAnswer);
}

SCENARIO(
    "OutboundPool: given an early answer without a length that ends with a close, it is complete",
    "[streams]")
{
    // Guards against a mend that takes each early answer for a broken one.
    UploadFixture fixture;
    REQUIRE(fixture.peer.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(answerBytes, 'a')));
    fixture.peer.finish();
    fixture.runToEnd();
    CHECK(fixture.result->end == End::Answered);
    CHECK(fixture.result->answer.body.size() == answerBytes);
}

SCENARIO("OutboundPool: given a whole early answer with a length before a reset, it is delivered",
         "[streams]")
{
    // Guards against an answer of several reads that is lost since the write fails first.
    UploadFixture fixture;
    REQUIRE(fixture.peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answerBytes)
                               + "\r\n\r\n" + std::string(answerBytes, 'a')));
    std::this_thread::sleep_for(transitTime);
    fixture.peer.reset();
    std::this_thread::sleep_for(transitTime);
    fixture.runToEnd();
    CHECK(fixture.result->end == End::Answered);
    CHECK(fixture.result->answer.body.size() == answerBytes);
}
