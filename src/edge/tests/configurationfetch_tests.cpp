#include "edge/configurationsource.h"
#include "http/clocktimer.h"
#include "streams/socketlistener.h"
#include "streams/socketstream.h"
#include "testing/freeaddress.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A grantor that sends its configuration in pieces, as over a slow link.
class SlowGrantor
{
public:
    SlowGrantor(event_base *base, std::string text, std::size_t pieces)
        : base(base)
        , answer("HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Length: "
                 + std::to_string(text.size()) + "\r\n\r\n" + text)
        , pieceBytes(this->answer.size() / pieces + 1)
        , listener(base, this->address, [this](int descriptor) { this->accept(descriptor); })
        , timer(base, [this] { this->sendPieces(); })
    {
        this->sendPieces();
    }

    Address address = freeAddress();
    int connections = 0;

private:
    static constexpr Duration pieceInterval = milliseconds{100};

    struct Transfer
    {
        std::unique_ptr<SocketStream> stream;
        /// Bytes of the answer that were sent; nothing before the request.
        std::optional<std::size_t> sent;
    };

    auto accept(int descriptor) -> void
    {
        ++this->connections;
        auto &transfer = this->transfers.emplace_back();
        transfer.stream = std::make_unique<SocketStream>(
            this->base, descriptor,
            SocketStream::Handlers{[](bool) {},
                                   [&transfer] {
                                       transfer.stream->consume(transfer.stream->input().size());
                                       transfer.sent = transfer.sent.value_or(0);
                                   },
                                   [](bool) {}});
    }

    auto sendPieces() -> void
    {
        for (auto &transfer : this->transfers) {
            if (transfer.sent && *transfer.sent < this->answer.size()) {
                transfer.stream->write(this->answer.substr(*transfer.sent, this->pieceBytes));
                *transfer.sent += this->pieceBytes;
            }
        }
        this->timer.set(monotonicNow() + pieceInterval);
    }

    event_base *base;
    std::string answer;
    std::size_t pieceBytes;
    SocketListener listener;
    std::deque<Transfer> transfers;
    ClockTimer timer;
};

/// A daemon that has read the configuration from a store's copy that may be stale, and hears of
/// other daemons' configurations.
struct FetchTrial
{
    FetchTrial()
        : server(this->loop.base(), freeAddress(), monotonicNow, this->logger)
        , source(
              this->loop.base(), this->server, settings(), this->sender(), monotonicNow,
              this->logger,
              [this](const std::string &newText, StoreRevision) {
                  this->texts.push_back(newText);
                  return true;
              },
              [] {})
    {
        this->source.advance(false);
        this->answerRead();
    }

    static auto settings() -> ConfigurationSourceSettings
    {
        ConfigurationSourceSettings result;
        result.key = "configuration";
        result.startTime = milliseconds{50};
        return result;
    }

    /// Keeps the stale read to answer it; other calls stay open.
    auto sender() -> SendStoreCall
    {
        return [this](StoreCall call, Duration, std::function<void(StoreAnswer)> done) {
            const auto *range = std::get_if<StoreRange>(&call);
            if (range != nullptr && range->mayBeStale) {
                this->readDone = std::move(done);
            } else {
                ++this->otherCalls;
            }
        };
    }

    auto answerRead() -> void
    {
        StoreItem item;
        item.key = "configuration";
        item.value = "old";
        item.revision = StoreRevision{5};
        StoreAnswer answer;
        answer.kind = StoreAnswer::Kind::Ok;
        answer.items = {item};
        std::exchange(this->readDone, {})(answer);
    }

    /// Announces revision 7, over and over, and lets the daemon work.
    auto announceUntil(const Address &from, const std::function<bool()> &condition, Duration limit)
        -> bool
    {
        return this->loop.runUntil(
            [&] {
                GrantorAnnouncement announcement;
                announcement.configurationRevision = 7;
                this->source.onAnnouncement(from, announcement);
                this->source.advance(false);
                return condition();
            },
            std::chrono::duration_cast<milliseconds>(limit));
    }

    TestLoop loop;
    Logger logger{"error", 1};
    PeerServer server;
    std::vector<std::string> texts;
    int otherCalls = 0;
    std::function<void(StoreAnswer)> readDone;
    ConfigurationSource source;
};

} // namespace

// Guards against a daemon that keeps an old configuration, and answers 404 on new routes, since the
// time limit of a fetch doesn't grow with the size of the text.
SCENARIO("ConfigurationSource: given a text that arrives slowly and steadily, it is fetched at the "
         "first attempt",
         "[edge][largeconfiguration]")
{
    FetchTrial trial;
    const std::string text(600'000, 'r');
    SlowGrantor grantor(trial.loop.base(), text, 15);
    CHECK(trial.announceUntil(
        grantor.address, [&] { return trial.texts.back() == text; }, seconds{8}));
    CHECK(grantor.connections == 1);
    CHECK(trial.source.revision() == StoreRevision{7});
}

// Guards against a daemon that takes a fetch that failed for a configuration of revision zero, and
// refuses its peers from then on.
SCENARIO(
    "ConfigurationSource: given a text that may be stale and a fetch that fails, the text stays",
    "[edge][largeconfiguration]")
{
    FetchTrial trial;
    const auto nobody = freeAddress();
    trial.announceUntil(
        nobody, [] { return false; }, milliseconds{500});
    CHECK(trial.texts == std::vector<std::string>{"old"});
    CHECK(trial.source.revision() == StoreRevision{5});
}

// Guards against a daemon that also reads a large text from the store while it arrives from a
// grantor, and so fills its link twice.
SCENARIO(
    "ConfigurationSource: given a text that arrives slowly and steadily, the store isn't asked",
    "[edge][largeconfiguration]")
{
    FetchTrial trial;
    SlowGrantor grantor(trial.loop.base(), std::string(600'000, 'r'), 15);
    trial.announceUntil(
        grantor.address, [&] { return trial.texts.back().size() > 1000; }, seconds{8});
    CHECK(trial.otherCalls == 0);
}
