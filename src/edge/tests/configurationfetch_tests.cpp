#include "edge/configurationsource.h"
#include "http/clocktimer.h"
#include "streams/tests/pacedpeer.h"
#include "testing/freeaddress.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The answer of a grantor that has revision 7.
auto answerWith(const std::string &text) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Length: " + std::to_string(text.size())
           + "\r\n\r\n" + text;
}

constexpr std::size_t pieces = 15;

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
    PacedPeer grantor(trial.loop.base(), answerWith(text), pieces, milliseconds{100});
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
    PacedPeer grantor(trial.loop.base(), answerWith(std::string(600'000, 'r')), pieces,
                      milliseconds{100});
    trial.announceUntil(
        grantor.address, [&] { return trial.texts.back().size() > 1000; }, seconds{8});
    CHECK(trial.otherCalls == 0);
}

// Guards against a daemon that fetches a frame that it can't read over and over, and never reads
// the store, since a part of each frame arrives slowly.
SCENARIO(
    "ConfigurationSource: given frames that arrive slowly and can't be read, the store is asked",
    "[edge][largeconfiguration]")
{
    FetchTrial trial;
    const std::string damaged(60'000, 'd');
    PacedPeer grantor(trial.loop.base(),
                      "HTTP/1.1 200 OK\r\nX-Revision: 7\r\nConnection: close\r\n"
                      "Content-Encoding: zstd\r\nContent-Length: "
                          + std::to_string(damaged.size()) + "\r\n\r\n" + damaged,
                      pieces, milliseconds{50});
    CHECK(trial.announceUntil(
        grantor.address, [&] { return trial.otherCalls > 0; }, seconds{6}));
    CHECK(trial.texts == std::vector<std::string>{"old"});
}
