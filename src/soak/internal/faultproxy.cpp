#include "soak/faultproxy.h"

#include "testing/freeaddress.h"

#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration delay = std::chrono::milliseconds{120};
/// Part of an answer that is delivered in mode CutOff; ends within most heads.
constexpr std::size_t cutOffBytes = 40;
constexpr std::size_t endlessBytes = std::size_t{20} * 1024 * 1024;

} // namespace

FaultProxy::FaultProxy(event_base *base, Address target, ClientOf clientOf)
    : base(base)
    , target(std::move(target))
    , clientOf(std::move(clientOf))
    , listen(freeAddress())
    , listener(base, this->listen, [this](int descriptor) { this->accept(descriptor); })
    , timer(base, [this] { this->sendDelayed(); })
{
}

auto FaultProxy::setMode(Mode mode) -> void
{
    if (this->mode == Mode::Silent && mode != Mode::Silent) {
        // A sender that has reset its connection meanwhile may rely on its bytes being lost, but
        // the kernel would still deliver what it has buffered.
        this->reset();
    }
    this->mode = mode;
    for (const auto &pair : this->pairs) {
        this->updateReading(*pair);
    }
}

auto FaultProxy::setCut(int client, Cut cut) -> void
{
    const auto earlier = std::exchange(this->cuts[client], cut);
    // As at the end of mode Silent, what the kernel has buffered must not be delivered late.
    if (cut == Cut::Reset || earlier == Cut::Hang) {
        this->resetPairs([client](const Pair &pair) { return pair.client == client; });
    }
    for (const auto &pair : this->pairs) {
        this->updateReading(*pair);
    }
}

auto FaultProxy::reset() -> void
{
    this->resetPairs([](const Pair &) { return true; });
}

auto FaultProxy::resetPairs(const std::function<bool(const Pair &)> &isAffected) -> void
{
    this->pairs.remove_if([&](const auto &pair) {
        const auto isReset = isAffected(*pair);
        if (isReset) {
            pair->acceptedStream->resetOnClose();
            pair->targetStream->resetOnClose();
        }
        return isReset;
    });
}

auto FaultProxy::updateReading(const Pair &pair) -> void
{
    if (pair.isEnded) {
        return;
    }
    const auto isSilent = this->mode == Mode::Silent || this->cutOf(pair.client) == Cut::Hang;
    pair.acceptedStream->setReading(!isSilent);
    pair.targetStream->setReading(!isSilent && this->mode != Mode::OneWay);
}

auto FaultProxy::cutOf(int client) const -> Cut
{
    const auto found = this->cuts.find(client);
    return found == this->cuts.end() ? Cut::None : found->second;
}

auto FaultProxy::accept(int descriptor) -> void
{
    // Ended pairs are destroyed here, outside of their own event handlers.
    this->pairs.remove_if([](const auto &pair) { return pair->isEnded; });
    const auto client = this->clientOf ? this->clientOf(descriptor) : unknownClient;
    const auto cut = this->cutOf(client);
    if (cut == Cut::Reset || cut == Cut::RefuseNew) {
        const linger immediate{1, 0};
        static_cast<void>(
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate));
        close(descriptor);
        return;
    }
    auto pair = std::make_shared<Pair>();
    pair->client = client;
    this->pairs.push_back(pair);
    const auto weak = std::weak_ptr<Pair>(pair);
    const auto handlers = [this, weak](bool isTowardsTarget) {
        return SocketStream::Handlers{[this, weak](bool isOpen) {
                                          if (const auto lockedPair = weak.lock();
                                              lockedPair && !isOpen) {
                                              this->end(lockedPair);
                                          }
                                      },
                                      [this, weak, isTowardsTarget] {
                                          if (const auto lockedPair = weak.lock()) {
                                              this->forward(lockedPair, isTowardsTarget);
                                          }
                                      },
                                      [this, weak](bool) {
                                          if (const auto lockedPair = weak.lock()) {
                                              this->end(lockedPair);
                                          }
                                      }};
    };
    pair->targetStream = std::make_unique<SocketStream>(
        this->base, parseEndpoint(this->target).value_or(Endpoint{}), handlers(false));
    pair->acceptedStream = std::make_unique<SocketStream>(this->base, descriptor, handlers(true));
    this->setMode(this->mode);
}

auto FaultProxy::forward(const std::shared_ptr<Pair> &pair, bool isTowardsTarget) -> void
{
    auto &from = isTowardsTarget ? *pair->acceptedStream : *pair->targetStream;
    auto &to = isTowardsTarget ? *pair->targetStream : *pair->acceptedStream;
    std::string bytes(from.input());
    from.consume(bytes.size());
    const auto isCorrupted =
        this->mode == Mode::Twice || this->mode == Mode::CutOff || this->mode == Mode::Endless;
    if (isCorrupted && !isTowardsTarget) {
        this->corrupt(pair, bytes);
        return;
    }
    if (this->mode == Mode::Delay || (!isCorrupted && !this->delayed.empty())) {
        this->delayed.push_back(
            DelayedBytes{monotonicNow() + delay, pair, isTowardsTarget, std::move(bytes)});
        this->timer.set(this->delayed.front().at);
        return;
    }
    to.write(bytes);
    if (isTowardsTarget && this->mode == Mode::Twice) {
        pair->acceptedStream->write(std::exchange(pair->copy, {}));
    }
}

auto FaultProxy::corrupt(const std::shared_ptr<Pair> &pair, const std::string &bytes) -> void
{
    if (this->mode == Mode::CutOff) {
        pair->acceptedStream->write(bytes.substr(0, cutOffBytes));
        this->end(pair);
        return;
    }
    pair->acceptedStream->write(bytes);
    if (this->mode == Mode::Endless) {
        pair->acceptedStream->write(std::string(endlessBytes, 'x'));
        return;
    }
    pair->copy = bytes;
}

auto FaultProxy::end(const std::shared_ptr<Pair> &pair) -> void
{
    if (std::exchange(pair->isEnded, true)) {
        return;
    }
    pair->acceptedStream->finishWriting();
    pair->targetStream->finishWriting();
}

auto FaultProxy::sendDelayed() -> void
{
    while (!this->delayed.empty() && this->delayed.front().at <= monotonicNow()) {
        const auto next = std::move(this->delayed.front());
        this->delayed.pop_front();
        if (const auto pair = next.pair.lock(); pair && !pair->isEnded) {
            (next.isTowardsTarget ? *pair->targetStream : *pair->acceptedStream).write(next.bytes);
        }
    }
    if (!this->delayed.empty()) {
        this->timer.set(this->delayed.front().at);
    }
}

} // namespace gooseberrywall
