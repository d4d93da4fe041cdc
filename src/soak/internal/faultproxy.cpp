#include "soak/faultproxy.h"

#include "testing/freeaddress.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration delay = std::chrono::milliseconds{120};

} // namespace

FaultProxy::FaultProxy(event_base *base, Address target)
    : base(base)
    , target(std::move(target))
    , listen(freeAddress())
    , listener(base, this->listen, [this](int descriptor) { this->accept(descriptor); })
    , timer(base, [this] { this->sendLate(); })
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
    const auto isHeld = mode == Mode::Silent;
    for (const auto &pair : this->pairs) {
        if (!pair->isEnded) {
            pair->near->setReading(!isHeld);
            pair->far->setReading(!isHeld && mode != Mode::OneWay);
        }
    }
}

auto FaultProxy::reset() -> void
{
    for (const auto &pair : this->pairs) {
        pair->near->resetOnClose();
        pair->far->resetOnClose();
    }
    this->pairs.clear();
}

auto FaultProxy::accept(int descriptor) -> void
{
    // Ended pairs are destroyed here, outside of their own event handlers.
    this->pairs.remove_if([](const auto &pair) { return pair->isEnded; });
    auto pair = std::make_shared<Pair>();
    this->pairs.push_back(pair);
    const auto weak = std::weak_ptr<Pair>(pair);
    const auto handlers = [this, weak](bool isTowardsTarget) {
        return SocketStream::Handlers{[this, weak](bool isOpen) {
                                          if (const auto held = weak.lock(); held && !isOpen) {
                                              this->end(held);
                                          }
                                      },
                                      [this, weak, isTowardsTarget] {
                                          if (const auto held = weak.lock()) {
                                              this->forward(held, isTowardsTarget);
                                          }
                                      },
                                      [this, weak](bool) {
                                          if (const auto held = weak.lock()) {
                                              this->end(held);
                                          }
                                      }};
    };
    pair->far = std::make_unique<SocketStream>(
        this->base, parseEndpoint(this->target).value_or(Endpoint{}), handlers(false));
    pair->near = std::make_unique<SocketStream>(this->base, descriptor, handlers(true));
    this->setMode(this->mode);
}

auto FaultProxy::forward(const std::shared_ptr<Pair> &pair, bool isTowardsTarget) -> void
{
    auto &from = isTowardsTarget ? *pair->near : *pair->far;
    auto &to = isTowardsTarget ? *pair->far : *pair->near;
    std::string bytes(from.input());
    from.consume(bytes.size());
    if (this->mode == Mode::Delay || !this->late.empty()) {
        this->late.push_back(Late{monotonicNow() + delay, pair, isTowardsTarget, std::move(bytes)});
        this->timer.set(this->late.front().at);
        return;
    }
    to.write(bytes);
}

auto FaultProxy::end(const std::shared_ptr<Pair> &pair) -> void
{
    if (std::exchange(pair->isEnded, true)) {
        return;
    }
    pair->near->finishWriting();
    pair->far->finishWriting();
}

auto FaultProxy::sendLate() -> void
{
    while (!this->late.empty() && this->late.front().at <= monotonicNow()) {
        const auto next = std::move(this->late.front());
        this->late.pop_front();
        if (const auto pair = next.pair.lock(); pair && !pair->isEnded) {
            (next.isTowardsTarget ? *pair->far : *pair->near).write(next.bytes);
        }
    }
    if (!this->late.empty()) {
        this->timer.set(this->late.front().at);
    }
}

} // namespace gooseberrywall
