#include "peerlink/peerlink.h"

#include "peerlink/internal/cellproof.h"
#include "peerlink/internal/peerconnection.h"
#include "peerlink/internal/peergate.h"
#include "tasks/mailbox.h"

#include <kj/debug.h>

#include <future>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t queuedMessageLimit = 65536;
/// Enough for the daemons of a cell and a few others; further connections are closed at once.
constexpr int incomingConnectionLimit = 512;

/// A connection that another daemon opened.
struct IncomingConnection
{
    IncomingConnection(kj::Own<kj::AsyncIoStream> accepted, capnp::Capability::Client gate)
        : stream(kj::mv(accepted))
        , network(*this->stream, capnp::rpc::twoparty::Side::SERVER)
        , rpc(capnp::makeRpcServer(this->network, kj::mv(gate)))
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

} // namespace

class PeerLink::Loop final : private kj::TaskSet::ErrorHandler
{
public:
    Loop(DaemonIdentity self, PeerLinkSettings settings, Receiver receiver)
        : self(std::move(self))
        , settings(std::move(settings))
        , receiver(std::move(receiver))
        , proof(this->settings.cellSecret)
        , queue(queuedMessageLimit)
    {
    }

    auto start() -> void
    {
        std::promise<void> started;
        auto ready = started.get_future();
        this->thread = std::thread([this, &started] { this->run(started); });
        ready.get();
    }

    auto stop() -> void
    {
        if (!this->thread.joinable()) {
            return;
        }
        this->stopWakeup.wake();
        this->thread.join();
    }

    auto post(OutgoingPeerMessage message) -> void
    {
        if (!this->queue.post(std::move(message))) {
            const std::lock_guard lock(this->countersMutex);
            ++this->publishedCounters.messagesDropped;
        }
    }

    auto counters() const -> PeerLinkCounters
    {
        const std::lock_guard lock(this->countersMutex);
        return this->publishedCounters;
    }

private:
    auto run(std::promise<void> &started) -> void
    {
        auto failure = kj::runCatchingExceptions([&] { this->serve(started); });
        KJ_IF_MAYBE (exception, failure) {
            started.set_exception(std::make_exception_ptr(
                std::runtime_error("peer link failed on " + this->settings.listen.value
                                   + "; choose a free address for [daemon] peer_listen: "
                                   + exception->getDescription().cStr())));
        }
    }

    auto serve(std::promise<void> &started) -> void
    {
        auto io = kj::setupAsyncIo();
        auto gate = capnp::Capability::Client(
            kj::heap<PeerGate>(this->proof, this->receiver, this->liveCounters));
        kj::TaskSet tasks(*this);
        auto address = io.provider->getNetwork()
                           .parseAddress(this->settings.listen.value.c_str())
                           .wait(io.waitScope);
        auto listener = address->listen();
        started.set_value();
        std::map<DaemonId, kj::Own<PeerConnection>> connections;
        tasks.add(this->acceptAll(*listener, gate, tasks));
        auto queueInput = io.lowLevelProvider->wrapInputFd(this->queue.descriptor());
        tasks.add(this->sendWhenWoken(io, *queueInput, connections));
        auto stopInput = io.lowLevelProvider->wrapInputFd(this->stopWakeup.descriptor());
        std::uint64_t wakeupCount = 0;
        stopInput->tryRead(&wakeupCount, sizeof wakeupCount, sizeof wakeupCount).wait(io.waitScope);
        this->sendQueued(io, connections);
        // Lets the messages sent last reach the sockets before these are closed.
        io.provider->getTimer().afterDelay(50 * kj::MILLISECONDS).wait(io.waitScope);
    }

    auto acceptAll(kj::ConnectionReceiver &listener, capnp::Capability::Client &gate,
                   kj::TaskSet &tasks) -> kj::Promise<void>
    {
        return listener.accept().then(
            [this, &listener, &gate, &tasks](kj::Own<kj::AsyncIoStream> stream) {
                if (this->incomingConnections < incomingConnectionLimit) {
                    ++this->incomingConnections;
                    auto connection = kj::heap<IncomingConnection>(kj::mv(stream), gate);
                    auto closed = connection->network.onDisconnect().then(
                        [this] { --this->incomingConnections; });
                    tasks.add(closed.attach(kj::mv(connection)));
                }
                return this->acceptAll(listener, gate, tasks);
            });
    }

    auto sendWhenWoken(kj::AsyncIoContext &io, kj::AsyncInputStream &input,
                       std::map<DaemonId, kj::Own<PeerConnection>> &connections)
        -> kj::Promise<void>
    {
        return input
            .tryRead(&this->queueWakeupCount, sizeof this->queueWakeupCount,
                     sizeof this->queueWakeupCount)
            .then([this, &io, &input, &connections](std::size_t /*bytes*/) {
                this->sendQueued(io, connections);
                return this->sendWhenWoken(io, input, connections);
            });
    }

    auto sendQueued(kj::AsyncIoContext &io,
                    std::map<DaemonId, kj::Own<PeerConnection>> &connections) -> void
    {
        for (auto &outgoing : this->queue.takeAll()) {
            auto &connection = connections[outgoing.to];
            if (connection.get() == nullptr) {
                connection =
                    kj::heap<PeerConnection>(io, this->proof, this->self.id, this->liveCounters);
            }
            connection->send(outgoing.address, std::move(outgoing.message));
        }
        const std::lock_guard lock(this->countersMutex);
        this->publishedCounters = this->liveCounters;
    }

    auto taskFailed(kj::Exception && /*exception*/) -> void override
    {
        ++this->liveCounters.receiveFailures;
    }

    DaemonIdentity self;
    PeerLinkSettings settings;
    Receiver receiver;
    CellProof proof;
    Mailbox<OutgoingPeerMessage> queue;
    Wakeup stopWakeup;
    int incomingConnections = 0;
    std::uint64_t queueWakeupCount = 0;
    /// Used by the link's thread only; copied to `publishedCounters` for other threads.
    PeerLinkCounters liveCounters;
    mutable std::mutex countersMutex;
    PeerLinkCounters publishedCounters;
    std::thread thread;
};

PeerLink::PeerLink(DaemonIdentity self, PeerLinkSettings settings, Receiver receiver)
    : loop(std::make_unique<Loop>(std::move(self), std::move(settings), std::move(receiver)))
{
}

PeerLink::~PeerLink()
{
    this->stop();
}

auto PeerLink::start() -> void
{
    this->loop->start();
}

auto PeerLink::stop() -> void
{
    this->loop->stop();
}

auto PeerLink::send(OutgoingPeerMessage message) -> void
{
    this->loop->post(std::move(message));
}

auto PeerLink::counters() const -> PeerLinkCounters
{
    return this->loop->counters();
}

} // namespace gooseberrywall
