#pragma once

#include "common/types/ids.h"
#include "http/endpoint.h"
#include "streams/peersilence.h"
#include "streams/types/sendqueuestate.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <sys/types.h>

struct event;
struct event_base;

namespace gooseberrywall {

struct EventDeleter
{
    auto operator()(event *each) const -> void;
};
using EventPointer = std::unique_ptr<event, EventDeleter>;

/// A non-blocking TCP connection on an event loop. Writes to the socket at once and buffers only
/// what the socket doesn't accept, which saves a system call and a wake-up per message compared
/// with libevent's bufferevents.
class SocketStream
{
public:
    struct Handlers
    {
        /// The connection attempt has ended; `isOpen` is false if it failed.
        std::function<void(bool isOpen)> onConnected;
        /// More bytes are available from input().
        std::function<void()> onInput;
        /// The peer has closed its side, or the connection failed or was reset (`isClean` is
        /// false). Called once, after onInput for the bytes that had arrived before.
        std::function<void(bool isClean)> onEnd;
        /// The socket has taken written bytes that had to wait; may be empty.
        std::function<void()> onSent = {};
    };

    /// Takes ownership of the descriptor of an accepted connection.
    SocketStream(event_base *base, int descriptor, Handlers handlers);
    /// Connects; onConnected is never called from within the constructor.
    SocketStream(event_base *base, const Endpoint &endpoint, Handlers handlers);
    ~SocketStream();
    SocketStream(const SocketStream &) = delete;
    auto operator=(const SocketStream &) -> SocketStream & = delete;

    /// @returns received bytes that weren't consumed yet; valid until the next event
    [[nodiscard]] auto input() const -> std::string_view
    {
        return std::string_view(this->received).substr(this->consumedBytes);
    }
    auto consume(std::size_t bytes) -> void;
    auto write(std::string_view bytes) -> void;
    /// Writes bytes that aren't copied, however long they have to wait.
    auto writeShared(std::shared_ptr<const std::string> bytes) -> void;
    /// @returns the number of written bytes that the socket hasn't accepted yet
    [[nodiscard]] auto unsentBytes() const -> std::size_t { return this->unsentByteCount; }
    /// @returns the memory that unsent bytes take; a text is kept until all of it is sent
    [[nodiscard]] auto unsentMemory() const -> std::size_t { return this->queuedByteCount; }
    /// @returns the memory that received bytes take
    [[nodiscard]] auto inputCapacity() const -> std::size_t { return this->received.capacity(); }
    auto setReading(bool isReading) -> void;
    /// Closes the sending side once all written bytes are sent; input is still read.
    auto finishWriting() -> void;
    /// Ends the connection as failed once sent bytes stay unacknowledged for this long. Linux also
    /// ends it then if the peer's window is closed, however alive the peer is: only for messages
    /// that fit into a receive buffer that is empty.
    /// @param timeout zero: no limit, as at the start
    auto limitUnacknowledgedTime(Duration timeout) -> void;
    /// Observes whether the peer acknowledges what was written; takes no system call while all is
    /// known to be acknowledged.
    /// @param silence what was observed before
    /// @returns whether the peer is silent
    [[nodiscard]] auto isPeerSilent(PeerSilence &silence, Instant moment) -> bool;
    /// Asks the kernel for the state of the bytes that were written.
    [[nodiscard]] auto readSendQueue() -> SendQueueState;
    /// @returns whether the connection has failed; what arrived before may still be read
    [[nodiscard]] auto isFailed() const -> bool { return this->hasFailed; }
    /// Makes the destructor reset the connection, which discards bytes in transit.
    auto resetOnClose() -> void { this->resetsOnClose = true; }

private:
    /// Written bytes that the socket hasn't accepted, up to the end of `bytes`.
    struct Segment
    {
        std::shared_ptr<const std::string> bytes;
        std::size_t sentBytes = 0;

        [[nodiscard]] auto memory() const -> std::size_t
        {
            return this->bytes->size() + sizeof(Segment) + sizeof(std::string);
        }
    };

    enum class Received : std::uint8_t { Bytes, Nothing, End, Failure };

    auto open(int descriptor) -> void;
    /// Appends what has arrived to the input.
    auto receive() -> Received;
    /// Reads on after a failed write: the peer may have sent a whole answer before the failure.
    auto readRest() -> void;
    auto reportEnd(bool isClean) -> void;
    /// @returns what send() returns
    auto sendSome(std::string_view bytes) -> ssize_t;
    /// @returns how many of the bytes the socket has accepted; all of them where it has failed
    [[nodiscard]] auto sendNow(std::string_view bytes) -> std::size_t;
    auto queue(std::shared_ptr<const std::string> bytes, std::size_t sentBytes) -> void;
    /// Sends what waits, as far as the socket accepts it.
    auto flush() -> void;
    auto onReadable() -> void;
    auto onWritable() -> void;
    auto fail() -> void;

    event_base *base;
    Handlers handlers;
    int descriptor = -1;
    EventPointer readEvent;
    EventPointer writeEvent;
    std::string received;
    std::size_t consumedBytes = 0;
    std::deque<Segment> unsent;
    std::size_t unsentByteCount = 0;
    std::size_t queuedByteCount = 0;
    /// Bytes that the socket has accepted.
    std::uint64_t acceptedByteCount = 0;
    Duration unacknowledgedTimeLimit{0};
    bool isDelivered = true;
    bool isConnecting = false;
    bool isFinishing = false;
    bool resetsOnClose = false;
    bool hasFailed = false;
    bool hasEnded = false;
};

} // namespace gooseberrywall
