#include "../standins-2/cell.h"

// An instance answers a long upload before it has read all of it. The answer has no length and ends
// with its connection. Where the connection is reset on the way, the answer must not look complete.

using namespace review;

namespace {

constexpr int uploads = 8;
/// The largest upload and a usual answer of the site.
constexpr std::size_t uploadBytes = 360'000;
constexpr std::size_t answerBytes = 5000;
constexpr std::size_t bytesBeforeReset = 2000;
/// As between machines; segments are larger on loopback, and buffers with them.
constexpr int segmentBytes = 1460;
constexpr int receiveBytes = 16'384;
constexpr long deadlineMs = 6000;

/// Answers early. With trouble, it crashes in the middle of its answer.
class EarlyInstance
{
public:
    EarlyInstance(std::string id, Record &record)
        : id(std::move(id))
        , record(record)
        , server(
              freePort(), [this](Connection &connection) { this->serve(connection); }, receiveBytes,
              segmentBytes)
    {
    }

    auto registerAt(Store &store) const -> void
    {
        store.put("servers/" + this->id,
                  entryText("files", this->server.address(), unixMilliseconds()));
    }

private:
    auto serve(Connection &connection) -> void
    {
        auto request = connection.readHead(deadlineMs);
        if (!request || request->value("Target-Instance") != this->id) {
            return;
        }
        const auto requestId = request->value("Request-Id");
        const std::string body(answerBytes, 'a');
        connection.send("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nServer-Signature: sig."
                        + this->id + "." + requestId + "\r\nConnection: close\r\n\r\n"
                        + body.substr(0, bytesBeforeReset));
        sleepFor(100);
        if (hasTrouble()) {
            this->record.write("instance " + this->id + " resets the connection of " + requestId
                               + " after " + std::to_string(bytesBeforeReset) + " of "
                               + std::to_string(answerBytes) + " bytes of its answer");
            connection.reset();
            return;
        }
        connection.send(body.substr(bytesBeforeReset));
        connection.finish();
        this->record.write("instance " + this->id + " has sent its whole answer to " + requestId);
        connection.readBody(*request, deadlineMs);
    }

    std::string id;
    Record &record;
    Server server;
};

auto play(const std::string &folder, Record &record) -> int
{
    const auto storePort = freePort();
    auto &platform = *new Store(storePort);
    for (const auto *id : {"i-1", "i-2", "i-3"}) {
        (new EarlyInstance(id, record))->registerAt(platform);
    }
    platform.put("op/config", configurationText(7, {{"files", "upload", 6, 3}}));
    Daemon daemon({"edge-1", "zone-a", folder, addressText(storePort)});
    Daemon other({"edge-2", "zone-b", folder, addressText(storePort)});
    daemon.start(true);
    other.start(true);
    if (!waitFor(10'000, [&] { return daemon.isReady() && other.isReady(); })) {
        record.write("could not run: the daemons aren't ready");
        return couldNotRun;
    }
    sleepFor(4000);
    auto cutShort = 0;
    auto whole = 0;
    for (auto number = 0; number < uploads; ++number) {
        const auto requestId = "u" + std::to_string(number);
        const auto connection = Connection::open(daemon.front());
        if (connection == nullptr
            || !connection->send(requestText("POST", "/files/x", requestId, deadlineMs, {},
                                             std::string(uploadBytes, 'b')))) {
            record.write("could not run: the daemon doesn't take the upload");
            return couldNotRun;
        }
        const auto reply = connection->read(deadlineMs);
        const auto isSuccess = reply && reply->status() == 200;
        record.write("client got "
                     + (reply ? "status " + std::to_string(reply->status()) + " with a body of "
                                    + std::to_string(reply->body.size()) + " bytes, complete by "
                                    + "its Content-Length"
                              : "no complete answer (" + connection->cause() + ")")
                     + " to " + requestId);
        cutShort += isSuccess && reply->body.size() != answerBytes ? 1 : 0;
        whole += isSuccess && reply->body.size() == answerBytes ? 1 : 0;
        sleepFor(700);
    }
    record.write("whole answers: " + std::to_string(whole)
                 + ", answers cut short that look complete: " + std::to_string(cutShort));
    if (!hasTrouble() && whole == 0) {
        return couldNotRun;
    }
    return cutShort > 0 ? ruleBroken : ruleHeld;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return runCase(argc, argv, play);
}
