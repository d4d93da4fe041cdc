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

/// A non-blocking TCP connection on an event loop. Writes at once and waits only for what the
/// socket doesn't take, which saves a system call and a wake-up a message against libevent's
/// buffers.
class SocketStream
{
public:
    struct Handlers
    {
        /// The connection stands, or `isOpen` is false: it couldn't be made.
        std::function<void(bool isOpen)> onConnected;
        /// More bytes lie in input().
        std::function<void()> onInput;
        /// The peer has closed its side; `isClean` is false after a reset or a failure.
        std::function<void(bool isClean)> onEnd;
    };

    /// Takes over an accepted connection.
    SocketStream(event_base *base, int descriptor, Handlers handlers);
    /// Connects; the outcome is always reported later.
    SocketStream(event_base *base, const Endpoint &endpoint, Handlers handlers);
    ~SocketStream();
    SocketStream(const SocketStream &) = delete;
    auto operator=(const SocketStream &) -> SocketStream & = delete;

    /// Bytes that have arrived and weren't consumed; valid until the next event.
    [[nodiscard]] auto input() const -> std::string_view
    {
        return std::string_view(this->received).substr(this->consumedBytes);
    }
    auto consume(std::size_t bytes) -> void;
    auto write(std::string_view bytes) -> void;
    /// @returns bytes that the socket hasn't taken yet
    [[nodiscard]] auto unsentBytes() const -> std::size_t { return this->unsent.size(); }
    auto setReading(bool isReading) -> void;
    /// Sends what is left and then the end of the stream; input is still read.
    auto finishWriting() -> void;
    /// The destructor resets the connection: bytes on their way are lost for good.
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
