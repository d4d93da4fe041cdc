#include "streams/socketstream.h"
#include "streams/tests/rawpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

using namespace gooseberrywall;
using std::chrono::milliseconds;

namespace {

/// More than the system buffers for a connection whose peer doesn't read.
constexpr std::size_t beyondBuffersBytes = std::size_t{32} * 1024 * 1024;
/// More than the stream reads at once.
constexpr std::size_t severalReadsBytes = std::size_t{100} * 1024;
/// For the segments of a local connection to arrive, without processing events.
constexpr milliseconds transitTime{20};

class StreamFixture
{
public:
    StreamFixture()
        : peer(this->loop.base())
        , stream(this->loop.base(), parseEndpoint(this->peer.address).value(),
                 SocketStream::Handlers{[](bool) {},
                                        [this] {
                                            this->input += this->stream.input();
                                            this->stream.consume(this->stream.input().size());
                                        },
                                        [this](bool isClean) {
                                            ++this->ends;
                                            this->cleanEnds += isClean ? 1 : 0;
                                        }})
    {
        REQUIRE(this->loop.runUntil([this] { return this->peer.isConnected(); }));
        this->loop.runFor(milliseconds{4});
    }

    auto runToEnd() -> void
    {
        CHECK(this->loop.runUntil([this] { return this->ends > 0; }));
        this->loop.runFor(milliseconds{20});
    }

    TestLoop loop;
    RawPeer peer;
    std::string input;
    int ends = 0;
    int cleanEnds = 0;
    SocketStream stream;
};

} // namespace

SCENARIO("SocketStream: given a reset, the end is never clean, whoever sees the error first",
         "[streams]")
{
    // Guards against a truncated message without a length that counts as complete.
    StreamFixture fixture;
    const std::string sent(severalReadsBytes, 'a');
    REQUIRE(fixture.peer.write(sent));
    GIVEN("nothing to write: the reader sees the error")
    {
        std::this_thread::sleep_for(transitTime);
        fixture.peer.reset();
        fixture.runToEnd();
    }
    GIVEN("a write before the end is read: the writer sees the error")
    {
        std::this_thread::sleep_for(transitTime);
        fixture.peer.reset();
        std::this_thread::sleep_for(transitTime);
        fixture.stream.write("x");
        fixture.runToEnd();
    }
    GIVEN("bytes that wait to be written: both events come at once")
    {
        fixture.stream.write(std::string(beyondBuffersBytes, 'b'));
        std::this_thread::sleep_for(transitTime);
        fixture.peer.reset();
        std::this_thread::sleep_for(transitTime);
        fixture.runToEnd();
    }
    GIVEN("bytes that wait to be written, and all input read before the reset")
    {
        fixture.stream.write(std::string(beyondBuffersBytes, 'b'));
        fixture.loop.runUntil([&] { return fixture.input.size() == sent.size(); });
        fixture.peer.reset();
        fixture.runToEnd();
    }
    CHECK(fixture.ends == 1);
    CHECK(fixture.cleanEnds == 0);
    CHECK(fixture.input.size() == sent.size());
}

SCENARIO(
    "SocketStream: given a close of the peer, the end is clean though bytes wait to be written",
    "[streams]")
{
    // Guards against a complete message without a length that is taken for a truncated one.
    StreamFixture fixture;
    const std::string sent(severalReadsBytes, 'a');
    REQUIRE(fixture.peer.write(sent));
    if (GENERATE(false, true)) {
        fixture.stream.write(std::string(beyondBuffersBytes, 'b'));
    }
    fixture.peer.finish();
    fixture.runToEnd();
    CHECK(fixture.ends == 1);
    CHECK(fixture.cleanEnds == 1);
    CHECK(fixture.input.size() == sent.size());
}

SCENARIO("SocketStream: given a failed write while reading is paused, nothing more is read",
         "[streams]")
{
    // Guards against input of a receiver that has asked for none.
    StreamFixture fixture;
    fixture.stream.setReading(false);
    REQUIRE(fixture.peer.write("more"));
    std::this_thread::sleep_for(transitTime);
    fixture.peer.reset();
    std::this_thread::sleep_for(transitTime);
    fixture.stream.write("x");
    fixture.runToEnd();
    CHECK(fixture.ends == 1);
    CHECK(fixture.cleanEnds == 0);
    CHECK(fixture.input.empty());
}
