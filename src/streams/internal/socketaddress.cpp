#include "streams/internal/socketaddress.h"

#include <arpa/inet.h>

namespace gooseberrywall {

auto toSocketAddress(const Address &address) -> sockaddr_in
{
    const auto endpoint = parseEndpoint(address).value_or(Endpoint{});
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.host.c_str(), &result.sin_addr);
    return result;
}

} // namespace gooseberrywall
