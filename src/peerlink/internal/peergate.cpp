#include "peerlink/internal/peergate.h"

#include "peerlink/internal/wirevalues.h"
#include "peerlink/peercodec.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

using namespace wirevalues;

namespace {

/// The daemons of a cell leave fewer challenges open; beyond the limit the oldest are dropped.
constexpr std::size_t openChallengeLimit = 1024;

/// Receives the messages of one authenticated daemon.
class PeerInbox final : public wire::PeerInbox::Server
{
public:
    PeerInbox(DaemonId from, const PeerLink::Receiver &receiver, PeerLinkCounters &counters)
        : from(std::move(from))
        , receiver(receiver)
        , linkCounters(counters)
    {
    }

protected:
    auto deliver(DeliverContext context) -> kj::Promise<void> override
    {
        for (const auto source : context.getParams().getMessages()) {
            auto message = readPeerMessage(source);
            if (!message) {
                ++this->linkCounters.receiveFailures;
                continue;
            }
            ++this->linkCounters.messagesReceived;
            this->receiver(this->from, std::move(*message));
        }
        return kj::READY_NOW;
    }

private:
    DaemonId from;
    const PeerLink::Receiver &receiver;
    PeerLinkCounters &linkCounters;
};

} // namespace

PeerGate::PeerGate(const CellProof &proof, const PeerLink::Receiver &receiver,
                   PeerLinkCounters &counters)
    : proof(proof)
    , receiver(receiver)
    , linkCounters(counters)
{
}

auto PeerGate::challenge(ChallengeContext context) -> kj::Promise<void>
{
    this->nonces.push_back(CellProof::makeNonce());
    if (this->nonces.size() > openChallengeLimit) {
        this->nonces.pop_front();
    }
    context.getResults().setNonce(toData(this->nonces.back()));
    return kj::READY_NOW;
}

auto PeerGate::join(JoinContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    const auto daemon = fromText(params.getDaemon());
    const auto nonce = fromData(params.getNonce());
    if (!this->consumeNonce(nonce)
        || !this->proof.verify(nonce, daemon, fromData(params.getProof()))) {
        ++this->linkCounters.authenticationFailures;
        return kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__,
                             kj::heapString("the nonce is unknown or the cell secret differs; "
                                            "compare peer_secret in the settings"));
    }
    context.getResults().setInbox(
        kj::heap<PeerInbox>(DaemonId{daemon}, this->receiver, this->linkCounters));
    return kj::READY_NOW;
}

auto PeerGate::consumeNonce(const std::string &nonce) -> bool
{
    const auto found = std::find(this->nonces.begin(), this->nonces.end(), nonce);
    if (found == this->nonces.end()) {
        return false;
    }
    this->nonces.erase(found);
    return true;
}

} // namespace gooseberrywall
