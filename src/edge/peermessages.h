#pragma once

#include "permitlink/permitmessages.h"
#include "streams/datagramsocket.h"

#include <cstdint>
#include <functional>
#include <vector>

struct event_base;

namespace gooseberrywall {

/// Exchanges messages about permits with other daemons, as datagrams, and with this one.
class PeerMessages
{
public:
    using OnMessage = std::function<void(const Address &from, const PermitMessage &message)>;

    /// @param self where this daemon receives datagrams
    /// @param onBatchEnd called after the datagrams that were received together
    /// @throws std::runtime_error if the address can't be bound
    PeerMessages(event_base *base, Address self, OnMessage onMessage,
                 std::function<void()> onBatchEnd);

    /// Sends messages; those to this daemon are kept for deliverOwn().
    auto send(const std::vector<PermitDatagram> &datagrams) -> void;
    /// Delivers the messages that this daemon has sent to itself.
    /// @returns whether there were any
    auto deliverOwn() -> bool;

    /// @returns the number of datagrams that weren't valid messages
    [[nodiscard]] auto malformedCount() const -> std::uint64_t { return this->malformed; }
    /// @returns the number of datagrams that the kernel refused to send
    [[nodiscard]] auto unsentCount() const -> std::uint64_t { return this->socket.failedCount(); }

private:
    Address self;
    OnMessage onMessage;
    DatagramSocket socket;
    std::vector<PermitMessage> own;
    std::uint64_t malformed = 0;
};

} // namespace gooseberrywall
