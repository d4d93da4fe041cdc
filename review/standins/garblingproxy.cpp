#include "garblingproxy.h"

#include <string_view>
#include <utility>

namespace gooseberrywall::review {

namespace {

constexpr std::string_view additionalBytes = "HTTP/1.1 421 Misdirected Request\r\n"
                                             "Instance-Id: i-02d9e6b4\r\n"
                                             "Content-Length: 0\r\n\r\n";

} // namespace

GarblingProxy::GarblingProxy(event_base *base, const Address &listen, Address instance,
                             Record &record)
    : base(base)
    , instance(std::move(instance))
    , record(record)
    , listener(base, listen, [this](int descriptor) { this->accept(descriptor); })
{
}

auto GarblingProxy::setShare(double newShare) -> void
{
    this->share = newShare;
    this->answers = 0;
    this->additionsOfShare = 0;
}

auto GarblingProxy::accept(int descriptor) -> void
{
    // Ended pairs are destroyed here, outside of their own events.
    this->pairs.remove_if([](const auto &pair) { return pair->isEnded; });
    auto pair = std::make_shared<Pair>();
    const std::weak_ptr<Pair> weak(pair);
    pair->instance = std::make_unique<SocketStream>(
        this->base, parseEndpoint(this->instance).value_or(Endpoint{}),
        this->handlers(weak, false));
    pair->caller =
        std::make_unique<SocketStream>(this->base, descriptor, this->handlers(weak, true));
    this->pairs.push_back(std::move(pair));
}

auto GarblingProxy::handlers(const std::weak_ptr<Pair> &weak, bool isCaller)
    -> SocketStream::Handlers
{
    return SocketStream::Handlers{[](bool) {},
                                  [this, weak, isCaller] {
                                      const auto pair = weak.lock();
                                      if (pair && isCaller) {
                                          this->passCall(*pair);
                                      } else if (pair) {
                                          this->passAnswer(*pair);
                                      }
                                  },
                                  [weak](bool) {
                                      if (const auto pair = weak.lock(); pair && !pair->isEnded) {
                                          pair->isEnded = true;
                                          pair->caller->finishWriting();
                                          pair->instance->finishWriting();
                                      }
                                  }};
}

auto GarblingProxy::passCall(Pair &pair) -> void
{
    const std::string bytes(pair.caller->input());
    pair.caller->consume(bytes.size());
    pair.isGrant = bytes.starts_with("POST /grant");
    if (std::exchange(pair.isFollowed, false)) {
        this->record.write("additional bytes from " + this->instance.value
                           + " while a call waits: " + bytes.substr(0, bytes.find('\r')) + " "
                           + bytes.substr(bytes.rfind('\n') + 1));
        pair.caller->write(additionalBytes);
    }
    pair.instance->write(bytes);
}

auto GarblingProxy::passAnswer(Pair &pair) -> void
{
    const std::string bytes(pair.instance->input());
    pair.instance->consume(bytes.size());
    ++this->answers;
    const auto isAcceptedGrant = pair.isGrant && bytes.starts_with("HTTP/1.1 200");
    if (isAcceptedGrant && this->additionsOfShare + 1 <= this->share * this->answers) {
        ++this->additionsOfShare;
        ++this->totalAdditions;
        pair.isFollowed = true;
    }
    pair.caller->write(bytes);
}

} // namespace gooseberrywall::review
