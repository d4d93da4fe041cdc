#pragma once

#include "http1/types/messagehead.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// Limits of the messages that a MessageReader accepts.
struct MessageLimits
{
    std::size_t headBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{16} * 1024 * 1024;
    auto operator==(const MessageLimits &) const -> bool = default;
};

/// Parses the messages of one HTTP/1.1 connection. Strict: a message with ambiguous framing is
/// malformed. libevhtp's parser isn't used because it ends a response without a length after its
/// head, and uses the last of two different lengths.
class MessageReader
{
public:
    enum class Kind : std::uint8_t { Request, Response };
    enum class Step : std::uint8_t { NeedMore, Whole, Malformed };

    MessageReader(Kind kind, MessageLimits limits);

    /// Parses bytes up to the end of the current message.
    /// @param input received bytes that weren't parsed yet
    /// @param taken set to the number of bytes that were parsed and are to be dropped from `input`
    /// @returns Whole if take() has a message
    [[nodiscard]] auto read(std::string_view input, std::size_t &taken) -> Step;

    /// Announces that the next response belongs to a HEAD request and has no body.
    auto expectNoBody() -> void { this->expectsNoBody = true; }

    /// Tells the reader that the peer has closed its side.
    /// @returns whether that completes a message, namely a response without a length
    [[nodiscard]] auto endOfInput() -> bool;

    /// Starts the next message.
    /// @returns the message that is complete
    [[nodiscard]] auto take() -> WholeMessage;

    /// Drops the message that has begun; the next one starts with the next byte.
    auto discard() -> void { this->reset(); }

    /// @returns the memory that the message takes which has begun
    [[nodiscard]] auto heldBytes() const -> std::size_t;
    /// @returns how much of the current message's body was read
    [[nodiscard]] auto bodyBytes() const -> std::size_t { return this->message.body.size(); }
    /// @returns the length of the body where the head of the message announces it; zero otherwise
    [[nodiscard]] auto announcedBodyBytes() const -> std::size_t { return this->announced; }

    /// Sets the limits of the messages that begin from now on. A message that has begun gets those
    /// that are higher than its own.
    auto setLimits(const MessageLimits &newLimits) -> void;
    /// @returns the limits that apply to the current message
    [[nodiscard]] auto currentLimits() const -> const MessageLimits & { return this->limits; }
    /// @returns what was read of the current message's head
    [[nodiscard]] auto head() const -> const MessageHead & { return this->message.head; }
    /// @returns the HTTP status with which a malformed request is to be refused
    [[nodiscard]] auto refusalStatus() const -> int { return this->errorStatus; }
    /// @returns whether a message has begun and isn't complete
    [[nodiscard]] auto isMidMessage() const -> bool;
    /// @returns whether the current message's head is complete
    [[nodiscard]] auto hasHead() const -> bool { return this->state != State::Head; }
    /// @returns whether the head is complete and the sender waits for "100 Continue" before it
    /// sends
    ///          the body
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
    auto appendToBody(std::string_view bytes) -> void;
    auto fail(int status) -> Step;
    auto reset() -> void;

    Kind kind;
    MessageLimits limits;
    State state = State::Head;
    WholeMessage message;
    std::uint64_t remaining = 0;
    std::size_t announced = 0;
    /// Memory of the head, once that is complete.
    std::size_t headBytes = 0;
    std::size_t trailerBytes = 0;
    /// Heads of interim responses (1xx) before the response.
    std::size_t interimBytes = 0;
    bool expectsNoBody = false;
    bool hasBegun = false;
    int errorStatus = 400;
};

} // namespace gooseberrywall
