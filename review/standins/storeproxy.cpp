#include "storeproxy.h"

#include <utility>

namespace gooseberrywall::review {

StoreProxy::StoreProxy(event_base *base, const Address &listen, Address store)
    : base(base)
    , store(std::move(store))
    , listener(base, listen, [this](int descriptor) { this->accept(descriptor); })
{
}

auto StoreProxy::accept(int descriptor) -> void
{
    // Ended pairs are destroyed here, outside of their own events.
    this->pairs.remove_if([](const auto &pair) { return pair->isEnded; });
    auto pair = std::make_shared<Pair>();
    const std::weak_ptr<Pair> weak(pair);
    pair->store = std::make_unique<SocketStream>(
        this->base, parseEndpoint(this->store).value_or(Endpoint{}), this->handlers(weak, false));
    pair->caller =
        std::make_unique<SocketStream>(this->base, descriptor, this->handlers(weak, true));
    this->pairs.push_back(std::move(pair));
}

auto StoreProxy::handlers(const std::weak_ptr<Pair> &weak, bool isCaller) -> SocketStream::Handlers
{
    return SocketStream::Handlers{[](bool) {},
                                  [this, weak, isCaller] {
                                      if (const auto pair = weak.lock()) {
                                          this->pass(pair, isCaller);
                                      }
                                  },
                                  [weak, isCaller](bool) {
                                      const auto pair = weak.lock();
                                      if (!pair || (!isCaller && pair->hasLost)) {
                                          return;
                                      }
                                      pair->isEnded = true;
                                      pair->caller->finishWriting();
                                      pair->store->finishWriting();
                                  }};
}

auto StoreProxy::pass(const std::shared_ptr<Pair> &pair, bool isCall) -> void
{
    auto &from = isCall ? *pair->caller : *pair->store;
    auto &to = isCall ? *pair->store : *pair->caller;
    const std::string bytes(from.input());
    from.consume(bytes.size());
    pair->hasLost = pair->hasLost || this->isSilent;
    if (!pair->hasLost) {
        to.write(bytes);
    }
}

} // namespace gooseberrywall::review
