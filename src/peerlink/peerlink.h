#pragma once

#include "common/types/ids.h"
#include "protocol/types/daemonidentity.h"
#include "protocol/types/peermessages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gooseberrywall {

/// Settings of the link between the daemons of a cell.
struct PeerLinkSettings
{
    /// Address on which this daemon listens for the others.
    Address listen;
    /// Shared by the daemons of a cell; a peer that can't prove that it knows it is refused.
    std::string cellSecret;
};

/// A message to another daemon, with the address at which that daemon is reached.
struct OutgoingPeerMessage
{
    DaemonId to;
    Address address;
    PeerMessage message;
};

/// Counters of a link since its start.
struct PeerLinkCounters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesDropped = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t authenticationFailures = 0;
    /// Messages that could not be decoded, and incoming connections that failed.
    std::uint64_t receiveFailures = 0;
    /// Outgoing connections that failed.
    std::uint64_t connectionsFailed = 0;
};

/// Carries messages between the daemons of a cell by Cap'n Proto RPC over TCP.
/// Runs KJ's event loop on a thread of its own. Messages to an unreachable daemon are dropped after
/// a limited time: delivery is at most once, and the core repeats the messages that matter.
class PeerLink
{
public:
    using Receiver = std::function<void(const DaemonId &from, PeerMessage message)>;

    /// @param receiver called on the link's thread for each message from an authenticated daemon
    PeerLink(DaemonIdentity self, PeerLinkSettings settings, Receiver receiver);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    /// Starts to listen.
    /// @throws std::runtime_error if the address can't be bound; the message names the remedy
    auto start() -> void;
    /// Sends the queued messages as far as that is possible in a short time, closes all connections
    /// and ends the thread.
    auto stop() -> void;
    /// Callable from any thread.
    auto send(OutgoingPeerMessage message) -> void;
    /// Callable from any thread.
    [[nodiscard]] auto counters() const -> PeerLinkCounters;

private:
    class Loop;
    std::unique_ptr<Loop> loop;
};

} // namespace gooseberrywall
