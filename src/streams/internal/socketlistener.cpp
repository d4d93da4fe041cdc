#include "streams/socketlistener.h"

#include "streams/internal/socketaddress.h"

#include <event2/listener.h>
#include <stdexcept>
#include <utility>

namespace gooseberrywall {

namespace {

/// Connections that the kernel queues while the event loop is busy.
constexpr int backlog = 1024;

} // namespace

SocketListener::SocketListener(event_base *base, const Address &listen, OnAccept onAccept)
    : onAccept(std::move(onAccept))
{
    const auto address = toSocketAddress(listen);
    this->listener.reset(evconnlistener_new_bind(
        base,
        [](evconnlistener *, evutil_socket_t descriptor, sockaddr *, int, void *self) {
            static_cast<SocketListener *>(self)->onAccept(descriptor);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, backlog,
        reinterpret_cast<const sockaddr *>(&address), sizeof address));
    if (this->listener == nullptr) {
        throw std::runtime_error("can't listen on " + listen.value
                                 + "; check that the address is this VM's and the port is free");
    }
}

auto SocketListener::ListenerDeleter::operator()(evconnlistener *each) const -> void
{
    evconnlistener_free(each);
}

} // namespace gooseberrywall
