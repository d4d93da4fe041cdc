#pragma once

#include "peerlink/internal/cellproof.h"
#include "peerlink/peerlink.h"
#include "peerlink/schema/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <deque>

namespace gooseberrywall {

/// Connection to one other daemon. Connects when there is something to send, proves that this
/// daemon knows the cell's secret, sends messages in batches, and reconnects after a failure or a
/// timeout.
class PeerConnection final : private kj::TaskSet::ErrorHandler
{
public:
    PeerConnection(kj::AsyncIoContext &io, const CellProof &proof, DaemonId self,
                   PeerLinkCounters &counters);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    auto operator=(const PeerConnection &) -> PeerConnection & = delete;

    /// Queues a message. If too many are queued, the oldest one is dropped; shortly after a
    /// failure, the message itself is.
    auto send(const Address &address, PeerMessage message) -> void;

private:
    struct Session;

    auto connect() -> void;
    auto startSession(kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void>;
    auto flush() -> void;
    auto deliverBatch(wire::PeerInbox::Client &inbox) -> void;
    auto reset() -> void;
    auto taskFailed(kj::Exception &&exception) -> void override;

    kj::AsyncIoContext &io;
    const CellProof &proof;
    DaemonId self;
    PeerLinkCounters &linkCounters;
    Address address;
    std::deque<PeerMessage> queue;
    bool connecting = false;
    /// Set when a task fails. A task can't delete the task set that runs it, so that the next
    /// send() resets the connection.
    bool hasFailed = false;
    int unansweredBatches = 0;
    kj::TimePoint reconnectAt;
    kj::Own<Session> session;
    kj::Own<kj::TaskSet> tasks;
};

} // namespace gooseberrywall
