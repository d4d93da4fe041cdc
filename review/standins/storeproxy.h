#pragma once

#include "common/types/ids.h"
#include "streams/socketlistener.h"
#include "streams/socketstream.h"

#include <list>
#include <memory>

namespace gooseberrywall::review {

/// A proxy in front of the store. While it is silent, calls are not passed on and answers are lost;
/// a connection on which a call or an answer was lost returns nothing further.
class StoreProxy
{
public:
    StoreProxy(event_base *base, const Address &listen, Address store);

    auto setSilent(bool isSilent) -> void { this->isSilent = isSilent; }

private:
    struct Pair
    {
        std::unique_ptr<SocketStream> caller;
        std::unique_ptr<SocketStream> store;
        bool hasLost = false;
        bool isEnded = false;
    };

    auto accept(int descriptor) -> void;
    auto pass(const std::shared_ptr<Pair> &pair, bool isCall) -> void;
    [[nodiscard]] auto handlers(const std::weak_ptr<Pair> &weak, bool isCaller)
        -> SocketStream::Handlers;

    event_base *base;
    Address store;
    bool isSilent = false;
    std::list<std::shared_ptr<Pair>> pairs;
    SocketListener listener;
};

} // namespace gooseberrywall::review
