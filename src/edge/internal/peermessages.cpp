#include "edge/peermessages.h"

#include "permitlink/permitcodec.h"

#include <utility>

namespace gooseberrywall {

PeerMessages::PeerMessages(event_base *base, Address self, OnMessage onMessage,
                           std::function<void()> onBatchEnd)
    : self(std::move(self))
    , onMessage(std::move(onMessage))
    , socket(
          base, this->self,
          [this](const Address &from, std::string_view bytes) {
              const auto message = decodePermitMessage(bytes, from, this->self);
              if (!message) {
                  ++this->malformed;
                  return;
              }
              this->onMessage(from, *message);
          },
          std::move(onBatchEnd))
{
}

auto PeerMessages::send(const std::vector<PermitDatagram> &datagrams) -> void
{
    for (const auto &datagram : datagrams) {
        if (datagram.peer == this->self) {
            this->own.push_back(datagram.message);
        } else {
            this->socket.send(datagram.peer, encodePermitMessage(datagram.message));
        }
    }
}

auto PeerMessages::deliverOwn() -> bool
{
    const auto messages = std::exchange(this->own, {});
    for (const auto &message : messages) {
        this->onMessage(this->self, message);
    }
    return !messages.empty();
}

} // namespace gooseberrywall
