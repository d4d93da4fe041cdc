#pragma once

#include "streams/socketlistener.h"
#include "testing/freeaddress.h"

#include <array>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace gooseberrywall {

/// A server that accepts one connection and reads from it only where a test says so.
class RawPeer
{
public:
    explicit RawPeer(event_base *base)
        : listener(base, this->address, [this](int descriptor) { this->accept(descriptor); })
    {
    }

    RawPeer(const RawPeer &) = delete;
    auto operator=(const RawPeer &) -> RawPeer & = delete;
    ~RawPeer()
    {
        if (this->isConnected()) {
            close(this->descriptor);
        }
    }

    [[nodiscard]] auto isConnected() const -> bool { return this->descriptor >= 0; }
    /// @returns whether all bytes fit into the socket's buffer
    auto write(std::string_view bytes) const -> bool
    {
        return send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(bytes.size());
    }
    /// @returns how many bytes were waiting to be read
    auto readWaiting() const -> std::size_t
    {
        std::array<char, std::size_t{64} * 1024> buffer{};
        const auto count = recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    /// Sends the end of the stream; the peer could still read.
    auto finish() const -> void { shutdown(this->descriptor, SHUT_WR); }
    auto reset() -> void
    {
        const linger immediate{1, 0};
        setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
        close(this->descriptor);
        this->descriptor = -1;
    }

    Address address = freeAddress();

private:
    auto accept(int accepted) -> void
    {
        if (this->isConnected()) {
            close(this->descriptor);
        }
        this->descriptor = accepted;
    }

    int descriptor = -1;
    SocketListener listener;
};

} // namespace gooseberrywall
