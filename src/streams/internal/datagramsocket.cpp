#include "streams/datagramsocket.h"

#include "streams/internal/socketaddress.h"

#include <arpa/inet.h>
#include <array>
#include <event2/event.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace gooseberrywall {

namespace {

/// Larger datagrams would be fragmented by the network; messages with permits are far smaller.
constexpr std::size_t datagramLimitBytes = 1400;
/// Datagrams received per event at most, so that one sender can't occupy the event loop.
constexpr int receiveBatchLimit = 32;
constexpr std::size_t senderNameLimit = 10'000;
constexpr int receiveBufferBytes = 1 << 20;

} // namespace

DatagramSocket::DatagramSocket(event_base *base, const Address &listen, OnDatagram onDatagram,
                               std::function<void()> onBatchEnd)
    : descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , onDatagram(std::move(onDatagram))
    , onBatchEnd(std::move(onBatchEnd))
{
    const auto address = toSocketAddress(listen);
    const auto *raw = reinterpret_cast<const sockaddr *>(&address);
    if (this->descriptor < 0 || bind(this->descriptor, raw, sizeof address) != 0) {
        throw std::runtime_error("can't receive datagrams on " + listen.value
                                 + "; check that the address is this VM's and the port is free");
    }
    // A failure is harmless: bursts may then lose datagrams, which their senders repeat.
    static_cast<void>(setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                                 sizeof receiveBufferBytes));
    this->readEvent.reset(event_new(
        base, this->descriptor, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void *self) { static_cast<DatagramSocket *>(self)->receive(); },
        this));
    event_add(this->readEvent.get(), nullptr);
}

DatagramSocket::~DatagramSocket()
{
    this->readEvent.reset();
    close(this->descriptor);
}

auto DatagramSocket::send(const Address &to, std::string_view bytes) -> void
{
    const auto address = toSocketAddress(to);
    const auto sent = sendto(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                             reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (sent < 0) {
        ++this->failedSends;
    }
}

auto DatagramSocket::receive() -> void
{
    std::array<char, datagramLimitBytes> buffer{};
    for (auto count = 0; count < receiveBatchLimit; ++count) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const auto received = recvfrom(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT,
                                       reinterpret_cast<sockaddr *>(&from), &size);
        if (received < 0) {
            break;
        }
        const auto &name = this->senderName(from.sin_addr.s_addr, from.sin_port);
        this->onDatagram(name, {buffer.data(), static_cast<std::size_t>(received)});
    }
    this->onBatchEnd();
}

auto DatagramSocket::senderName(std::uint32_t host, std::uint16_t port) -> const Address &
{
    const auto key = (std::uint64_t{host} << 16U) | port;
    const auto found = this->senderNames.find(key);
    if (found != this->senderNames.end()) {
        return found->second;
    }
    if (this->senderNames.size() >= senderNameLimit) {
        this->senderNames.clear();
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    in_addr address{};
    address.s_addr = host;
    inet_ntop(AF_INET, &address, text.data(), text.size());
    return this->senderNames[key] =
               Address{std::string(text.data()) + ":" + std::to_string(ntohs(port))};
}

} // namespace gooseberrywall
