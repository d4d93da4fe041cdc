#pragma once

#include "common/types/ids.h"
#include "http/endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

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
        /// false).
        std::function<void(bool isClean)> onEnd;
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
    /// @returns the number of written bytes that the socket hasn't accepted yet
    [[nodiscard]] auto unsentBytes() const -> std::size_t { return this->unsent.size(); }
    auto setReading(bool isReading) -> void;
    /// Closes the sending side once all written bytes are sent; input is still read.
    auto finishWriting() -> void;
    /// Makes the destructor reset the connection, which discards bytes in transit.
    auto resetOnClose() -> void { this->resetsOnClose = true; }

private:
    auto open(int descriptor) -> void;
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
    std::string unsent;
    bool isConnecting = false;
    bool isFinishing = false;
    bool resetsOnClose = false;
    bool hasFailed = false;
};

} // namespace gooseberrywall
