#include "edge/forwardhandler.h"
#include "forwarding/forwardclient.h"
#include "forwarding/tests/forwardsamples.h"
#include "http/clocktimer.h"
#include "streams/socketlistener.h"
#include "testing/freeaddress.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <memory>
#include <string>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using End = OutboundResult::End;

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
/// The largest body that operators permit.
constexpr std::size_t largestBodyBytes = 64 * mebibyte;
/// Memory of the smallest VM that daemons run on.
constexpr std::size_t smallestVmBytes = 112'000'000;
/// Of messages' heads and of connections, at one daemon.
constexpr std::size_t besidesBodyBytes = 64 * std::size_t{1024};
/// Of buffers, stacks and the allocator in the whole process. Less than a copy of the body.
constexpr std::size_t besidesBodiesKiB = 16 * std::size_t{1024};
constexpr Duration uploadTime = seconds{20};

/// Stand-in for an upstream that takes nothing in at first, doesn't keep what it takes in, and
/// answers once it has taken in whole requests of a given length.
struct DrainingUpstream
{
    explicit DrainingUpstream(event_base *base)
        : listener(base, this->address, [this, base](int descriptor) {
            ++this->connections;
            this->stream = std::make_unique<SocketStream>(
                base, descriptor,
                SocketStream::Handlers{[](bool) {}, [this] { this->onInput(); }, [](bool) {}});
            this->stream->setReading(this->isReading);
        })
    {
    }

    auto takeIn(std::size_t bytes) -> void
    {
        this->requestBytes = bytes;
        this->isReading = true;
        this->stream->setReading(true);
    }

    auto onInput() -> void
    {
        this->takenBytes += this->stream->input().size();
        this->stream->consume(this->stream->input().size());
        if (this->takenBytes == this->requestBytes) {
            this->stream->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    }

    Address address = freeAddress();
    std::unique_ptr<SocketStream> stream;
    int connections = 0;
    std::size_t takenBytes = 0;
    std::size_t requestBytes = 0;
    bool isReading = false;
    SocketListener listener;
};

/// An entry daemon's client and a forwarder, each with the memory of the smallest VM.
struct MemoryFixture
{
    MemoryFixture()
        : upstream(this->loop.base())
        , server(
              this->loop.base(), this->address, [] { return monotonicNow(); }, this->logger,
              &this->forwarderMemory)
        , pool(this->loop.base(), OutboundPoolSettings{}, monotonicNow, &this->forwarderMemory)
        , service(
              ForwardSettings{}, this->pool, this->statements,
              [](const MessageHead &, bool) { return AnswerStatement{true}; }, monotonicNow,
              [this](ExchangeId exchange, const MessageHead &head, std::string_view body) {
                  this->server.reply(exchange, head, body);
              },
              [] {})
        , client(this->loop.base(), monotonicNow, &this->entryMemory)
    {
        serveForwarding(this->server, this->service);
        this->server.start();
    }

    auto start(const ForwardRequest &request) -> void
    {
        this->end.reset();
        this->client.send(this->address, request,
                          [this](ForwardAnswer ended) { this->end = std::move(ended); });
    }

    auto ask(const ForwardRequest &request, Duration limit) -> bool
    {
        this->start(request);
        return this->loop.runUntil([&] { return this->end.has_value(); },
                                   std::chrono::duration_cast<milliseconds>(limit));
    }

    /// Has a small request served, so that the connections are kept and used again.
    auto askSmall() -> void
    {
        const auto request = sampleRequest(this->upstream.address);
        this->start(request);
        REQUIRE(this->loop.runUntil([&] { return this->upstream.stream != nullptr; }));
        this->upstream.takeIn(request.text.size());
        REQUIRE(this->loop.runUntil([&] { return this->end.has_value(); }));
        REQUIRE(this->end->end == End::Answered);
        this->upstream.takenBytes = 0;
    }

    TestLoop loop;
    Logger logger{"error", 100};
    Address address = freeAddress();
    MemoryAccount entryMemory{MemoryBudget::ofVm(smallestVmBytes)};
    MemoryAccount forwarderMemory{MemoryBudget::ofVm(smallestVmBytes)};
    DrainingUpstream upstream;
    PeerServer server;
    OutboundPool pool;
    UpstreamStatements statements{UpstreamStatementSettings{}};
    ForwardService service;
    ForwardClient client;
    std::optional<ForwardAnswer> end;
};

/// @returns an upload; its body is apart from its text, as entry daemons pass it on
auto uploadOf(const Address &upstream, std::size_t bodyBytes) -> ForwardRequest
{
    auto request = sampleRequest(upstream);
    request.remaining = uploadTime;
    request.text =
        "PUT /r1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    request.body = std::make_shared<const std::string>(bodyBytes, 'b');
    return request;
}

/// Sets the peak of the process's resident memory to its present value.
auto resetPeakMemory() -> bool
{
    std::ofstream control("/proc/self/clear_refs");
    return static_cast<bool>(control << "5" << std::flush);
}

/// @param label of a value in KiB
auto memoryStatus(const std::string &label) -> std::size_t
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(label)) {
            return std::stoul(line.substr(label.size()));
        }
    }
    return 0;
}

} // namespace

// Guards against copies of an upload on its way through a forwarder: three of the largest one took
// an entry daemon far over its memory.
SCENARIO("ForwardService: given an upload, each of the two daemons holds its body once",
         "[edge][forwardmemory]")
{
    constexpr std::size_t bodyBytes = 40 * mebibyte;
    MemoryFixture fixture;
    REQUIRE(resetPeakMemory());
    const auto before = memoryStatus("VmRSS:");
    const auto request = uploadOf(fixture.upstream.address, bodyBytes);
    REQUIRE(fixture.ask(request, milliseconds{0}) == false);
    REQUIRE(fixture.loop.runUntil([&] { return fixture.service.openCount() == 1; },
                                  std::chrono::seconds{20}));
    fixture.loop.runFor(milliseconds{50});
    THEN("the forwarder has charged all of it, and the entry daemon's client only its own part")
    {
        CHECK(fixture.forwarderMemory.heldBytes() >= bodyBytes);
        CHECK(fixture.forwarderMemory.heldBytes() < bodyBytes + besidesBodyBytes);
        // The body is charged by its owner, EntryService.
        CHECK(fixture.entryMemory.heldBytes() < besidesBodyBytes);
    }
    REQUIRE(fixture.upstream.stream != nullptr);
    fixture.upstream.takeIn(request.text.size() + bodyBytes);
    REQUIRE(
        fixture.loop.runUntil([&] { return fixture.end.has_value(); }, std::chrono::seconds{20}));
    CHECK(fixture.end->end == End::Answered);
    CHECK(fixture.end->answer.body == "ok");
    CHECK(memoryStatus("VmHWM:") - before < 2 * bodyBytes / 1024 + besidesBodiesKiB);
    CHECK(fixture.forwarderMemory.heldBytes() < besidesBodyBytes);
}

// Guards against a fixed limit of forwarders below the operators' limit on bodies.
SCENARIO("ForwardService: given an upload of the largest size that operators permit, it is served",
         "[edge][forwardmemory]")
{
    MemoryFixture fixture;
    fixture.askSmall();
    const auto request = uploadOf(fixture.upstream.address, largestBodyBytes);
    fixture.upstream.takeIn(request.text.size() + largestBodyBytes);
    REQUIRE(fixture.ask(request, uploadTime));
    CHECK(fixture.end->end == End::Answered);
    CHECK(fixture.end->answer.body == "ok");
    CHECK(fixture.upstream.takenBytes == request.text.size() + largestBodyBytes);
    THEN("its connections are used again")
    {
        fixture.upstream.takenBytes = 0;
        fixture.askSmall();
        CHECK(fixture.upstream.connections == 1);
        CHECK(fixture.client.openedCount() == 1);
    }
}

// Guards against refusals that an entry daemon takes for the answer to an earlier request: the
// attempt would last until its deadline, with an unknown outcome.
SCENARIO(
    "ForwardService: given a request that a forwarder can't take in, the attempt ends at once as "
    "not sent",
    "[edge][forwardmemory]")
{
    MemoryFixture fixture;
    fixture.askSmall();
    const auto isEndedAtOnce = [&](const ForwardRequest &request) {
        const auto isEnded = fixture.ask(request, seconds{2});
        return isEnded && fixture.end->end == End::NotSent && !fixture.end->hold;
    };
    GIVEN("a request that isn't one")
    {
        auto request = sampleRequest(fixture.upstream.address);
        request.remaining = uploadTime;
        request.text = "PUT / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcd";
        CHECK(isEndedAtOnce(request));
        CHECK(fixture.service.counters().malformed == 1);
    }
    GIVEN("an upload for which the forwarder has no memory")
    {
        MemoryAccount::Charge others(&fixture.forwarderMemory);
        others.set(40 * mebibyte);
        CHECK(isEndedAtOnce(uploadOf(fixture.upstream.address, 40 * mebibyte)));
        CHECK(fixture.server.counters().memoryRefusals == 1);
    }
    GIVEN("an upload that is longer than all messages between daemons")
    {
        CHECK(isEndedAtOnce(uploadOf(fixture.upstream.address, 130 * mebibyte)));
    }
    CHECK(fixture.upstream.takenBytes == 0);
}
