#pragma once

#include "common/types/ids.h"
#include "streams/socketstream.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

struct event_base;

namespace gooseberrywall {

/// Sends and receives UDP datagrams on an event loop.
class DatagramSocket
{
public:
    using OnDatagram = std::function<void(const Address &from, std::string_view bytes)>;

    /// @param onBatchEnd called after the datagrams that were received together
    /// @throws std::runtime_error if the address can't be bound
    DatagramSocket(event_base *base, const Address &listen, OnDatagram onDatagram,
                   std::function<void()> onBatchEnd);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    auto operator=(const DatagramSocket &) -> DatagramSocket & = delete;

    auto send(const Address &to, std::string_view bytes) -> void;
    /// @returns the number of datagrams that the kernel refused to send
    [[nodiscard]] auto failedCount() const -> std::uint64_t { return this->failedSends; }

private:
    auto receive() -> void;
    [[nodiscard]] auto senderName(std::uint32_t host, std::uint16_t port) -> const Address &;

    int descriptor = -1;
    OnDatagram onDatagram;
    std::function<void()> onBatchEnd;
    EventPointer readEvent;
    /// Cache of senders' addresses as text, since most datagrams come from the same few senders.
    /// The key holds the IPv4 address and the port.
    std::unordered_map<std::uint64_t, Address> senderNames;
    std::uint64_t failedSends = 0;
};

} // namespace gooseberrywall
