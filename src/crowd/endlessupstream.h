#pragma once

#include "http/endpoint.h"
#include "streams/socketlistener.h"
#include "streams/socketstream.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>

struct event_base;

namespace gooseberrywall {

/// Stand-in for a faulty upstream: answers each call with bytes that never end, until its
/// connection is closed.
class EndlessUpstream
{
public:
    enum class Answer : std::uint8_t {
        /// One header line.
        HeaderLine,
        HeaderLines,
        InterimAnswers,
        /// Until the end of the connection.
        BodyWithoutLength,
        LargeChunks,
        OneByteChunks,
        ChunkExtension,
        TrailerLines,
        /// More than any answer may have.
        AnnouncedBody,
        /// Of a permitted length.
        PermittedBody,
        /// Further bytes behind a whole answer.
        BytesBehindAnswer,
    };
    static constexpr int answerCount = 11;

    struct Settings
    {
        std::string id;
        std::string service;
        Address listen;
        Answer answer = Answer::HeaderLine;
        auto operator==(const Settings &) const -> bool = default;
    };

    EndlessUpstream(event_base *base, Settings settings);

    /// @returns the JSON with which the upstream registers in the store
    [[nodiscard]] auto entry() const -> std::string;
    [[nodiscard]] auto storeKey() const -> std::string { return "servers/" + this->settings.id; }
    /// @returns the number of calls that were answered
    [[nodiscard]] auto answeredCalls() const -> int { return this->calls; }

private:
    struct Connection
    {
        std::unique_ptr<SocketStream> stream;
        bool isAnswering = false;
        bool hasEnded = false;
    };

    auto accept(int descriptor) -> void;
    auto onInput(Connection &connection) -> void;
    /// Writes until the socket takes no more.
    auto send(Connection &connection) const -> void;

    event_base *base;
    Settings settings;
    std::string beginning;
    /// Follows the beginning again and again.
    std::string block;
    std::list<Connection> connections;
    int calls = 0;
    SocketListener listener;
};

} // namespace gooseberrywall
