#include "../standins-2/instances.h"

#include <mutex>

// A client that reads its answer slowly: it reads the beginning, pauses, and reads the rest well
// before its deadline. The daemon must not end the connection meanwhile.

using namespace review;

namespace {

constexpr int clientCount = 6;
/// The largest answer of the site's uploads.
constexpr std::size_t answerBytes = 30'000;
/// Receive buffer of the clients, for a small window.
constexpr int clientBufferBytes = 4096;
constexpr std::size_t bytesBeforePause = 1000;
/// Of the deadline, that of the site's uploads.
constexpr long pauseMs = 3000;
constexpr long deadlineMs = 6000;

struct Outcome
{
    int complete = 0;
    /// Connections that ended before the whole answer had come.
    int cut = 0;
};

auto play(const std::string &folder, Record &record) -> int
{
    const auto storePort = freePort();
    auto &platform = *new Store(storePort);
    const auto work = [](Connection &connection, Message &request) -> std::optional<std::string> {
        constexpr long readMs = 5000;
        connection.readBody(request, readMs);
        sleepFor(50);
        const auto isLarge = request.target() == "/files/large";
        return std::string(isLarge ? answerBytes : 100, 'a');
    };
    for (const auto *id : {"i-1", "i-2", "i-3"}) {
        (new PlainInstance({id, "files"}, record, work))->registerAt(platform);
    }
    platform.put("op/config", configurationText(7, {{"files", "idempotent", 6, 3}}));
    Daemon daemon({"edge-1", "zone-a", folder, addressText(storePort)});
    Daemon other({"edge-2", "zone-b", folder, addressText(storePort)});
    daemon.start(true);
    other.start(true);
    if (!waitFor(10'000, [&] { return daemon.isReady() && other.isReady(); })) {
        record.write("could not run: the daemons aren't ready");
        return couldNotRun;
    }
    // In touch: the daemons have run undisturbed for contact_s.
    sleepFor(4000);

    std::mutex mutex;
    Outcome outcome;
    std::atomic<int> warm = 0;
    // Planned work beside the requests, by which nothing may be lost.
    const auto hangUp = [&] { daemon.signal(SIGHUP); };
    std::vector<std::thread> clients;
    for (auto number = 0; number < clientCount; ++number) {
        clients.emplace_back([&, number] {
            const auto name = "c" + std::to_string(number);
            const auto connection = Connection::open(daemon.front(), clientBufferBytes);
            if (connection == nullptr
                || !connection->send(requestText("GET", "/files/small", name + "-1", deadlineMs))
                || !connection->read(deadlineMs)) {
                record.write("client " + name + " isn't served before the disruption");
                return;
            }
            ++warm;
            sleepFor(500);
            const auto sentAt = Clock::now();
            connection->send(requestText("GET", "/files/large", name + "-2", deadlineMs));
            record.write("client " + name + " sent " + name + "-2 on its kept connection");
            auto reply = connection->readHead(deadlineMs);
            while (reply && connection->received().size() < bytesBeforePause
                   && connection->receive(deadlineMs, bytesBeforePause)) {
            }
            if (hasTrouble()) {
                sleepFor(pauseMs);
            }
            const auto isWhole =
                reply && connection->readBody(*reply, deadlineMs - millisecondsSince(sentAt))
                && reply->body.size() == answerBytes;
            const auto tookMs = millisecondsSince(sentAt);
            record.write("client " + name + " got "
                         + (isWhole ? "the whole answer"
                                    : std::to_string(reply ? reply->body.size() : 0) + " of "
                                          + std::to_string(answerBytes)
                                          + " bytes, then: " + connection->cause())
                         + " after " + std::to_string(tookMs) + " ms");
            const std::lock_guard lock(mutex);
            outcome.complete += isWhole ? 1 : 0;
            outcome.cut += !isWhole && tookMs < deadlineMs ? 1 : 0;
        });
    }
    if (!waitFor(5000, [&] { return warm == clientCount; })) {
        for (auto &client : clients) {
            client.join();
        }
        return couldNotRun;
    }
    hangUp();
    record.write("SIGHUP to the daemon");
    for (auto &client : clients) {
        client.join();
    }
    record.write("whole answers: " + std::to_string(outcome.complete)
                 + ", cut: " + std::to_string(outcome.cut));
    // LOST allows three at any time; around a SIGHUP it allows none.
    return outcome.cut > 3 ? ruleBroken : ruleHeld;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return runCase(argc, argv, play);
}
