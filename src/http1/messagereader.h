#pragma once

#include "http1/types/messagehead.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// Bounds of what a MessageReader accepts.
struct MessageLimits
{
    std::size_t headBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{16} * 1024 * 1024;
    auto operator==(const MessageLimits &) const -> bool = default;
};

/// Collects the messages of one HTTP/1.1 connection. Strict: whatever could be framed in two ways
/// is malformed. libevhtp's parser isn't used here: it ends a response without a length after its
/// head, and takes the last of two different lengths.
class MessageReader
{
public:
    enum class Kind : std::uint8_t { Request, Response };
    enum class Step : std::uint8_t { NeedMore, Whole, Malformed };

    MessageReader(Kind kind, MessageLimits limits);

    /// Takes bytes up to the end of the current message.
    /// @param input what has arrived and wasn't taken yet
    /// @param taken receives how many bytes of it were used
    /// @returns Whole where take() has a message
    [[nodiscard]] auto read(std::string_view input, std::size_t &taken) -> Step;

    /// The response to come belongs to a HEAD request and has no body.
    auto expectNoBody() -> void { this->expectsNoBody = true; }

    /// The peer has closed its side.
    /// @returns whether a message ends with that: a response without a length
    [[nodiscard]] auto endOfInput() -> bool;

    /// @returns the message, and starts with the next one
    [[nodiscard]] auto take() -> WholeMessage;

    /// @returns the status with which a malformed request is refused
    [[nodiscard]] auto refusalStatus() const -> int { return this->errorStatus; }
    /// @returns whether a message has begun and isn't complete
    [[nodiscard]] auto isMidMessage() const -> bool;
    /// @returns whether the current message's head is complete
    [[nodiscard]] auto hasHead() const -> bool { return this->state != State::Head; }
    /// @returns whether the head is complete, and asks for "100 Continue" before its body
    [[nodiscard]] auto awaitsContinue() const -> bool;

private:
    enum class State : std::uint8_t {
        Head,
        Length,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailers,
        UntilClose,
        Whole
    };

    [[nodiscard]] auto readHead(std::string_view input, std::size_t &taken) -> Step;
    [[nodiscard]] auto parseHead(std::string_view text) -> bool;
    [[nodiscard]] auto parseStartLine(std::string_view line) -> bool;
    [[nodiscard]] auto chooseFraming() -> bool;
    [[nodiscard]] auto readBody(std::string_view input, std::size_t &taken) -> Step;
    [[nodiscard]] auto readLine(std::string_view input, std::size_t &taken, std::string_view &line)
        -> Step;
    [[nodiscard]] auto readChunkSize(std::string_view line) -> bool;
    auto fail(int status) -> Step;
    auto reset() -> void;

    Kind kind;
    MessageLimits limits;
    State state = State::Head;
    WholeMessage message;
    std::uint64_t remaining = 0;
    std::size_t trailerBytes = 0;
    bool expectsNoBody = false;
    bool hasBegun = false;
    int errorStatus = 400;
};

} // namespace gooseberrywall
