#pragma once

#include "memory/types/connectionload.h"
#include "streams/frontlistener.h"
#include "streams/peersilence.h"

#include <deque>
#include <optional>
#include <string>

namespace gooseberrywall {

/// A caller's connection and its open requests.
class FrontListener::Connection
{
public:
    /// @param descriptor the accepted connection; the object takes ownership
    Connection(FrontListener &front, int descriptor);

    auto reply(ExchangeId exchange, WholeMessage answer) -> void;
    /// Ends the connection if it exceeds a timeout.
    auto sweep(Instant moment) -> void;
    /// Answers a request of which only a part has arrived, and closes the connection.
    auto refuseIfIncomplete(const MessageHead &head) -> void;
    auto closeIfIdle() -> void;
    /// Releases what the connection holds: refuses a request that hasn't arrived whole, and resets
    /// the connection of a caller that doesn't take its answers.
    auto shed() -> void;
    /// @returns what the connection holds; nothing where it may not be closed to release that
    [[nodiscard]] auto load() const -> std::optional<ConnectionLoad>;
    auto setIdleTimeout(Duration timeout) -> void { this->idleTimeout = timeout; }
    [[nodiscard]] auto unsentBytes() const -> std::size_t { return this->stream.unsentBytes(); }

private:
    struct PendingReply
    {
        ExchangeId exchange;
        bool isHead = false;
        bool keepsConnection = true;
        std::optional<WholeMessage> answer;
    };

    /// @returns whether the caller doesn't acknowledge what it was sent
    [[nodiscard]] auto isCallerSilent(Instant moment) -> bool;
    /// Discards a closing connection once its caller has had time to take the answers.
    auto sweepEnding(Instant moment) -> void;
    auto onInput() -> void;
    auto onSent() -> void;
    auto onEnd() -> void;
    auto readRequests() -> void;
    auto readWithinLimit() -> void;
    /// Decides whether the request that is arriving may take the memory that it needs.
    /// @returns false where it was refused
    auto admit() -> bool;
    auto startRequest(WholeMessage message) -> void;
    auto flush() -> void;
    auto send(PendingReply pending, bool keepsOpen) -> void;
    /// Refuses a request that can't be read, after the answers to the requests before it.
    auto refuse(MessageHead head) -> void;
    auto refuseForMemory() -> void;
    auto sendRefusal() -> void;
    /// Discards requests after the last answer: the closed connection tells the caller that they
    /// haven't run.
    auto end() -> void;
    auto abandonReplies() -> void;
    /// Ends the connection at once, and its open requests with it. It is destroyed from the event
    /// loop.
    auto discard() -> void;
    /// @returns the memory that the connection holds apart from the request that is arriving
    [[nodiscard]] auto heldBesidesRequest() const -> std::size_t;
    /// @returns the memory that the open request needs once it has arrived, as far as that is known
    [[nodiscard]] auto requestBytes() const -> std::size_t;
    auto updateCharge() -> void;

    FrontListener &front;
    MessageReader reader;
    std::deque<PendingReply> pendingReplies;
    Instant lastUsedAt;
    Instant requestStartedAt{};
    /// When bytes last arrived, and how many since the open request began.
    Instant receivedAt{};
    std::size_t receivedBytes = 0;
    /// Input that was left when requests were last read.
    std::size_t unparsedBytes = 0;
    /// Since when answers wait for the caller to take them, when it last took a part, and how much.
    Instant sendingSince{};
    Instant sentAt{};
    std::size_t sentBytes = 0;
    std::size_t lastUnsentBytes = 0;
    std::optional<Duration> idleTimeout;
    bool isReading = false;
    bool hasSentContinue = false;
    bool isLastRequestRead = false;
    bool isEnding = false;
    bool isDiscarded = false;
    /// Of a closing connection: the unsent bytes when it was last swept.
    std::size_t sweptUnsentBytes = 0;
    /// The announced length of the open request was admitted.
    bool isAdmitted = false;
    std::optional<MessageHead> refusal;
    MemoryAccount::Charge charge;
    PeerSilence silence;
    SocketStream stream;
};

} // namespace gooseberrywall
