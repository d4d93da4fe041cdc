#include "crowd/endlessupstream.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t blockBytes = std::size_t{256} * 1024;
constexpr int slots = 16;
constexpr const char *head = "HTTP/1.1 200 OK\r\n";
constexpr const char *chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

auto repeated(const std::string &part) -> std::string
{
    std::string result;
    while (result.size() < blockBytes) {
        result += part;
    }
    return result;
}

/// @returns the beginning of an answer, and what follows it again and again
auto textsOf(EndlessUpstream::Answer answer) -> std::pair<std::string, std::string>
{
    using Answer = EndlessUpstream::Answer;
    const std::string filler = repeated("x");
    switch (answer) {
    case Answer::HeaderLine:
        return {std::string(head) + "X-Filler: ", filler};
    case Answer::HeaderLines:
        return {head, repeated("X: y\r\n")};
    case Answer::InterimAnswers:
        return {"", repeated("HTTP/1.1 103 Early Hints\r\nLink: y\r\n\r\n")};
    case Answer::BodyWithoutLength:
        return {std::string(head) + "\r\n", filler};
    case Answer::LargeChunks:
        return {chunkedHead, "40000\r\n" + filler + "\r\n"};
    case Answer::OneByteChunks:
        return {chunkedHead, repeated("1\r\nx\r\n")};
    case Answer::ChunkExtension:
        return {std::string(chunkedHead) + "1;x=", filler};
    case Answer::TrailerLines:
        return {std::string(chunkedHead) + "0\r\n", repeated("X: y\r\n")};
    case Answer::AnnouncedBody:
        return {std::string(head) + "Content-Length: 1099511627776\r\n\r\n", filler};
    case Answer::PermittedBody:
        return {std::string(head) + "Content-Length: 16777216\r\n\r\n", filler};
    case Answer::BytesBehindAnswer:
        return {std::string(head) + "Content-Length: 2\r\n\r\nok", filler};
    }
    return {};
}

} // namespace

EndlessUpstream::EndlessUpstream(event_base *base, Settings settings)
    : base(base)
    , settings(std::move(settings))
    , listener(base, this->settings.listen, [this](int descriptor) { this->accept(descriptor); })
{
    std::tie(this->beginning, this->block) = textsOf(this->settings.answer);
}

auto EndlessUpstream::entry() const -> std::string
{
    return nlohmann::json{{"service", this->settings.service},
                          {"address", this->settings.listen.value},
                          {"zone", "north-1"},
                          {"version", "v1"},
                          {"capacity", slots},
                          {"phase", "ready"},
                          {"warmup_left_s", 0},
                          {"sequence", 1},
                          {"born", 1}}
        .dump();
}

auto EndlessUpstream::accept(int descriptor) -> void
{
    // Ended connections are destroyed here, outside of their own event handlers.
    this->connections.remove_if([](const Connection &each) { return each.hasEnded; });
    auto &connection = this->connections.emplace_back();
    connection.stream = std::make_unique<SocketStream>(
        this->base, descriptor,
        SocketStream::Handlers{[](bool) {}, [this, &connection] { this->onInput(connection); },
                               [&connection](bool) { connection.hasEnded = true; },
                               [this, &connection] { this->send(connection); }});
}

auto EndlessUpstream::onInput(Connection &connection) -> void
{
    connection.stream->consume(connection.stream->input().size());
    if (!std::exchange(connection.isAnswering, true)) {
        ++this->calls;
        connection.stream->write(this->beginning);
        this->send(connection);
    }
}

auto EndlessUpstream::send(Connection &connection) const -> void
{
    while (connection.isAnswering && !connection.hasEnded && !connection.stream->isFailed()
           && connection.stream->unsentBytes() == 0) {
        connection.stream->write(this->block);
    }
}

} // namespace gooseberrywall
