#include "peerlink/internal/peerconnection.h"

#include "peerlink/internal/wirevalues.h"
#include "peerlink/peercodec.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

using namespace wirevalues;

namespace {

constexpr std::size_t queuedMessageLimit = 4096;
constexpr std::size_t batchMessageLimit = 64;
constexpr int unansweredBatchLimit = 16;
constexpr auto connectTimeout = 1 * kj::SECONDS;
/// A connection on which a batch isn't answered within this time is replaced.
constexpr auto deliverTimeout = 3 * kj::SECONDS;
constexpr auto reconnectDelay = 100 * kj::MILLISECONDS;

auto makeTaskSet(kj::TaskSet::ErrorHandler &handler) -> kj::Own<kj::TaskSet>
{
    return kj::heap<kj::TaskSet>(handler);
}

} // namespace

/// An open connection. `inbox` is set once the other daemon has accepted the proof.
struct PeerConnection::Session
{
    explicit Session(kj::Own<kj::AsyncIoStream> connected)
        : stream(kj::mv(connected))
        , network(*this->stream, capnp::rpc::twoparty::Side::CLIENT)
        , rpc(capnp::makeRpcClient(this->network))
    {
    }

    auto gate() -> wire::PeerGate::Client
    {
        capnp::MallocMessageBuilder message(8);
        auto vat = message.getRoot<capnp::rpc::twoparty::VatId>();
        vat.setSide(capnp::rpc::twoparty::Side::SERVER);
        return this->rpc.bootstrap(vat).castAs<wire::PeerGate>();
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    kj::Maybe<wire::PeerInbox::Client> inbox;
};

PeerConnection::PeerConnection(kj::AsyncIoContext &io, const CellProof &proof, DaemonId self,
                               PeerLinkCounters &counters)
    : io(io)
    , proof(proof)
    , self(std::move(self))
    , linkCounters(counters)
    , reconnectAt(io.provider->getTimer().now())
    , tasks(makeTaskSet(*this))
{
}

PeerConnection::~PeerConnection() = default;

auto PeerConnection::send(const Address &address, PeerMessage message) -> void
{
    if (address != this->address) {
        this->address = address;
        this->reset();
    }
    if (this->hasFailed) {
        if (this->io.provider->getTimer().now() < this->reconnectAt) {
            ++this->linkCounters.messagesDropped;
            return;
        }
        this->reset();
    }
    if (this->queue.size() >= queuedMessageLimit) {
        this->queue.pop_front();
        ++this->linkCounters.messagesDropped;
    }
    this->queue.push_back(std::move(message));
    this->flush();
}

auto PeerConnection::flush() -> void
{
    if (this->session.get() == nullptr || this->session->inbox == nullptr) {
        this->connect();
        return;
    }
    KJ_IF_MAYBE (inbox, this->session->inbox) {
        while (!this->queue.empty() && this->unansweredBatches < unansweredBatchLimit) {
            this->deliverBatch(*inbox);
        }
    }
}

auto PeerConnection::deliverBatch(wire::PeerInbox::Client &inbox) -> void
{
    auto request = inbox.deliverRequest();
    const auto count = std::min(batchMessageLimit, this->queue.size());
    auto messages = request.initMessages(static_cast<unsigned>(count));
    for (auto target : messages) {
        writePeerMessage(this->queue.front(), target);
        this->queue.pop_front();
    }
    this->linkCounters.messagesSent += count;
    this->linkCounters.bytesSent += request.totalSize().wordCount * sizeof(capnp::word);
    ++this->unansweredBatches;
    auto answered = request.send().ignoreResult().then([this] {
        --this->unansweredBatches;
        this->flush();
    });
    this->tasks->add(this->io.provider->getTimer().timeoutAfter(deliverTimeout, kj::mv(answered)));
}

auto PeerConnection::connect() -> void
{
    auto &timer = this->io.provider->getTimer();
    if (this->connecting) {
        return;
    }
    this->connecting = true;
    auto sessionStart = this->io.provider->getNetwork()
                            .parseAddress(toText(this->address.value))
                            .then([](kj::Own<kj::NetworkAddress> resolved) {
                                auto connected = resolved->connect();
                                return connected.attach(kj::mv(resolved));
                            })
                            .then([this](kj::Own<kj::AsyncIoStream> stream) {
                                return this->startSession(kj::mv(stream));
                            });
    this->tasks->add(timer.timeoutAfter(connectTimeout, kj::mv(sessionStart)));
}

auto PeerConnection::startSession(kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void>
{
    this->session = kj::heap<Session>(kj::mv(stream));
    auto gate = this->session->gate();
    return gate.challengeRequest()
        .send()
        .then([this, gate](auto challenge) mutable {
            const auto nonce = fromData(challenge.getNonce());
            auto request = gate.joinRequest();
            request.setDaemon(toText(this->self.value));
            request.setNonce(toData(nonce));
            request.setProof(toData(this->proof.sign(nonce, this->self.value)));
            return request.send();
        })
        .then([this](auto answer) {
            this->session->inbox = answer.getInbox();
            this->connecting = false;
            this->flush();
        });
}

auto PeerConnection::reset() -> void
{
    this->connecting = false;
    this->hasFailed = false;
    this->unansweredBatches = 0;
    this->tasks = makeTaskSet(*this);
    this->session = nullptr;
}

auto PeerConnection::taskFailed(kj::Exception && /*exception*/) -> void
{
    ++this->linkCounters.connectionsFailed;
    this->linkCounters.messagesDropped += this->queue.size();
    this->queue.clear();
    this->hasFailed = true;
    this->reconnectAt = this->io.provider->getTimer().now() + reconnectDelay;
}

} // namespace gooseberrywall
