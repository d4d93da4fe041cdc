#pragma once

#include "peerlink/internal/cellproof.h"
#include "peerlink/peerlink.h"
#include "peerlink/schema/peer.capnp.h"

#include <deque>
#include <string>

namespace gooseberrywall {

/// Authenticates connecting daemons: one that proves that it knows the cell's secret gets its
/// inbox, any other is refused.
class PeerGate final : public wire::PeerGate::Server
{
public:
    PeerGate(const CellProof &proof, const PeerLink::Receiver &receiver,
             PeerLinkCounters &counters);

protected:
    auto challenge(ChallengeContext context) -> kj::Promise<void> override;
    auto join(JoinContext context) -> kj::Promise<void> override;

private:
    /// @returns whether the nonce belongs to an open challenge, which is closed by this
    auto consumeNonce(const std::string &nonce) -> bool;

    const CellProof &proof;
    const PeerLink::Receiver &receiver;
    PeerLinkCounters &linkCounters;
    /// Nonces of the open challenges, oldest first.
    std::deque<std::string> nonces;
};

} // namespace gooseberrywall
