#include "http/tests/fullserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace gooseberrywall {

namespace {

constexpr int fillerLimit = 16;
constexpr int connectTimeoutMs = 100;

auto boundAddress(int socket) -> sockaddr_in
{
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(socket, reinterpret_cast<sockaddr *>(&bound), &size);
    return bound;
}

} // namespace

FullServer::FullServer()
    : listener(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(this->listener, reinterpret_cast<sockaddr *>(&any), sizeof(any));
    if (listen(this->listener, 0) != 0) {
        throw std::runtime_error("no free port on the loopback interface");
    }
    this->fill();
}

FullServer::~FullServer()
{
    for (const auto filler : this->fillers) {
        close(filler);
    }
    close(this->listener);
}

auto FullServer::fill() -> void
{
    const auto bound = boundAddress(this->listener);
    while (this->fillers.size() < fillerLimit) {
        const auto filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        this->fillers.push_back(filler);
        connect(filler, reinterpret_cast<const sockaddr *>(&bound), sizeof(bound));
        pollfd writable{filler, POLLOUT, 0};
        if (poll(&writable, 1, connectTimeoutMs) == 0) {
            return;
        }
    }
    throw std::runtime_error("the kernel accepts more connections than the backlog allows");
}

auto FullServer::address() const -> Address
{
    return Address{"127.0.0.1:" + std::to_string(ntohs(boundAddress(this->listener).sin_port))};
}

} // namespace gooseberrywall
