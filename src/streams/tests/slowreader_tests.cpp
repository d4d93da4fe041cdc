#include "http/clocktimer.h"
#include "streams/frontlistener.h"
#include "streams/internal/socketaddress.h"
#include "streams/outboundpool.h"
#include "streams/tests/rawpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Longer than a broken path is borne.
constexpr seconds readPause{3};
constexpr int receiveBufferBytes = 4096;
constexpr std::size_t answerBytes = 30'000;
/// More than the system buffers for a connection whose peer doesn't read.
constexpr std::size_t uploadBytes = std::size_t{32} * 1024 * 1024;

/// A caller's connection with a small receive buffer.
class SlowCaller
{
public:
    explicit SlowCaller(const Address &server)
        : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                   sizeof receiveBufferBytes);
        const auto address = toSocketAddress(server);
        REQUIRE(
            connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address)
            == 0);
    }
    SlowCaller(const SlowCaller &) = delete;
    auto operator=(const SlowCaller &) -> SlowCaller & = delete;
    ~SlowCaller() { close(this->descriptor); }

    auto write(std::string_view text) const -> void
    {
        CHECK(send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL)
              == static_cast<ssize_t>(text.size()));
    }
    auto readWaiting() -> void
    {
        std::array<char, receiveBufferBytes> buffer{};
        const auto count = recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        this->receivedBytes += count > 0 ? static_cast<std::size_t>(count) : 0;
        this->hasEnded = this->hasEnded || count == 0 || (count < 0 && errno != EAGAIN);
    }

    std::size_t receivedBytes = 0;
    bool hasEnded = false;

private:
    int descriptor;
};

} // namespace

SCENARIO("FrontListener: given a caller that pauses while it reads its answer, it gets the whole",
         "[streams]")
{
    // Guards against a caller with a closed window that is taken for one behind a broken path.
    TestLoop loop;
    FrontSettings settings;
    settings.listen = freeAddress();
    std::optional<ExchangeId> exchange;
    FrontListener front(
        loop.base(), settings, monotonicNow,
        [&](ExchangeId id, const WholeMessage &) { exchange = id; }, [](ExchangeId) {});
    front.start();
    SlowCaller caller(settings.listen);
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(loop.runUntil([&] { return exchange.has_value(); }));
    MessageHead head;
    head.status = 200;
    front.reply(*exchange, head, std::string(answerBytes, 'a'));
    const auto end = monotonicNow() + readPause;
    auto sweptAt = monotonicNow();
    loop.runUntil([&] {
        if (monotonicNow() - sweptAt > milliseconds{500}) {
            sweptAt = monotonicNow();
            front.sweep();
        }
        return monotonicNow() > end;
    });
    CHECK(front.counters().silentCallers == 0);
    loop.runUntil([&] {
        caller.readWaiting();
        return caller.hasEnded || caller.receivedBytes > answerBytes;
    });
    CHECK_FALSE(caller.hasEnded);
    CHECK(caller.receivedBytes > answerBytes);
}

SCENARIO("OutboundPool: given an upstream that pauses while it reads a request, its answer counts",
         "[streams]")
{
    // Guards against an upload that is broken off since its upstream's window is closed.
    TestLoop loop;
    RawPeer peer(loop.base());
    OutboundPool pool(loop.base(), OutboundPoolSettings{}, monotonicNow);
    OutboundRequest request;
    request.address = peer.address;
    request.text =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(uploadBytes) + "\r\n\r\n";
    const auto requestBytes = request.text.size() + uploadBytes;
    request.body = std::make_shared<const std::string>(uploadBytes, 'b');
    request.timeout = seconds{20};
    std::optional<OutboundResult> result;
    pool.send(std::move(request), [&](OutboundResult ended) { result = std::move(ended); });
    loop.runFor(readPause);
    CHECK_FALSE(result);
    std::size_t receivedBytes = 0;
    loop.runUntil(
        [&] {
            for (auto count = peer.readWaiting(); count > 0; count = peer.readWaiting()) {
                receivedBytes += count;
            }
            return result || receivedBytes == requestBytes;
        },
        seconds{15});
    REQUIRE(receivedBytes == requestBytes);
    REQUIRE(peer.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    loop.runUntil([&] { return result.has_value(); });
    REQUIRE(result);
    CHECK(result->end == OutboundResult::End::Answered);
    CHECK(result->answer.body == "ok");
}

SCENARIO("OutboundPool: given an unread early-answered upload, the next request may wait as long",
         "[streams]")
{
    // Guards against a small request behind an upload that its upstream reads on slowly.
    TestLoop loop;
    RawPeer peer(loop.base());
    OutboundPool pool(loop.base(), OutboundPoolSettings{}, monotonicNow);
    std::optional<OutboundResult> result;
    const auto send = [&](std::size_t bodyBytes) {
        result.reset();
        OutboundRequest request;
        request.address = peer.address;
        request.text = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes)
                       + "\r\n\r\n";
        request.body = std::make_shared<const std::string>(bodyBytes, 'b');
        request.timeout = seconds{10};
        pool.send(std::move(request), [&](OutboundResult ended) { result = std::move(ended); });
    };
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    // Fits into the sender's buffer, but not into the receiver's.
    send(std::size_t{2} * 1024 * 1024);
    loop.runFor(milliseconds{50});
    REQUIRE(peer.write(answer));
    loop.runUntil([&] { return result.has_value(); });
    REQUIRE(result);
    send(10);
    loop.runFor(readPause);
    CHECK_FALSE(result);
    while (peer.readWaiting() > 0) {
        loop.runFor(milliseconds{1});
    }
    REQUIRE(peer.write(answer));
    loop.runUntil([&] { return result.has_value(); });
    REQUIRE(result);
    CHECK(result->end == OutboundResult::End::Answered);
}
