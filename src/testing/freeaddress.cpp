#include "testing/freeaddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace gooseberrywall {

namespace {

constexpr int firstPort = 22000;
constexpr int portCount = 10000;
/// Offset between the first ports of test programs, so that concurrent ones seldom try the same.
constexpr int portsPerProcess = 120;

/// @param type SOCK_STREAM or SOCK_DGRAM
auto isFree(int port, int type) -> bool
{
    const auto descriptor = socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (type == SOCK_STREAM) {
        // Connections in TIME_WAIT must not make a port count as used. For datagrams the option
        // would allow binding a port that is in use.
        const int reuse = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    }
    const auto bindResult =
        bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address);
    close(descriptor);
    return bindResult == 0;
}

} // namespace

auto freeAddress() -> Address
{
    static int nextOffset = (getpid() * portsPerProcess) % portCount;
    for (int attempt = 0; attempt < portCount; ++attempt) {
        const auto port = firstPort + nextOffset;
        nextOffset = (nextOffset + 1) % portCount;
        if (isFree(port, SOCK_STREAM) && isFree(port, SOCK_DGRAM)) {
            return {"127.0.0.1:" + std::to_string(port)};
        }
    }
    throw std::runtime_error("no free loopback port in the searched range 22000 to 31999; end "
                             "programs that listen there");
}

} // namespace gooseberrywall
