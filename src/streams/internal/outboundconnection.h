#pragma once

#include "streams/outboundpool.h"
#include "streams/peersilence.h"
#include "streams/socketstream.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywall {

/// A connection and the request that is open on it, if any.
class OutboundPool::Connection
{
public:
    Connection(OutboundPool &pool, Address address, const Endpoint &endpoint);
    auto start(std::uint64_t newId, OutboundRequest newRequest, Done newDone) -> void;
    /// @returns when bytes of the answer last arrived; empty before the first ones
    [[nodiscard]] auto lastArrivalAt() const -> std::optional<Instant> { return this->arrivedAt; }
    /// Separates the connection from its aborted request.
    auto detach() -> void;
    /// @returns the memory of the answer that arrives; zero if that is small
    [[nodiscard]] auto arrivingBytes() const -> std::size_t { return this->countedArriving; }
    [[nodiscard]] auto isLengthAnnounced() const -> bool
    {
        return this->reader.announcedBodyBytes() > 0;
    }
    /// Ends the open request, whose answer can't be held.
    auto giveUpAnswer() -> void;

    OutboundPool &pool;
    Address address;
    std::uint64_t id = 0;
    Instant idleSince{};
    Duration idleTimeout{0};

private:
    /// A peer that is slow to read a large request must not be taken for one behind a broken path.
    auto chooseSilenceDetection() -> void;
    [[nodiscard]] auto isPeerSilent() -> bool;
    auto armAnswerTimer() -> void;
    auto sendRequest() -> void;
    auto countArriving(std::size_t bytes) -> void;
    /// Counts what the connection holds, apart from the shared body of its request.
    auto updateCharge() -> void;
    /// @returns whether the answer is so large that it can't be held any more
    [[nodiscard]] auto exceedsMemory() -> bool;
    /// Gives up answers that can't be held together with what else is held.
    auto boundMemory() -> void;
    auto armTimer(Duration duration) -> void;
    /// Extends the deadline while the answer makes progress.
    auto noteProgress() -> void;
    auto onConnected(bool isOpen) -> void;
    auto onInput() -> void;
    /// @returns whether the answer is surely the one to the open request
    [[nodiscard]] auto isOwnAnswer(const MessageHead &answer) const -> bool;
    /// Goes on to the next answer: the answer to the open request follows the one that was read.
    auto skipAnswer(bool isOpen) -> void;
    auto onWholeAnswer(bool isOpen) -> void;
    auto onEnd(bool isClean) -> void;
    auto onTimeout() -> void;
    auto finish(OutboundResult::End end, WholeMessage answer) -> void;

    MessageReader reader;
    OutboundRequest request;
    /// The request's text while the stream holds it.
    std::weak_ptr<const std::string> sentText;
    Done done;
    Instant deadline{};
    /// When bytes of the answer first and last arrived.
    std::optional<Instant> firstArrivedAt;
    std::optional<Instant> arrivedAt;
    bool isConnected = false;
    bool isSent = false;
    bool isReusable = false;
    /// Whether the connection is checked for a peer that acknowledges nothing; otherwise the
    /// kernel does that.
    bool checksSilence = false;
    /// Requests that were sent on the connection, the open one included.
    std::uint64_t requestCount = 0;
    /// Part of the pool's bytes of arriving answers.
    std::size_t countedArriving = 0;
    /// Answers of other requests that came since the open request was sent.
    int skippedAnswers = 0;
    MemoryAccount::Charge charge;
    PeerSilence silence;
    EventPointer timer;
    SocketStream stream;
};

} // namespace gooseberrywall
