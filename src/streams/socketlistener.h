#pragma once

#include "common/types/ids.h"

#include <functional>
#include <memory>

struct event_base;
struct evconnlistener;

namespace gooseberrywall {

/// Accepts connections on one address until it is destroyed.
class SocketListener
{
public:
    /// @param descriptor the accepted connection; the callback takes ownership
    using OnAccept = std::function<void(int descriptor)>;

    /// @throws std::runtime_error if the address can't be bound
    SocketListener(event_base *base, const Address &listen, OnAccept onAccept);
    SocketListener(const SocketListener &) = delete;
    auto operator=(const SocketListener &) -> SocketListener & = delete;
    ~SocketListener() = default;

private:
    struct ListenerDeleter
    {
        auto operator()(evconnlistener *each) const -> void;
    };

    OnAccept onAccept;
    std::unique_ptr<evconnlistener, ListenerDeleter> listener;
};

} // namespace gooseberrywall
